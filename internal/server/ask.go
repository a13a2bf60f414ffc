package server

import (
	"context"
	"slices"
	"sort"
	"time"

	"github.com/cockroachdb/errors"

	"jasminestep/internal/shard"
)

// The placement service answers one question at a time for each VM that asks.
// Owners therefore spread their questions over the entries, one at a time each.
// Every shard begins with entries of its own for that, and some are kept for
// short questions, so that urgent work does not wait behind long answers.

// longAnswer is the time from which on a question counts as long.
const longAnswer = 100 * time.Millisecond

// askers returns the addresses of the entries that ask for a shard, in an order
// that all entries agree on. There is always one.
func (s *Server) askers(now time.Time, service string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := []string{s.Settings.ID}
	addrs := map[string]string{s.Settings.ID: s.Settings.Peer}
	for n, e := range s.names {
		if n != s.Settings.ID && !e.Leaving && !s.blamed(now, e.Addr) {
			names = append(names, n)
			addrs[n] = e.Addr
		}
	}
	sort.Slice(names, func(a, b int) bool { return rank("ask", names[a]) < rank("ask", names[b]) })
	services := s.services()
	first := 0
	if i := sort.SearchStrings(services, service); i < len(services) {
		first = i * len(names) / len(services)
	}
	most := max(1, int(min(1, askersEach/float64(max(1, len(services))))*float64(len(names))))
	out := make([]string, 0, most)
	for k := range most {
		out = append(out, addrs[names[(first+k)%len(names)]])
	}
	return out
}

// askersEach is how often an entry stands in the lists of askers of all shards
// together: neighbours share a few, which each of them uses last.
const askersEach = 1.4

// services lists the services that have shards, sorted.
func (s *Server) services() []string {
	c := s.cfg.Load()
	if c == nil {
		return nil
	}
	var out []string
	for _, v := range c.Services {
		if !v.Standby {
			out = append(out, v.Name)
		}
	}
	sort.Strings(out)
	return out
}

// asking are the questions of an owner that are under way. It belongs to the
// control goroutine.
type asking struct {
	addrs []string
	busy  map[string]bool
	at    time.Time // when addrs was made
}

// drop takes an entry that did not answer off the list.
func (a *asking) drop(addr string) {
	if len(a.addrs) > 1 {
		a.addrs = slices.DeleteFunc(slices.Clone(a.addrs), func(x string) bool { return x == addr })
	}
}

// askersFor is how long a list of askers is used.
const askersFor = 500 * time.Millisecond

// free says how many more questions can be asked now.
func (o *owner) free(now time.Time) shard.Askers {
	if now.Sub(o.asking.at) > askersFor {
		o.asking.addrs, o.asking.at = o.s.askers(now, o.service), now
	}
	all := 0
	for _, a := range o.asking.addrs {
		if !o.asking.busy[a] {
			all++
		}
	}
	return shard.Askers{All: all, Long: max(0, all-short(len(o.asking.addrs))), From: longAnswer}
}

// short is how many of n entries are kept for short questions.
func short(n int) int {
	if n < 2 {
		return 0
	}
	return max(1, n/shortEach)
}

// shortEach is the number of entries of which one is kept for short questions.
const shortEach = 6

// ask sends a question through an entry that asks nothing at present.
func (o *owner) ask(a shard.Ask) {
	addr := ""
	for _, x := range o.asking.addrs {
		if !o.asking.busy[x] {
			addr = x
			break
		}
	}
	if addr == "" {
		o.st.Advised(steady(), steady(), a, nil, 0, errors.New("every entry is asking"))
		return
	}
	o.asking.busy[addr] = true
	go func() {
		out, err := o.question(addr, a)
		given := steady()
		o.post(func(now time.Time) {
			delete(o.asking.busy, addr)
			if err != nil {
				o.asking.drop(addr) // the next list has it again once it answers
			}
			o.st.Advised(now, given, a, out.Tickets, out.Valid, err)
		})
	}()
}

// askMargin is added to the time that the service takes.
const askMargin = 700 * time.Millisecond

// question asks through the entry at addr.
func (o *owner) question(addr string, a shard.Ask) (out AskReply, err error) {
	ctx, cancel := context.WithTimeout(o.ctx, a.Cost+askMargin)
	defer cancel()
	args := AskArgs{a.Step.StepID(), a.IDs}
	if addr == o.s.Settings.Peer {
		err = (&calls{o.s}).Advise(args, &out)
	} else {
		err = o.s.call(ctx, addr, "Advise", args, &out)
	}
	if err == nil && out.Error != "" {
		err = errors.New(out.Error)
	}
	return out, err
}
