package main

import (
	"fmt"
	"syscall"
	"time"
)

// restart is the course of a fault in which a minion starts again under its ID, gets
// calls that were meant for its former life, and is cut off once it has new work.
type restart struct {
	minion   int
	crash    time.Duration   // from the first call that is held
	down     time.Duration   // 0: it is back at once
	reset    bool            // the crash breaks the connections
	delays   []time.Duration // of held calls after the return, in turn
	open     time.Duration   // from the return to the cut
	cut      time.Duration   // longer than the longest lease
	mode     proxyMode       // of the cut
	dark     bool            // the minion does not reach the store either while it is cut off
	killed   *entry          // killed in between, if it is not nil
	killTime time.Duration   // from the return
}

const (
	restartDown = 600 * time.Millisecond
	maxRestarts = 2 // one minion in so many restarts at a time
)

// drawRestart draws the course of the fault for a minion.
func (s *cluster) drawRestart(i int) restart {
	upTo := func(d time.Duration) time.Duration { return time.Duration(s.rng.Int63n(int64(d))) }
	r := restart{minion: i, crash: 100*time.Millisecond + upTo(400*time.Millisecond), reset: s.rng.Intn(2) == 0, dark: s.rng.Intn(4) == 0}
	if s.rng.Intn(4) > 0 {
		r.down = restartDown
	}
	for range 16 {
		r.delays = append(r.delays, upTo([]time.Duration{10 * time.Millisecond, time.Second}[s.rng.Intn(2)]))
	}
	r.open = 1200*time.Millisecond + upTo(1500*time.Millisecond)
	r.cut = maxLease + 1500*time.Millisecond + upTo(2*time.Second)
	r.mode = []proxyMode{silent, refuse}[s.rng.Intn(2)]
	if s.rng.Intn(4) == 0 {
		r.killed, r.killTime = s.entries[s.rng.Intn(len(s.entries))], upTo(r.open+lease)
	}
	return r
}

// restartAndCut lets a minion start again and cuts it off, the next one if this
// happens to it already and none if it happens to many, and returns the fault's name.
func (s *cluster) restartAndCut(i int) string {
	r := s.drawRestart(i)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isRoomToRestart() {
		return "enough minions restart"
	}
	for s.restarted[r.minion] {
		r.minion = (r.minion + 1) % len(s.minions)
	}
	s.restarted[r.minion] = true
	go s.follow(r)
	name := fmt.Sprintf("minion %d reborn and %s", r.minion, modeNames[r.mode])
	if r.killed != nil {
		name += ", kill " + r.killed.name
	}
	return name
}

// isRoomToRestart is mayRestart for callers that hold mu.
func (s *cluster) isRoomToRestart() bool { return len(s.restarted) < len(s.minions)/maxRestarts }

// mayRestart reports whether one more minion may restart.
func (s *cluster) mayRestart() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isRoomToRestart()
}

func (s *cluster) follow(r restart) {
	p, m := s.minionProxies[r.minion], s.minions[r.minion]
	p.setMode(holding)
	time.Sleep(r.crash)
	if r.down > 0 {
		m.CrashFor(r.down)
	} else {
		m.Crash()
	}
	if r.reset {
		p.resetConns()
	}
	time.Sleep(r.down)
	p.release(inTurn(r.delays))
	if r.killed != nil {
		time.AfterFunc(r.killTime, func() { r.killed.signal(syscall.SIGKILL) })
	}
	time.Sleep(r.open)
	s.setDark(r.minion, r.dark)
	p.setMode(r.mode)
	time.Sleep(r.cut)
	p.setMode(passThrough)
	s.setDark(r.minion, false)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.restarted, r.minion)
}

// inTurn returns a function that returns each of delays in turn, over and over.
func inTurn(delays []time.Duration) func() time.Duration {
	n := 0
	return func() time.Duration {
		n++
		return delays[n%len(delays)]
	}
}

func (s *cluster) isRestarted(i int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.restarted[i]
}

func (s *cluster) isDark(i int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dark[i]
}

func (s *cluster) setDark(i int, dark bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dark[i] = dark
}
