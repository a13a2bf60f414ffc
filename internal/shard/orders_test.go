package shard

import (
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminestep/internal/work"
)

// callOrder plays events in which a start and a renewal that lets ends be discarded
// cross a restart of their minion, or a change of owner, or both.
type callOrder struct {
	w       *simCluster
	b       *simMinion
	flights map[string]*pendingOrder // calls in flight
}

// newCallOrder returns the state before the first event: an end of the minion is read and
// durable, and the next renewal may acknowledge it.
func newCallOrder(t *testing.T) *callOrder {
	t.Helper()
	w, o := newOldCluster(t, 1)
	w.submit(newJob("a", tasks(1, 1000)))
	w.cycle()
	w.finishAll()
	o.renew(w.minions[0])
	o.step()
	o.commit(true)
	w.submit(newJob("b", tasks(1, 1000)))
	return &callOrder{w: w, b: w.minions[0], flights: map[string]*pendingOrder{}}
}

// sent returns what was put in flight last, and takes it out of the cluster's hands.
func (c *callOrder) sent() *pendingOrder {
	w := c.w
	if len(w.inFlight) == 0 {
		return nil
	}
	f := w.inFlight[len(w.inFlight)-1]
	w.inFlight = nil
	return &f
}

// dropOutrun drops the calls that the incarnation refuses, see simCluster.restart.
func (c *callOrder) dropOutrun() {
	for name, f := range c.flights {
		if f != nil && f.token < c.b.token {
			delete(c.flights, name)
		}
	}
}

// arrives is the event in which a call arrives, if it is in flight.
func arrives(name string) func(c *callOrder) {
	return func(c *callOrder) {
		if f := c.flights[name]; f != nil {
			f.deliver()
		}
		delete(c.flights, name)
	}
}

// renewal is the event in which a renewal is sent.
func renewal(name string) func(c *callOrder) {
	return func(c *callOrder) {
		c.w.owners[len(c.w.owners)-1].renewLate(c.b)
		c.flights[name] = c.sent()
	}
}

// send is the event in which the owner sends what it has decided.
func send(name string) func(c *callOrder) {
	return func(c *callOrder) {
		o := c.w.owners[len(c.w.owners)-1]
		o.step()
		o.commit(true)
		c.flights[name] = c.sent()
	}
}

// The events.
var callEvents = map[string]func(c *callOrder){
	"start":   send("start"),
	"renewal": renewal("renewal"), "second renewal": renewal("second renewal"),
	"cancel": func(c *callOrder) {
		c.w.cancelled["b"] = true
		c.w.owners[len(c.w.owners)-1].st.Cancel(c.w.now, "b")
		send("stop")(c)
	},
	"restart": func(c *callOrder) {
		c.dropOutrun()
		c.w.restartWith(c.b, c.b.clock()-60_000)
	},
	"start arrives": arrives("start"), "stop arrives": arrives("stop"),
	"renewal arrives": arrives("renewal"), "second renewal arrives": arrives("second renewal"),
	"run ends":   func(c *callOrder) { c.w.finishAll() },
	"next owner": func(c *callOrder) { c.w.takeOver().renew(c.b) },
}

// callOrders returns all orders of the events in which each call arrives after it was
// sent, and the run ends after its start has arrived.
func callOrders(events []string) (out [][]string) {
	if len(events) == 0 {
		return [][]string{nil}
	}
	before := map[string]string{
		"start arrives": "start", "run ends": "start arrives", "cancel": "start", "stop arrives": "cancel",
		"renewal arrives": "renewal", "second renewal arrives": "second renewal",
	}
	for i, e := range events {
		if slices.Contains(events, before[e]) {
			continue
		}
		for _, rest := range callOrders(slices.Delete(slices.Clone(events), i, i+1)) {
			out = append(out, append([]string{e}, rest...))
		}
	}
	return out
}

// Guards against TWICE: a start was sent while a renewal that acknowledged an end was in
// flight, and the next incarnation of their minion got both, the renewal after the end of
// the started run. In no order of these events may the task start again.
func TestNoOrderOfLateCallsForgetsAnEnd(t *testing.T) {
	events := []string{"start", "renewal", "restart", "start arrives", "run ends", "renewal arrives"}
	orders := append(callOrders(events), callOrders(append(events, "next owner"))...)
	assert.Equal(t, len(orders), 60+420)
	for _, order := range orders {
		t.Run(strings.Join(order, ", "), func(t *testing.T) {
			c := newCallOrder(t)
			c.play(order)
			c.finish()
			c.w.completes(t) // the cluster fails if the task starts after its end was acknowledged
		})
	}
}

func (c *callOrder) play(order []string) {
	for _, e := range order {
		c.w.now = c.w.now.Add(20 * time.Millisecond)
		callEvents[e](c)
	}
}

// finish lets time pass in which all runs end.
func (c *callOrder) finish() {
	for range 8 {
		c.w.work(simTick)
		c.w.finishAll()
	}
}

// The same with two renewals in flight.
func TestNoOrderOfLateCallsAndTwoRenewalsForgetsAnEnd(t *testing.T) {
	orders := callOrders([]string{"start", "renewal", "second renewal", "restart", "start arrives", "run ends", "renewal arrives", "second renewal arrives"})
	assert.Equal(t, len(orders), 1680)
	for _, order := range orders {
		c := newCallOrder(t)
		c.play(order)
		c.finish()
		assert.Equal(t, c.w.state("b"), Completed, "%v", order)
	}
}

// A run whose job was cancelled does not go on, in whichever order its start and its stop
// reach the former and the next incarnation of their minion.
func TestNoOrderOfLateCallsLetsACancelledRunGoOn(t *testing.T) {
	orders := callOrders([]string{"start", "cancel", "restart", "start arrives", "stop arrives", "renewal", "renewal arrives"})
	assert.Equal(t, len(orders), 315)
	for _, order := range orders {
		c := newCallOrder(t)
		c.play(order)
		c.w.work(2 * time.Second)
		assert.Equal(t, c.w.running(), 0, "%v", order)
		assert.Equal(t, c.w.state("b"), Cancelled, "%v", order)
	}
}

// Guards against the same where nothing is late: the minion restarts unnoticed, while a
// renewal that acknowledges an end is in flight, and carries out a start at once. The next
// renewal may not repeat the number: the end that it would discard is that of the start.
func TestNumberIsNotRepeatedToTheNextIncarnation(t *testing.T) {
	c := newCallOrder(t)
	w, o, former := c.w, c.w.owners[0], c.b.Minion
	callEvents["renewal"](c)
	callEvents["start"](c)
	lost := *c.flights["renewal"]
	w.restart(c.b, false)
	c.b.clockStart -= clockSpread
	m := o.st.minions[c.b.ID]
	for k, r := range m.runs {
		reply := StartOrder{Minion: former, Start: work.Start{Task: k.task, Attempt: k.attempt, Token: r.token}}
		o.st.HandleStartReply(w.now, reply, work.Accepted, nil)
	}
	callEvents["start arrives"](c)
	callEvents["run ends"](c)
	assert.Equal(t, len(c.b.ends), 1)
	lost.lose()
	w.writeRow(c.b)
	w.completes(t)
}

// A renewal that a start has outrun is refused by a minion that is there: that is no
// silence, and the next one, which has the token of the start, tells the number.
func TestRenewalThatAStartHasOutrunIsNoSilence(t *testing.T) {
	c := newCallOrder(t)
	w, o := c.w, c.w.owners[0]
	m := o.st.minions[c.b.ID]
	callEvents["renewal"](c)
	callEvents["start"](c)
	assert.Assert(t, c.flights["start"].token <= m.token)
	assert.Assert(t, m.token > c.flights["renewal"].token)
	callEvents["start arrives"](c)
	callEvents["renewal arrives"](c)
	assert.Assert(t, m.silentSince.IsZero())
	assert.Equal(t, len(c.b.ends), 1)
	o.renew(c.b) // hears of the end again
	o.renew(c.b)
	assert.Equal(t, len(c.b.ends), 0)
	callEvents["run ends"](c)
	w.completes(t)
}

// A refusal for a token of another owner is a silence as before.
func TestRenewalThatAnotherOwnerHasFencedIsASilence(t *testing.T) {
	c := newCallOrder(t)
	former := c.w.owners[0]
	callEvents["next owner"](c)
	former.renew(c.b)
	assert.Assert(t, !former.st.minions[c.b.ID].silentSince.IsZero())
}

// Each start that is sent beside an open acknowledgement raises the token, of which a term
// has enough for that to go on for years.
func TestTokensOfATermLastForYears(t *testing.T) {
	const raisesPerSecond, years = 20, 5
	assert.Assert(t, tokensPerTerm > raisesPerSecond*int64(years*365*24*time.Hour/time.Second))
	assert.Assert(t, tokensPerTerm*1_000_000 < 1<<53, "a million terms are exact in JSON")
}
