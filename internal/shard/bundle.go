package shard

import (
	"encoding/json"
	"fmt"
	"strings"

	"jasminestep/internal/table"
)

// The number of rows in a transaction is limited, and while the store is slow
// each transaction takes half a second. With one row per job, an owner of many
// minions could not make all its changes durable in time. The progress of jobs
// beyond a limit is therefore written as bundles, several jobs to a row. A
// bundle is deleted once it has the newest progress of no job. The end of a job
// is always written to a row of its own, which is where other entries look for
// it.

// Limits on one batch of writes.
const (
	maxOwnRows     = 60       // jobs with rows of their own in one batch
	maxBundleBytes = 40 << 10 // size of one bundle, below the limit of a row
	bundlePrefix   = ".b."    // prefix of bundle names; job IDs contain no dots
)

// bundle is a row with the progress of several jobs.
type bundle struct {
	key  table.Key
	live int // jobs whose newest progress it has
}

// packBundles writes the progress of jobs to bundles.
func (s *State) packBundles(js []*job) error {
	b, size := s.newBundle(), 0
	rows := map[string]json.RawMessage{}
	put := func() error {
		v, err := json.Marshal(rows)
		if err != nil {
			return fmt.Errorf("encode bundle: %w", err)
		}
		s.batch.Rows = append(s.batch.Rows, table.Row{Key: b.key, Value: v})
		return nil
	}
	for _, j := range js {
		r, err := j.row(s.Service)
		if err != nil {
			return err
		}
		if size > 0 && size+len(r.Value) > maxBundleBytes {
			if err = put(); err != nil {
				return err
			}
			b, size, rows = s.newBundle(), 0, map[string]json.RawMessage{}
		}
		rows[j.ID] = r.Value
		size += len(r.Value)
		s.leaveBundle(j)
		j.bundle = b
		b.live++
	}
	return put()
}

func (s *State) newBundle() *bundle {
	s.bundleCount++
	return &bundle{key: ProgressKey(s.Service, fmt.Sprintf("%s%d.%d", bundlePrefix, s.Term, s.bundleCount))}
}

// leaveBundle records that the bundle of a job no longer has its newest
// progress.
func (s *State) leaveBundle(j *job) {
	b := j.bundle
	if b == nil {
		return
	}
	j.bundle = nil
	if b.live--; b.live == 0 {
		s.batch.Delete = append(s.batch.Delete, b.key)
	}
}

// SavedProgress is the progress of a shard's jobs as the store has it.
type SavedProgress struct {
	rows     map[string][]byte // newest progress, by job
	bundleOf map[string]string // name of the bundle, by job, for jobs that are in one
	bundles  map[string]bool   // names of all bundles
}

// ReadProgress finds the newest progress of each job in rows of ProgressTable.
// It also returns the names of unreadable rows.
func ReadProgress(rows []table.Row) (sv SavedProgress, bad []string) {
	sv = SavedProgress{map[string][]byte{}, map[string]string{}, map[string]bool{}}
	at := map[string]int64{}
	take := func(id string, value []byte, version int64, in string) {
		if v, ok := at[id]; ok && v >= version {
			return
		}
		at[id], sv.rows[id] = version, value
		delete(sv.bundleOf, id)
		if in != "" {
			sv.bundleOf[id] = in
		}
	}
	for _, r := range rows {
		if !strings.HasPrefix(r.Name, bundlePrefix) {
			take(r.Name, r.Value, r.Version, "")
			continue
		}
		sv.bundles[r.Name] = true
		var js map[string]json.RawMessage
		if err := json.Unmarshal(r.Value, &js); err != nil {
			bad = append(bad, r.Name)
			continue
		}
		for id, v := range js {
			take(id, v, r.Version, r.Name)
		}
	}
	return sv, bad
}

// Row returns the newest progress of a job, or nil if it has none.
func (sv *SavedProgress) Row(id string) []byte { return sv.rows[id] }

// AdoptBundles takes over the bundles of a previous owner, once the jobs are
// loaded.
func (s *State) AdoptBundles(sv SavedProgress) {
	bs := map[string]*bundle{}
	for id, name := range sv.bundleOf {
		j := s.jobs[id]
		if j == nil {
			continue
		}
		if bs[name] == nil {
			bs[name] = &bundle{key: ProgressKey(s.Service, name)}
		}
		bs[name].live++
		j.bundle = bs[name]
	}
	for name := range sv.bundles {
		if bs[name] == nil {
			s.batch.Delete = append(s.batch.Delete, ProgressKey(s.Service, name))
		}
	}
}

// BundleRange is the range of names that bundles have.
func BundleRange() (from, to string) { return bundlePrefix, bundlePrefix + "\xff" }
