package shard

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"jasminestep/internal/table"
	"jasminestep/internal/work"
)

// boss is an owner with what it is about to do.
type boss struct {
	w       *world
	st      *State
	acked   map[work.Incarnation]int64
	batch   *Batch
	deposed bool
	frozen  bool
}

// takeOver makes a new owner from what the store holds.
func (w *world) takeOver() *boss {
	w.term++
	w.tell("owner %d takes over", w.term)
	for _, o := range w.owners {
		o.deposed = true // its writes fail from now on; its messages go on
	}
	o := &boss{w: w, st: New("s", w.term, w.now, w.limits), acked: map[work.Incarnation]int64{}}
	for _, b := range w.minions {
		o.st.See(w.now, b.Minion)
	}
	saved, bad := ReadSaved(slices.Collect(maps.Values(w.rows)))
	if len(bad) > 0 {
		w.bad("unreadable: %v", bad)
	}
	defer func() { o.st.Adopt(saved) }()
	for _, j := range w.jobs {
		if err := o.st.Load(w.now, j, saved.Row(j.ID)); err != nil {
			w.bad("load: %v", err)
		}
		if w.gone[j.ID] {
			o.st.Cancel(w.now, j.ID)
		}
	}
	w.owners = append(w.owners, o)
	return o
}

// step decides; what needs a write waits for commit.
func (o *boss) step() {
	if o.frozen {
		return
	}
	o.st.Decide(o.w.now, o.w.now, Askers{})
	o.w.judge(o.st)
	for _, x := range o.st.Orders().Stops {
		b := o.w.box(x.Minion.ID)
		o.w.flying = append(o.w.flying, flight{b, x.Token, func() { b.stop(x.Token, runKey{x.Task, x.Attempt}) }})
	}
	if o.batch != nil {
		return
	}
	b, err := o.st.Take()
	if err != nil {
		o.w.bad("take: %v", err)
	}
	o.batch = &b
}

// judge checks that jobs fail only with cause: a task, or a gang, has failed often enough.
func (w *world) judge(st *State) {
	for _, j := range st.jobs {
		if j.state != JobFailed {
			continue
		}
		most, steps := 0, map[string]int{}
		for t, n := range w.failed {
			if t.Job != j.ID {
				continue
			}
			most = max(most, n)
			if w.stepOf(t).Gang {
				steps[t.StepID()] += n
				most = max(most, steps[t.StepID()])
			}
		}
		if most < j.Attempts {
			w.bad("%s is failed after %d failures of a task, %d are allowed", j.ID, most, j.Attempts)
		}
	}
}

// commit writes the batch and has its effects.
func (o *boss) commit(store bool) {
	if o.frozen || o.batch == nil || !store && o.batch.NeedsWrite() {
		return
	}
	b := *o.batch
	if b.NeedsWrite() {
		if o.deposed {
			return
		}
		for _, r := range b.Rows {
			o.w.tell("owner %d writes %s: %s", o.st.Term, r.Name, r.Value)
			o.w.keep(r)
		}
		for _, k := range b.Delete {
			delete(o.w.rows, k.Name)
		}
		o.st.Durable(o.w.now, o.w.now)
	} else if !o.deposed && store {
		o.st.Durable(o.w.now, o.w.now)
	}
	o.batch = nil
	for _, x := range b.Starts {
		if o.st.Send(o.w.now, &x) {
			o.send(x)
		}
	}
	for l, n := range b.Seen {
		o.acked[l] = max(o.acked[l], n)
	}
}

func (w *world) keep(r table.Row) {
	if !json.Valid(r.Value) {
		w.bad("row: %s", r.Value)
	}
	w.version++
	r.Version = w.version
	w.rows[r.Name] = r
}

func (w *world) box(id string) *box {
	for _, b := range w.minions {
		if b.ID == id {
			return b
		}
	}
	return nil
}

// send puts a start under way.
func (o *boss) send(x Order) {
	size := o.st.minions[x.Minion.ID].runs[runKey{x.Start.Task, x.Start.Attempt}].size
	b := o.w.box(x.Minion.ID)
	o.w.flying = append(o.w.flying, flight{b, x.Start.Token, func() {
		why, ok := b.start(x.Minion.Incarnation, x.Start, size)
		if ok && b.Born == x.Minion.Born {
			o.st.Started(o.w.now, x, why, nil)
			return
		}
		o.st.Started(o.w.now, x, work.Other, fmt.Errorf("no answer"))
	}})
}

// lose has a start carried out now, its answer lost.
func (o *boss) lose(x Order) { o.st.Started(o.w.now, x, work.Other, fmt.Errorf("no answer")) }

// renew asks a minion for its report at once.
func (o *boss) renew(b *box) {
	if o.frozen {
		return
	}
	m := o.st.minions[b.ID]
	if m == nil {
		return
	}
	n, ok := o.st.Renew(o.w.now, m.Incarnation)
	if !ok {
		return
	}
	rep, ok := b.hold(fmt.Sprint("owner ", o.st.Term), n, o.acked[m.Incarnation])
	if !ok {
		o.st.Silent(o.w.now, m.Incarnation)
		return
	}
	if rep.Born != m.Born {
		o.acked[work.Incarnation{ID: b.ID, Born: rep.Born}] = 0
	}
	o.st.Reported(o.w.now, n, rep)
}
