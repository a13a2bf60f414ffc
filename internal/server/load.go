package server

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"jasminestep/internal/shard"
	"jasminestep/internal/table"
	"jasminestep/internal/work"
)

// load reads the whole shard.
func (o *owner) load() error {
	ctx, cancel := context.WithTimeout(o.ctx, loadTimeout)
	defer cancel()
	minions, err := loadRows(ctx, "minions", func() (table.Range, error) {
		began := monotonicNow()
		r, err := table.ReadAll(ctx, o.s.relayStore, o.s.Codec.MinionTable)
		if err == nil {
			o.s.writeTimes.observe(r.Version, began)
		}
		return r, err
	})
	if err != nil {
		return err
	}
	jobs, err := loadRows(ctx, "jobs", func() (table.Range, error) { return readJobs(ctx, o.s.relayStore) })
	if err != nil {
		return err
	}
	own := map[string]table.Range{}
	for _, name := range []string{shard.ProgressTable, shard.LearnedTable, shard.LeaseTable, shard.CalledTable} {
		own[name], err = loadRows(ctx, name, func() (table.Range, error) { return o.s.relayStore.Read(ctx, name, o.service, "", "") })
		if err != nil {
			return err
		}
	}
	o.minionVersion, o.jobVersion = minions.Version, jobs.Version
	now := monotonicNow()
	o.applyMinionRows(now, minions.Rows, true)
	o.applyLearned(own[shard.LearnedTable].Rows)
	saved, bad := shard.ReadProgress(own[shard.ProgressTable].Rows)
	for _, name := range bad {
		o.s.Log.Error("job row invalid", "job", name, "why", "the row holds the progress of several jobs and cannot be decoded")
	}
	o.applyJobRows(now, jobs.Rows, saved)
	o.state.AdoptBundles(saved)
	o.state.DropOrphans(saved, rowNames(jobs.Rows))
	o.applyLeases(own[shard.LeaseTable].Rows)
	if err := o.state.LoadCalled(own[shard.CalledTable].Rows, o.seq.Called); err != nil {
		o.s.Log.Error("record of called minions invalid", "service", o.service, "why", err.Error())
	}
	o.s.Log.Info("shard loaded", "service", o.service, "term", o.term, "jobs", len(jobs.Rows), "minions", len(minions.Rows))
	return nil
}

// applyLearned takes over what a former owner has learned; what can't be used is
// learned anew.
func (o *owner) applyLearned(rows []table.Row) {
	for _, r := range rows {
		if err := o.state.LoadLearned(r.Value); err != nil {
			o.s.Log.Error("learned run times invalid", "service", o.service, "why", err.Error())
		}
	}
}

// applyLeases takes over what a former owner knew of silent minions. Without it
// their runs wait longer.
func (o *owner) applyLeases(rows []table.Row) {
	var row []byte
	if len(rows) > 0 {
		row = rows[0].Value
	}
	if err := o.state.LoadLeases(row); err != nil {
		o.s.Log.Error("lease row invalid", "service", o.service, "why", err.Error())
	}
}

// loadTimeout limits the time to read a shard; after it another entry may try.
const loadTimeout = 10 * time.Second

// readJobs reads all job rows. It reads every part, also those that are empty at
// present: the version of the result has to precede all changes that are not in
// it, or the feed that continues from there would show jobs that were archived
// long ago.
func readJobs(ctx context.Context, s table.Store) (table.Range, error) {
	parts := make([]string, jobParts)
	for i := range parts {
		parts[i] = partName(i)
	}
	return table.ReadParts(ctx, s, jobTable, parts)
}

// loadRows repeats a read until it succeeds or ctx ends. what names the rows in
// the error.
func loadRows(ctx context.Context, what string, f func() (table.Range, error)) (table.Range, error) {
	for {
		r, err := f()
		if err == nil {
			return r, nil
		}
		if ctx.Err() != nil {
			return r, fmt.Errorf("read rows of %s: %w", what, err)
		}
		sleep(ctx, writeRetryDelay)
	}
}

// applyJobRows applies rows of jobs and cancellations.
func (o *owner) applyJobRows(now time.Time, rows []table.Row, saved shard.SavedProgress) {
	var jobs []*work.Job
	for _, r := range rows {
		if r.Deleted || strings.HasSuffix(r.Name, cancelSuffix) {
			continue
		}
		j := &work.Job{}
		if err := json.Unmarshal(r.Value, j); err != nil {
			o.s.Log.Error("job row invalid", "job", r.Name, "why", err.Error())
			continue
		}
		if j.Service != o.service {
			continue
		}
		if err := validateJob(j); err != nil {
			o.s.Log.Error("job row invalid", "job", r.Name, "why", err.Error())
			continue
		}
		jobs = append(jobs, j)
	}
	// The rates of accounts are counted in the order of arrival.
	slices.SortStableFunc(jobs, func(a, b *work.Job) int { return cmp.Compare(a.Accepted, b.Accepted) })
	for _, j := range jobs {
		if err := o.state.Load(now, time.Now(), j, saved.Row(j.ID)); err != nil {
			o.s.Log.Error("job row invalid", "job", j.ID, "why", err.Error())
		}
	}
	for _, r := range rows {
		if id, ok := strings.CutSuffix(r.Name, cancelSuffix); ok && !r.Deleted {
			o.state.Cancel(now, id)
		}
	}
}

func (o *owner) applyMinionRows(now time.Time, rows []table.Row, whole bool) {
	listed := map[string]bool{}
	for _, r := range rows {
		if r.Deleted {
			o.state.UnlistMinion(now, r.Name)
			continue
		}
		m, ok := o.s.Codec.DecodeMinion(r.Name, r.Value)
		listed[r.Name] = true // an invalid row names no minion, but ends none either
		if !ok {
			o.s.Log.Debug("minion row invalid", "minion", r.Name)
			continue
		}
		o.state.UpdateMinion(now, m, o.s.writeTimes.writtenAfter(r.Version))
	}
	if whole {
		o.state.UnlistMissing(now, listed)
	}
}

// followJobs finds jobs and cancellations that this owner was not notified of.
func (o *owner) followJobs() {
	f := follower{store: o.s.relayStore, table: jobTable, read: readJobs, gap: feedInterval, report: o.s.feedLogger("jobs"), observe: o.s.writeTimes.observe}
	f.apply = func(rows []table.Row, _ bool) {
		o.post(func(now time.Time) { o.applyJobRows(now, rows, shard.SavedProgress{}) })
	}
	f.run(o.ctx, o.jobVersion)
}

func (o *owner) followMinions() {
	f := follower{store: o.s.relayStore, table: o.s.Codec.MinionTable, gap: feedInterval, report: o.s.feedLogger("minions"), observe: o.s.writeTimes.observe}
	f.apply = func(rows []table.Row, whole bool) {
		o.post(func(now time.Time) { o.applyMinionRows(now, rows, whole) })
	}
	f.run(o.ctx, o.minionVersion)
}
