// Package account decides which requests of clients are admitted, by the keys of
// their client accounts.
package account

import (
	"time"

	"jasminestep/internal/work"
)

// Verdict is the decision about a request.
type Verdict int8

// The verdicts.
const (
	Admitted   Verdict = iota
	UnknownKey         // no account of the configuration has the key
	Outdated           // the configuration is too old to tell
)

// Rule is what an entry does with a configuration that it can't compare with the
// newest one. The zero value goes on with it.
type Rule struct {
	FailClosed bool          // requests that need a key are refused while the configuration is older than MaxAge
	MaxAge     time.Duration // since the configuration was last known to be the newest
}

// Admit decides about a request to q with a key, and returns its account. That is
// nil for a request to a public queue, or if the configuration has no accounts.
// age is the time since cfg was last known to be the newest configuration.
func (r Rule) Admit(cfg *work.Config, q *work.Queue, key string, age time.Duration) (*work.Account, Verdict) {
	if q.Public || !cfg.HasAccounts() {
		return nil, Admitted
	}
	if r.FailClosed && age > r.MaxAge {
		return nil, Outdated
	}
	a := cfg.AccountOfKey(key)
	if a == nil {
		return nil, UnknownKey
	}
	return a, Admitted
}

// MaySee reports whether a request of an account may learn of a job. Either is
// empty if it belongs to none: a queue may have been public when its job was
// submitted, or be so now.
func MaySee(request, job string) bool { return request == "" || job == "" || request == job }
