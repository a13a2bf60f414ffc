package main

import (
	"fmt"
	"net/http"
	"time"

	"jasminestep/platform/standin"
)

// accountNames are the accounts of --accounts: one without a limit, one with room to
// spare, and one that submits half of all jobs, more than its limit lets through.
var accountNames = []string{"coal", "brine", "acme"}

// accountLimits are the limits in thousandths of a core, by account. The largest
// gang fits into each.
var accountLimits = map[string]int64{"brine": 10_000, "acme": 6000}

// accountWeights are the weights; that of acme is below its rate of jobs.
var accountWeights = map[string]float64{"coal": 10, "brine": 10, "acme": 4}

const (
	trespassInterval = 8               // jobs from one after which a client uses a wrong key to the next
	revokeTime       = 3 * time.Second // how old the configuration of an entry that admits clients may be
	revokeMargin     = time.Second     // for a request to be under way
	keyLifetime      = 2               // configurations that have a key
)

// accounts returns the accounts of a configuration, none without --accounts. Each
// version has a new key, and that of the version before.
func (s *cluster) accounts(version int) (out []standin.Account) {
	if !s.opt.Accounts {
		return nil
	}
	for _, name := range accountNames {
		s.ledger.SetLimit(name, accountLimits[name])
		out = append(out, standin.Account{Name: name, Keys: []string{keyOf(name, version), keyOf(name, version-1)}, Weight: accountWeights[name], CPU: accountLimits[name]})
	}
	return out
}

func keyOf(account string, version int) string { return fmt.Sprintf("key-%s-%d", account, version) }

// key returns a key of an account that is in the newest configuration and in the
// one before, or none if there are no accounts.
func (s *cluster) key(account string) string {
	if account == "" {
		return ""
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return keyOf(account, s.version-1)
}

// withdrawnKey returns a key of an account that was withdrawn so long ago that no
// entry may admit it any more; ok is false if there is none yet.
func (s *cluster) withdrawnKey(account string) (key string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for v := s.version; v > keyLifetime; v-- {
		if at, written := s.writtenAt[v]; written && time.Since(at) > revokeTime+revokeMargin {
			return keyOf(account, v-keyLifetime), true
		}
	}
	return "", false
}

// trespass uses keys that must not serve: none, one of another account, and one that
// was withdrawn.
func (c *client) trespass(id string, j *job, e *entry) {
	keys := map[string]string{"no key": ""}
	for _, other := range accountNames {
		if other != j.Account {
			keys["the key of "+other] = c.cluster.key(other)
		}
	}
	if k, ok := c.cluster.withdrawnKey(j.Account); ok {
		keys["a withdrawn key"] = k
	}
	for what, k := range keys {
		if code, _ := c.call(e, http.MethodGet, j.service, id, k, ""); code == http.StatusOK {
			c.mu.Lock()
			c.violations = append(c.violations, fmt.Sprintf("KEY: job %s of %s was shown for %s", id, j.Account, what))
			c.mu.Unlock()
		}
	}
}
