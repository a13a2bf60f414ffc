package server

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminestep/internal/work"
)

// highest returns the highest figure of any minion.
func (f *fleet) highest() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := int64(0)
	for _, m := range f.minions {
		n = max(n, f.figure(m))
	}
	return n
}

// Guards against HARM with all that is between the decision and the minion: calls
// through other entries or not, lost owners, and new ones that know no speed. A
// fill task that would keep a serving one over its target must not for 4 s.
func TestFillTasksDoNotHarmServingOnes(t *testing.T) {
	const (
		target = 50
		harm   = 4 * time.Second
	)
	for _, direct := range []int64{0, 1} { // 0: the default, with which all minions are called directly
		s := newClusterWithDirect(t, 3, 2, direct)
		s.fleet.noisyJob, s.fleet.noise = jobName(2), 400
		s.eventually("an owner", func() bool { _, e := s.owner(); return e != nil })
		one := work.Step{Tasks: 2, Size: work.Size{CPU: 1000}, PerMinion: 1, Lasting: true}
		serve, fill := one, one
		serve.Target, fill.Fill = target*time.Millisecond, true
		for i, p := range []work.Step{serve, fill} {
			code, _ := s.request(s.entries[0], http.MethodPost, "/q/"+jobName(i+1), work.Job{Spec: "1h", Steps: []work.Step{p}})
			assert.Equal(t, code, http.StatusOK)
			s.eventually("both tasks run", func() bool { return s.fleet.running() == 2*(i+1) })
		}
		var overSince time.Time
		began := time.Now()
		for killed := false; time.Since(began) < 12*time.Second; time.Sleep(20 * time.Millisecond) {
			if i, e := s.owner(); !killed && e != nil && time.Since(began) > 4*time.Second {
				killed = true
				s.entries[i].Kill()
			}
			switch {
			case s.fleet.highest() <= target:
				overSince = time.Time{}
			case overSince.IsZero():
				overSince = time.Now()
			default:
				assert.Assert(t, time.Since(overSince) < harm, "figure of %d for %v", s.fleet.highest(), time.Since(overSince))
			}
		}
		assert.Equal(t, s.fleet.running(), 4)
	}
}
