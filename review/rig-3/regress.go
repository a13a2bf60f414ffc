package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"jasminestep/platform/standin"
)

func init() { scenarios["regress"] = configurationRegresses }

// Of configurationRegresses.
const (
	rollbackSlack = 250 * time.Millisecond
	freezeTime    = 1200 * time.Millisecond // 4 s at most
	freezes       = 25
	probes        = 24 // while an entry is frozen
)

// probe is a request for the count of a queue that was just added.
type probe struct {
	sent, answered time.Time
	status         int
}

// configurationRegresses freezes an entry again and again, changes the configuration
// meanwhile, and sends requests on a queue that the change adds, each on a connection that
// is open already. The entry answers when it goes on.
func configurationRegresses(r *rig, trouble bool) (broken []string, err error) {
	if err = r.addMinions("soak", 2, 4_000); err != nil {
		return nil, err
	}
	if err = r.writeConfig(1, "soak"); err != nil {
		return nil, err
	}
	if err = r.addEntries(4, func(int) string { return r.store }); err != nil {
		return nil, err
	}
	time.Sleep(contact)
	for n := range freezes {
		e := r.entries[n%len(r.entries)]
		path := fmt.Sprintf("/added-%d/", n)
		ps, err := r.probeFrozen(e, path, n+2, trouble)
		if err != nil {
			return nil, err
		}
		broken = append(broken, r.judgeProbes(e, path, n+2, ps)...)
	}
	return broken, nil
}

// probeFrozen returns what was answered to requests that were sent to a frozen entry.
func (r *rig) probeFrozen(e *entry, path string, version int, trouble bool) ([]probe, error) {
	conns := make([]net.Conn, probes)
	for i := range conns {
		c, err := net.Dial("tcp", e.caller)
		if err != nil {
			return nil, err
		}
		defer func() { _ = c.Close() }()
		if p, err := ask(c, "/queue/"); err != nil || p.status != http.StatusOK {
			return nil, fmt.Errorf("%s answers %d, %w", e.name, p.status, err)
		}
		conns[i] = c
	}
	if trouble {
		r.signal(e, syscall.SIGSTOP)
	}
	time.Sleep(50 * time.Millisecond)
	r.extraPath = path
	if err := r.writeConfig(version, "soak"); err != nil {
		return nil, err
	}
	if !trouble {
		time.Sleep(propagation)
	}
	ps := make([]probe, probes)
	var wg sync.WaitGroup
	for i, c := range conns {
		wg.Add(1)
		go func() {
			defer wg.Done()
			ps[i], _ = ask(c, path) // the status is 0 if there was no answer
		}()
		time.Sleep((freezeTime - 100*time.Millisecond) / probes)
	}
	if trouble {
		r.signal(e, syscall.SIGCONT)
	}
	wg.Wait()
	time.Sleep(500 * time.Millisecond)
	return ps, nil
}

// ask sends a request on an open connection and reads the answer.
func ask(c net.Conn, path string) (p probe, err error) {
	p.sent = time.Now()
	_ = c.SetDeadline(p.sent.Add(5 * time.Second))
	if _, err = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\nDeadline-Ms: 3000\r\n\r\n", path, standin.Host); err != nil {
		return p, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return p, err
	}
	_ = resp.Body.Close()
	p.status, p.answered = resp.StatusCode, time.Now()
	return p, nil
}

// judgeProbes finds a request that was handled by the old version although it was sent
// rollbackSlack or more after one that was handled by the new one.
func (r *rig) judgeProbes(e *entry, path string, version int, ps []probe) []string {
	text := ""
	var earliest *probe // that the new version has answered
	var broken []string
	for i := range ps {
		p := &ps[i]
		text += fmt.Sprintf(" %d", p.status)
		switch {
		case p.status == http.StatusOK && earliest == nil:
			earliest = p
		case p.status == http.StatusNotFound && earliest != nil && p.sent.Sub(earliest.sent) > rollbackSlack && broken == nil:
			broken = []string{fmt.Sprintf("CONFIG: %s answers 404 to GET %s, sent %v after one that version %d answered with 200", e.name, path, p.sent.Sub(earliest.sent).Round(time.Millisecond), version)}
		}
	}
	r.say("GET %s, in the order in which they were sent:%s", path, text)
	return broken
}
