package control

import (
	"slices"
	"time"

	"jasminestep/internal/book"
	"jasminestep/internal/platform"
)

// usualSlots is how many requests an upstream serves at a time unless it says otherwise.
const usualSlots = 8

// grant gives minions and shares of the keys to entries.
//
// A grant moves only on proof that its holder no longer spends it: the holder
// released it itself, a later incarnation of the holder is at work, or the VM
// list has lacked the holder's VM for longer than the list's lag and a lease.
// Silence proves nothing.
func (c *Controller) grant(now time.Time) {
	live := c.candidates()
	if len(live) == 0 || !c.Listed {
		return
	}
	load := c.load(live)
	ups := c.upstreams()
	names := sortedKeys(ups)
	for i := range book.KeyShares {
		names = append(names, book.KeyShareName(i))
	}
	for _, name := range names {
		g, had := c.State.Grants[name]
		if had {
			gone, clean := c.vacated(name, g, now)
			if !gone {
				c.hand(now, name, g, load)
				continue
			}
			g.Clean = clean
		}
		to := lightest(live, load)
		up := ups[name]
		c.emit(now, book.Event{Give: &book.GrantAssignment{
			Minion: name, Entry: to.ID, Boot: to.Boot, Clean: !had || g.Clean,
			Pool: up.Pool, Addr: up.Addr, Slots: up.Slots,
		}})
		c.note(now, "give", name, to.ID)
		load[to.ID]++
	}
	for _, name := range sortedKeys(c.State.Grants) {
		g := c.State.Grants[name]
		if _, ok := ups[name]; !ok && !book.IsKeyShare(name) {
			c.emit(now, book.Event{Give: &book.GrantAssignment{Minion: name}})
			c.note(now, "give", name, "the minion is gone from "+g.Entry)
		}
	}
	clear(c.released)
}

// candidates are the entries that may be given something.
func (c *Controller) candidates() []Entry {
	return slices.DeleteFunc(slices.Clone(c.Entries), func(e Entry) bool { return e.Leaving || !e.Alive })
}

// load counts what each entry holds.
func (c *Controller) load(live []Entry) map[string]int {
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

func lightest(live []Entry, load map[string]int) Entry {
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

// upstreams are the minions to be granted: those on the VM list and the tasks
// of services that serve a pool.
func (c *Controller) upstreams() map[string]platform.VM {
	ups := map[string]platform.VM{}
	for id, vm := range c.Minions {
		since, missing := c.Absent[id]
		gone := missing && time.UnixMilli(c.State.At).Sub(since) > c.Timing.VMListLag
		if vm.Leaving || gone {
			continue
		}
		if vm.Slots == 0 {
			vm.Slots = usualSlots
		}
		ups[id] = vm
	}
	for id := range c.Cluster.Allocs {
		j, t := c.State.Task(id)
		if j.Spec.Pool == "" || t.State != book.Running || t.Addr == "" {
			continue
		}
		slots := j.Spec.Slots
		if slots == 0 {
			slots = usualSlots
		}
		ups[id] = platform.VM{ID: id, Pool: j.Spec.Pool, Addr: t.Addr, Slots: slots}
	}
	return ups
}

// vacated reports whether the holder of g provably spends it no longer, and
// whether it closed it itself.
func (c *Controller) vacated(name string, g book.Grant, now time.Time) (gone, clean bool) {
	if r, ok := c.released[name]; ok && r.Entry == g.Entry && r.Boot == g.Boot {
		return true, true
	}
	for _, e := range c.Entries {
		if e.ID == g.Entry && e.Boot > g.Boot {
			return true, false
		}
	}
	since, missing := c.Absent[g.Entry]
	return missing && now.Sub(since) > c.Timing.VMListLag+c.Timing.OwnerLease+c.Timing.ClockSkew, false
}

// hand asks the holder to give up what another is to have: everything if it is
// leaving, one at a time if another holds clearly less.
func (c *Controller) hand(now time.Time, name string, g book.Grant, load map[string]int) {
	if g.Drain {
		return
	}
	leaving := slices.ContainsFunc(c.Entries, func(e Entry) bool { return e.ID == g.Entry && e.Boot == g.Boot && e.Leaving })
	mine, ok := load[g.Entry]
	least := mine
	for _, n := range load {
		least = min(least, n)
	}
	const uneven = 2
	if !leaving && (!ok || mine-least < uneven) {
		return
	}
	c.emit(now, book.Event{Drain: &book.GrantDrain{Minion: name}})
	if ok {
		load[g.Entry]--
	}
	for _, id := range sortedKeys(load) {
		if load[id] == least && id != g.Entry {
			load[id]++ // where it will go, so that not too many are asked for
			break
		}
	}
}
