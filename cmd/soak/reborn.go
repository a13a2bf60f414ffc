package main

import (
	"fmt"
	"regexp"
	"syscall"
	"time"

	"jasminestep/platform/standin"
)

// restart is the course of a fault in which a minion starts again under its ID, gets
// calls that were meant for its former life, and is cut off once it has new work.
type restart struct {
	minion   int
	trigger  *regexp.Regexp  // the first call that is held, if it comes in time; nil: any
	awaited  *regexp.Regexp  // a call that has to be held too before the crash; nil: none
	crash    time.Duration   // from the first call that is held, or from that one
	down     time.Duration   // 0: it is back at once
	reset    bool            // the crash breaks the connections
	behind   time.Duration   // from the return, for which the minion stays cut off while held calls reach it; 0: it is not
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
	maxRestarts = 2               // one minion in so many restarts at a time
	triggerTime = 3 * time.Second // for which a trigger is waited for
	awaitedTime = time.Second     // for which an awaited call is waited for
)

// awaitUntil waits until a condition holds, for a time at most.
func awaitUntil(longest time.Duration, holds func() bool) {
	for end := time.Now().Add(longest); !holds() && time.Now().Before(end); {
		time.Sleep(2 * time.Millisecond)
	}
}

// drawRestart draws the course of the fault for a minion.
func (s *cluster) drawRestart(i int) restart {
	upTo := func(d time.Duration) time.Duration { return time.Duration(s.rng.Int63n(int64(d))) }
	r := restart{minion: i, crash: 100*time.Millisecond + upTo(400*time.Millisecond), reset: s.rng.Intn(2) == 0, dark: s.rng.Intn(4) == 0}
	if s.rng.Intn(4) > 0 {
		r.down = restartDown
	}
	longest := []time.Duration{10 * time.Millisecond, time.Second}
	if s.rng.Intn(2) == 0 {
		r.behind = lease + upTo(2*lease)
		longest = []time.Duration{lease / 2, r.behind}
		r.trigger, r.awaited, r.crash = standin.LastingStartCall, nil, upTo(100*time.Millisecond)
		if s.rng.Intn(2) == 0 {
			r.trigger, r.awaited = standin.AckCall, standin.StartCall
		}
	}
	for range 16 {
		r.delays = append(r.delays, upTo(longest[s.rng.Intn(len(longest))]))
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
	p.holdFrom(r.trigger)
	awaitUntil(triggerTime, func() bool { return p.currentMode() == holding })
	p.setMode(holding)
	awaitUntil(awaitedTime, func() bool { return p.holds(r.awaited) })
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
	if r.behind > 0 {
		p.release(silent, inTurn(r.delays))
		time.Sleep(r.behind)
		p.setMode(passThrough)
	} else {
		p.release(passThrough, inTurn(r.delays))
	}
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
