package shard

import (
	"encoding/json"
	"fmt"
	"strings"

	"jasminestep/internal/table"
)

// A transaction takes so many rows at most, and while the store is slow each
// takes half a second: with a row for each job, what an owner of many minions
// has to make durable meanwhile would not fit. The progress of jobs beyond a
// number is therefore written together, as bundles. A bundle goes once none of
// its jobs has its newest progress there; the end of a job always has a row of
// its own, which is what other entries look for.

// Bounds on what is written at once.
const (
	ownRows     = 60       // jobs with rows of their own, in one batch
	bundleBytes = 40 << 10 // of one bundle, less than a row takes
	bundleMark  = ".b."    // begins the names of bundles; ids of jobs have no dots
)

// bundle is a row with the progress of several jobs.
type bundle struct {
	key  table.Key
	left int // jobs whose newest progress it has
}

// pack puts the progress of jobs into bundles.
func (s *State) pack(js []*job) error {
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
		if size > 0 && size+len(r.Value) > bundleBytes {
			if err = put(); err != nil {
				return err
			}
			b, size, rows = s.newBundle(), 0, map[string]json.RawMessage{}
		}
		rows[j.ID] = r.Value
		size += len(r.Value)
		s.unpack(j)
		j.bundle = b
		b.left++
	}
	return put()
}

func (s *State) newBundle() *bundle {
	s.bundles++
	return &bundle{key: ProgressKey(s.Service, fmt.Sprintf("%s%d.%d", bundleMark, s.Term, s.bundles))}
}

// unpack notes that a job's newest progress is in its bundle no more.
func (s *State) unpack(j *job) {
	b := j.bundle
	if b == nil {
		return
	}
	j.bundle = nil
	if b.left--; b.left == 0 {
		s.batch.Delete = append(s.batch.Delete, b.key)
	}
}

// Saved is the progress of a shard's jobs as the store has it.
type SavedProgress struct {
	rows map[string][]byte // newest progress, by job
	in   map[string]string // bundle of those that are in one, by job
	all  map[string]bool   // bundles
}

// ReadSaved finds the newest progress of each job in rows of ProgressTable. It
// returns the names of rows that cannot be read beside.
func ReadProgress(rows []table.Row) (sv SavedProgress, bad []string) {
	sv = SavedProgress{map[string][]byte{}, map[string]string{}, map[string]bool{}}
	at := map[string]int64{}
	take := func(id string, value []byte, version int64, in string) {
		if v, ok := at[id]; ok && v >= version {
			return
		}
		at[id], sv.rows[id] = version, value
		delete(sv.in, id)
		if in != "" {
			sv.in[id] = in
		}
	}
	for _, r := range rows {
		if !strings.HasPrefix(r.Name, bundleMark) {
			take(r.Name, r.Value, r.Version, "")
			continue
		}
		sv.all[r.Name] = true
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

// Row is the newest progress of a job, or nil if it has none.
func (sv *SavedProgress) Row(id string) []byte { return sv.rows[id] }

// Adopt takes over the bundles of a predecessor, once the jobs are loaded.
func (s *State) AdoptBundles(sv SavedProgress) {
	bs := map[string]*bundle{}
	for id, name := range sv.in {
		j := s.jobs[id]
		if j == nil {
			continue
		}
		if bs[name] == nil {
			bs[name] = &bundle{key: ProgressKey(s.Service, name)}
		}
		bs[name].left++
		j.bundle = bs[name]
	}
	for name := range sv.all {
		if bs[name] == nil {
			s.batch.Delete = append(s.batch.Delete, ProgressKey(s.Service, name))
		}
	}
}

// BundleRange is the range of names that bundles have.
func BundleRange() (from, to string) { return bundleMark, bundleMark + "\xff" }
