package shard

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"jasminestep/internal/table"
)

// What a shard has learned from runs that have ended is kept in one row, so that
// the next owner knows it: run times, shares of eligible minions, and how slow
// minions are. It is written with other changes now and then; what was learned
// since the last write is lost with its owner.

// LearnedTable has the row of what each shard has learned, in the part of its
// service.
const LearnedTable = "learned"

// LearnedKey names that row.
func LearnedKey(service string) table.Key {
	return table.Key{Table: LearnedTable, Part: service, Name: "learned"}
}

// Limits on the row.
const (
	saveLearnedInterval = 3 * time.Second
	maxSavedRunTimes    = 40   // queues and images, those with the most observations
	maxSavedMinions     = 600  // whose slowness is saved
	minSavedSlowness    = 0.15 // difference from the average from which it is saved
)

// savedRunTimes is the encoding of runTimes.
type savedRunTimes struct {
	Queue string     `json:"q"`
	Image string     `json:"i,omitempty"`
	Sums  [5]float64 `json:"s"` // n, x, y, xx, xy
}

// savedShare is the encoding of an eligibleShare.
type savedShare struct {
	Queue    string  `json:"q"`
	Named    float64 `json:"n"`
	Eligible float64 `json:"e"`
}

// savedSlowness is the encoding of a minion's slowness.
type savedSlowness struct {
	ID       string  `json:"i"`
	Born     int64   `json:"b"`
	Slowness float64 `json:"s"`
}

type learned struct {
	RunTimes []savedRunTimes `json:"t,omitempty"`
	Shares   []savedShare    `json:"e,omitempty"`
	Minions  []savedSlowness `json:"m,omitempty"`
}

// saveLearned adds the row to the batch if something has been learned and the last
// write was long enough ago.
func (s *State) saveLearned(now time.Time) error {
	if !s.learned || now.Sub(s.learnedSavedAt) < saveLearnedInterval {
		return nil
	}
	b, err := json.Marshal(s.encodeLearned())
	if err != nil {
		return fmt.Errorf("encode what was learned: %w", err)
	}
	s.learned, s.learnedSavedAt = false, now
	s.batch.Rows = append(s.batch.Rows, table.Row{Key: LearnedKey(s.Service), Value: b})
	return nil
}

func (s *State) encodeLearned() learned {
	var out learned
	keys := slices.SortedFunc(maps.Keys(s.runTimes), func(a, b runTimeKey) int {
		return cmp.Or(cmp.Compare(s.runTimes[b].n, s.runTimes[a].n), cmp.Compare(a.Queue, b.Queue), cmp.Compare(a.Image, b.Image))
	})
	for _, k := range keys[:min(len(keys), maxSavedRunTimes)] {
		r := s.runTimes[k]
		t := savedRunTimes{Queue: k.Queue, Image: k.Image, Sums: [5]float64{r.n, r.x, r.y, r.xx, r.xy}}
		out.RunTimes = append(out.RunTimes, t)
	}
	for _, q := range slices.Sorted(maps.Keys(s.eligibleShares)) {
		e := s.eligibleShares[q]
		out.Shares = append(out.Shares, savedShare{q, threeDigits(e.named), threeDigits(e.eligible)})
	}
	for _, m := range s.minionsByID() {
		if m.slowness > 0 && math.Abs(m.slowness-1) >= minSavedSlowness && len(out.Minions) < maxSavedMinions {
			out.Minions = append(out.Minions, savedSlowness{m.ID, m.Born, threeDigits(m.slowness)})
		}
	}
	return out
}

// threeDigits keeps the row short.
func threeDigits(v float64) float64 { return math.Round(v*1000) / 1000 }

// LoadLearned takes over what a former owner has learned. The minions must be
// known. What makes no sense is left out, and reported by the error.
func (s *State) LoadLearned(row []byte) error {
	var in learned
	if err := json.Unmarshal(row, &in); err != nil {
		return fmt.Errorf("decode what was learned: %w", err)
	}
	var errs error
	for _, t := range in.RunTimes {
		r, err := t.decode()
		if err != nil {
			errs = errors.CombineErrors(errs, err)
			continue
		}
		s.runTimes[runTimeKey{t.Queue, t.Image}] = r
	}
	for _, e := range in.Shares {
		if e.Named > 0 && e.Eligible >= 0 && e.Eligible <= e.Named {
			s.eligibleShares[e.Queue] = &eligibleShare{e.Named, e.Eligible}
		}
	}
	for _, l := range in.Minions {
		if m := s.minions[l.ID]; m != nil && m.Born == l.Born && l.Slowness > 0 {
			m.slowness = l.Slowness
		}
	}
	return errs
}

func (t *savedRunTimes) decode() (*runTimes, error) {
	for _, v := range t.Sums {
		if math.IsNaN(v) || math.IsInf(v, 0) {
			return nil, fmt.Errorf("run times of %s: sum %v", t.Queue, v)
		}
	}
	if t.Sums[0] < 0 || t.Sums[3] < 0 {
		return nil, fmt.Errorf("run times of %s: sums %v", t.Queue, t.Sums)
	}
	return &runTimes{n: t.Sums[0], x: t.Sums[1], y: t.Sums[2], xx: t.Sums[3], xy: t.Sums[4]}, nil
}
