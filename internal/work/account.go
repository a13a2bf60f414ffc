package work

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Account is a client account: whom a job belongs to.
type Account struct {
	Name   string
	Keys   []string // any of them identifies the account
	Weight float64  // jobs a second that are served before what others send beyond theirs, and the share of minions that are full; positive
	Limit  Size     // of all tasks that run at once, over all services; 0 means no limit
}

// SetAccounts gives the configuration accounts, after which a request to a queue
// that is not public needs a key of one of them. It fails if a key or a name would
// not identify one account.
func (c *Config) SetAccounts(as []Account) error {
	byName, byKey := make(map[string]*Account, len(as)), map[string]*Account{}
	for i := range as {
		a := &as[i]
		if err := a.check(); err != nil {
			return err
		}
		if byName[a.Name] != nil {
			return fmt.Errorf("account %q is listed twice", a.Name)
		}
		byName[a.Name] = a
		for _, k := range a.Keys {
			if o := byKey[k]; o != nil && o != a {
				return fmt.Errorf("accounts %q and %q have the same key", o.Name, a.Name)
			}
			byKey[k] = a
		}
	}
	c.Accounts, c.accountByName, c.accountByKey = as, byName, byKey
	return nil
}

func (a *Account) check() error {
	switch {
	case a.Name == "":
		return errors.New("an account has no name")
	case !(a.Weight > 0):
		return fmt.Errorf("account %q: weight %v, want more than 0", a.Name, a.Weight)
	case a.Limit.CPU < 0 || a.Limit.Mem < 0 || a.Limit.GPU < 0:
		return fmt.Errorf("account %q: want no negative limit", a.Name)
	}
	for _, k := range a.Keys {
		if k == "" {
			return fmt.Errorf("account %q: a key is empty", a.Name)
		}
	}
	return nil
}

// HasAccounts reports whether requests need keys.
func (c *Config) HasAccounts() bool { return c.accountByKey != nil }

// AccountOfKey returns the account that a key identifies, or nil.
func (c *Config) AccountOfKey(key string) *Account { return c.accountByKey[key] }

// AccountNamed returns the account with a name, or nil.
func (c *Config) AccountNamed(name string) *Account { return c.accountByName[name] }
