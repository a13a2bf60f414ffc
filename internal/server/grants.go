package server

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"jasminestep/internal/quota"
	"jasminestep/internal/shard"
	"jasminestep/internal/table"
	"jasminestep/internal/work"
)

// The limit of an account is over all services, and each service has an owner of
// its own. What each shard may use of it is in a row of quotaTable, see package
// quota. All rows are in one part, so that a transaction can depend on all of
// them.
const (
	quotaTable = "quota"
	quotaPart  = "all"
)

// Timing of grants.
const (
	grantInterval      = 40 * time.Millisecond // between two looks at what accounts need
	limitedLogInterval = 5 * time.Second       // between log lines about an account
	grantWriteTimeout  = 4 * time.Second
)

// grantRow is the stored row of a shard.
type grantRow struct {
	Term   int64                  `json:"t"` // of the owner that wrote it
	Shares map[string]quota.Share `json:"s"` // by account

	version int64
}

// grants obtains for an owner what its shard may use of the limits of accounts.
// It belongs to the control goroutine. The zero value knows no accounts.
type grants struct {
	cfgVersion int64
	following  bool
	known      bool                   // the rows have been read
	rows       map[string]grantRow    // by service
	claimed    bool                   // the own row has been written in this term; before, nothing is granted
	own        map[string]quota.Share // at most what the store has for this shard
	writing    bool
	nextLook   time.Time
	loggedAt   map[string]time.Time // when an account was last logged as limited
}

func grantKey(service string) table.Key {
	return table.Key{Table: quotaTable, Part: quotaPart, Name: service}
}

// balanceGrants applies new accounts of the configuration, and changes what the
// shard is granted of their limits by what they need.
func (o *owner) balanceGrants(now time.Time) {
	cfg, g := o.s.cfg.Load(), &o.grants
	if cfg == nil || !cfg.HasAccounts() && g.cfgVersion == 0 {
		return
	}
	if cfg.Version != g.cfgVersion {
		g.cfgVersion = cfg.Version
		o.state.SetAccounts(cfg.Accounts)
		g.nextLook = time.Time{}
	}
	if !g.following {
		g.following = true
		o.s.spawn(o.followGrants)
	}
	if !g.known || now.Before(g.nextLook) {
		return
	}
	g.nextLook = now.Add(grantInterval)
	uses := o.state.AccountUses()
	o.publishUses(uses)
	o.logLimited(now, uses)
	o.applyAllowances(cfg)
	if g.writing || o.handingOver {
		return
	}
	next, changed := o.nextShares(time.Now(), cfg, uses)
	if changed || !g.claimed {
		o.writeGrants(cfg, next)
	}
}

// otherShares lists the shares of an account in the other shards.
func (g *grants) otherShares(cfg *work.Config, service, account string) []quota.Share {
	var out []quota.Share
	for _, svc := range cfg.Services {
		if r, ok := g.rows[svc.Name]; ok && svc.Name != service {
			out = append(out, r.Shares[account])
		}
	}
	return out
}

// nextShares returns what the shard should have next, at a time of day, and whether that differs
// from what the store has. After a write that failed or conflicted the owner uses
// less than the store has for it, and others can't get the rest until it is written.
func (o *owner) nextShares(now time.Time, cfg *work.Config, uses []shard.AccountUse) (next map[string]quota.Share, changed bool) {
	next = make(map[string]quota.Share, len(uses))
	for _, u := range uses {
		a := cfg.AccountNamed(u.Name)
		if a == nil {
			continue
		}
		stored := o.grants.rows[o.service].Shares[u.Name]
		own := o.grants.own[u.Name]
		if !o.grants.claimed {
			own = stored
		}
		n := quota.Balance(now, a.Limit, own, u.Demand, o.grants.otherShares(cfg, o.service, u.Name), len(cfg.Services))
		changed = changed || n != stored
		next[u.Name] = n
	}
	return next, changed
}

// applyAllowances tells the shard what it may run.
func (o *owner) applyAllowances(cfg *work.Config) {
	if !o.grants.claimed {
		return
	}
	for i := range cfg.Accounts {
		a := &cfg.Accounts[i]
		if a.Limit != (work.Size{}) {
			o.state.SetAllowance(a.Name, quota.Allowance(a.Limit, o.grants.own[a.Name], o.grants.otherShares(cfg, o.service, a.Name)))
		}
	}
}

// writeGrants writes the shard's row, provided that no shard's row has changed.
// While the result is unknown the shard uses the lesser of both grants. The next
// write then depends on the same versions, so only one of the two takes effect.
func (o *owner) writeGrants(cfg *work.Config, next map[string]quota.Share) {
	g := &o.grants
	value, err := json.Marshal(grantRow{Term: o.term, Shares: next})
	if err != nil || len(value) > maxRowBytes*3/4 {
		o.s.Log.Error("grants cannot be written", "service", o.service, "accounts", len(next), "bytes", len(value), "why", fmt.Sprint(err))
		return
	}
	tx := table.Tx{Put: []table.Row{{Key: grantKey(o.service), Value: value}}}
	tx.If = append(tx.If, table.Row{Key: grantKey(o.service), Version: g.rows[o.service].version})
	for _, svc := range cfg.Services {
		if svc.Name != o.service {
			tx.If = append(tx.If, table.Row{Key: grantKey(svc.Name), Version: g.rows[svc.Name].version})
		}
	}
	g.own = lesserShares(g.own, next)
	o.applyAllowances(cfg)
	g.writing = true
	go func() {
		ctx, cancel := context.WithTimeout(o.ctx, grantWriteTimeout)
		defer cancel()
		res, err := o.s.relayStore.Do(ctx, tx)
		if err != nil {
			sleep(o.ctx, writeRetryDelay)
		}
		o.post(func(time.Time) { o.grantsWritten(next, res, err) })
	}()
}

// lesserShares limits the grants of a to those of b.
func lesserShares(a, b map[string]quota.Share) map[string]quota.Share {
	out := make(map[string]quota.Share, len(a))
	for name, s := range a {
		s.Granted = s.Granted.AtMost(b[name].Granted)
		out[name] = s
	}
	return out
}

func (o *owner) grantsWritten(next map[string]quota.Share, res table.Result, err error) {
	g := &o.grants
	g.writing, g.nextLook = false, time.Time{}
	switch {
	case err != nil:
		o.s.Log.Debug("grants not written", "service", o.service, "why", err.Error())
	case res.Done:
		if res.Version < g.rows[o.service].version {
			return // the feed has already shown a later row
		}
		g.own, g.claimed = next, true
		g.rows[o.service] = grantRow{Term: o.term, Shares: next, version: res.Version}
	default:
		o.applyGrantRows(res.Rows)
	}
}

// applyGrantRows applies rows of shards.
func (o *owner) applyGrantRows(rows []table.Row) {
	g := &o.grants
	if g.rows == nil {
		g.rows = map[string]grantRow{}
	}
	for _, r := range rows {
		if r.Version <= g.rows[r.Name].version {
			continue
		}
		var row grantRow
		if err := json.Unmarshal(r.Value, &row); err != nil && !r.Deleted {
			o.s.Log.Error("grants invalid", "service", r.Name, "why", err.Error())
			row = grantRow{}
		}
		row.version = r.Version
		g.rows[r.Name] = row
		if r.Name == o.service && row.Term == o.term {
			g.own, g.claimed = row.Shares, true // a write of this owner without a reply
		}
	}
}

// followGrants reads the rows of all shards and follows their changes.
func (o *owner) followGrants() {
	f := follower{store: o.s.relayStore, table: quotaTable, wait: feedLongPoll, report: o.s.feedLogger("grants"), observe: o.s.writeTimes.observe}
	f.read = func(ctx context.Context, s table.Store) (table.Range, error) {
		return s.Read(ctx, quotaTable, quotaPart, "", "")
	}
	f.apply = func(rows []table.Row, _ bool) {
		o.post(func(time.Time) {
			o.applyGrantRows(rows)
			o.grants.known, o.grants.nextLook = true, time.Time{}
		})
	}
	f.run(o.ctx, -1)
}

// publishUses makes what accounts do visible to metrics.
func (o *owner) publishUses(uses []shard.AccountUse) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.accountUses = uses
}

// logLimited logs which accounts could start more but for their limit.
func (o *owner) logLimited(now time.Time, uses []shard.AccountUse) {
	g := &o.grants
	for _, u := range uses {
		if u.Limited == 0 || now.Sub(g.loggedAt[u.Name]) < limitedLogInterval {
			continue
		}
		if g.loggedAt == nil {
			g.loggedAt = map[string]time.Time{}
		}
		g.loggedAt[u.Name] = now
		o.s.Log.Info("account limited", "service", o.service, "account", u.Name, "used", u.Demand.Used.String(), "allowed", u.Allowance.String(), "steps", u.Limited, "tasks", u.Waiting)
	}
}
