package control

import (
	"slices"
	"time"

	"jasminestep/internal/book"
	"jasminestep/internal/platform"
)

// defaultSlots is the number of concurrent requests of an upstream that does not
// specify its own.
const defaultSlots = 8

// assignGrants assigns minions and key shares to entries.
//
// A grant is reassigned only if its holder certainly does not use it any more:
// the holder released it, a later incarnation of the holder is running, or the
// holder's VM has been missing from the VM list for longer than the list's lag,
// an owner lease and the clock skew. An unreachable holder may still be active.
func (c *Controller) assignGrants(now time.Time) {
	live := c.eligibleEntries()
	if len(live) == 0 || !c.VMListSeen {
		return
	}
	load := c.grantCounts(live)
	upstreams := c.upstreams()
	names := sortedKeys(upstreams)
	for i := range book.KeyShares {
		names = append(names, book.KeyShareName(i))
	}
	for _, name := range names {
		g, exists := c.State.Grants[name]
		if exists {
			gone, clean := c.holderGone(name, g, now)
			if !gone {
				if u, ok := upstreams[name]; ok && u.Addr != g.Addr {
					c.give(now, name, Entry{ID: g.Entry, Boot: g.Boot}, u, true) // no request has been sent there
					continue
				}
				c.drainIfNeeded(now, name, g, load)
				continue
			}
			g.Clean = clean
		}
		to := leastLoaded(live, load)
		c.give(now, name, to, upstreams[name], !exists || g.Clean)
		load[to.ID]++
	}
	for _, name := range sortedKeys(c.State.Grants) {
		g := c.State.Grants[name]
		if _, ok := upstreams[name]; !ok && !book.IsKeyShare(name) {
			c.emit(now, book.Event{Give: &book.GrantAssignment{Minion: name}})
			c.addToTimeline(now, "give", name, "the minion is gone from "+g.Entry)
		}
	}
	clear(c.releases)
}

// give grants a minion, at the address of upstream, or a key share to an entry.
func (c *Controller) give(now time.Time, name string, to Entry, upstream platform.VM, clean bool) {
	c.emit(now, book.Event{Give: &book.GrantAssignment{
		Minion: name, Entry: to.ID, Boot: to.Boot, Clean: clean,
		Pool: upstream.Pool, Addr: upstream.Addr, Slots: upstream.Slots,
	}})
	c.addToTimeline(now, "give", name, to.ID)
}

// eligibleEntries returns the entries that may receive grants.
func (c *Controller) eligibleEntries() []Entry {
	return slices.DeleteFunc(slices.Clone(c.Entries), func(e Entry) bool { return e.Leaving || !e.Alive })
}

// grantCounts counts the grants of each entry.
func (c *Controller) grantCounts(live []Entry) map[string]int {
	n := map[string]int{}
	for _, e := range live {
		n[e.ID] = 0
	}
	for _, g := range c.State.Grants {
		if _, ok := n[g.Entry]; ok && !g.Drain {
			n[g.Entry]++
		}
	}
	return n
}

func leastLoaded(live []Entry, load map[string]int) Entry {
	return slices.MinFunc(live, func(a, b Entry) int {
		if d := load[a.ID] - load[b.ID]; d != 0 {
			return d
		}
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
}

// upstreams returns the minions to be granted: those on the VM list and the
// running tasks of services that serve a pool.
func (c *Controller) upstreams() map[string]platform.VM {
	upstreams := map[string]platform.VM{}
	for id, vm := range c.Minions {
		since, missing := c.MissingSince[id]
		gone := missing && time.UnixMilli(c.State.At).Sub(since) > c.Timing.VMListLag
		if vm.Leaving || gone {
			continue
		}
		if vm.Slots == 0 {
			vm.Slots = defaultSlots
		}
		upstreams[id] = vm
	}
	for id := range c.Cluster.Allocs {
		j, t := c.State.Task(id)
		if j.Spec.Pool == "" || t.State != book.Running || t.Addr == "" {
			continue
		}
		slots := j.Spec.Slots
		if slots == 0 {
			slots = defaultSlots
		}
		upstreams[id] = platform.VM{ID: id, Pool: j.Spec.Pool, Addr: t.Addr, Slots: slots}
	}
	return upstreams
}

// holderGone reports whether the holder of g certainly does not use it any more,
// and whether the holder released it itself. It does that only when asked to: any
// other release is of a grant that it had before.
func (c *Controller) holderGone(name string, g book.Grant, now time.Time) (gone, clean bool) {
	if r, ok := c.releases[name]; ok && g.Drain && r.Entry == g.Entry && r.Boot == g.Boot {
		return true, true
	}
	for _, e := range c.Entries {
		if e.ID == g.Entry && e.Boot > g.Boot {
			return true, false
		}
	}
	since, missing := c.MissingSince[g.Entry]
	return missing && now.Sub(since) > c.Timing.VMListLag+c.Timing.OwnerLease+c.Timing.ClockSkew, false
}

// drainIfNeeded asks the holder of g to release it if the holder is leaving,
// or if it holds at least minImbalance more grants than the least loaded
// entry. Loads are adjusted as grants are drained, so that an uneven holder
// loses no more than necessary.
func (c *Controller) drainIfNeeded(now time.Time, name string, g book.Grant, load map[string]int) {
	if g.Drain {
		return
	}
	leaving := slices.ContainsFunc(c.Entries, func(e Entry) bool { return e.ID == g.Entry && e.Boot == g.Boot && e.Leaving })
	held, ok := load[g.Entry]
	fewest := held
	for _, n := range load {
		fewest = min(fewest, n)
	}
	const minImbalance = 2
	if !leaving && (!ok || held-fewest < minImbalance) {
		return
	}
	c.emit(now, book.Event{Drain: &book.GrantDrain{Minion: name}})
	if ok {
		load[g.Entry]--
	}
	for _, id := range sortedKeys(load) {
		if load[id] == fewest && id != g.Entry {
			load[id]++ // count it for the likely receiver, so that only as many as needed are drained
			break
		}
	}
}
