package server

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	"jasminestep/internal/shard"
	"jasminestep/internal/table"
)

// The time to load a shard must not grow with the number of jobs that have
// ended. The owner therefore archives ended jobs: one transaction replaces the
// rows of several jobs of a part by their outcomes, which no new owner reads.

// Timing and limits of archiving.
const (
	archiveDelay    = 2 * time.Second // from the end of a job, to archive several with one transaction
	archiveInterval = 100 * time.Millisecond
	maxArchiveBatch = 30 // jobs in one transaction
)

// Outcome is the stored row of an archived job.
type Outcome struct {
	Queue string         `json:"q"`
	State shard.JobState `json:"st"`
	At    int64          `json:"at"` // when the job was archived, Unix milliseconds

	Account string `json:"ac,omitempty"`
}

// archiveQueue holds the ended jobs that are not archived yet. The zero value is
// empty.
type archiveQueue struct {
	mu    sync.Mutex
	parts map[string]*archivePart // by part of jobTable
}

// archivePart holds the jobs of one part.
type archivePart struct {
	since time.Time // when the first of them was added
	jobs  []shard.JobStatus
}

// add queues ended jobs.
func (q *archiveQueue) add(now time.Time, jobs []shard.JobStatus) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, j := range jobs {
		part := jobKey(j.ID).Part
		if q.parts == nil {
			q.parts = map[string]*archivePart{}
		}
		if q.parts[part] == nil {
			q.parts[part] = &archivePart{since: now}
		}
		q.parts[part].jobs = append(q.parts[part].jobs, j)
	}
}

// take removes and returns the jobs of a part that is due, or nil if none is.
func (q *archiveQueue) take(now time.Time) []shard.JobStatus {
	q.mu.Lock()
	defer q.mu.Unlock()
	for name, p := range q.parts {
		if now.Sub(p.since) < archiveDelay && len(p.jobs) < maxArchiveBatch {
			continue
		}
		n := min(len(p.jobs), maxArchiveBatch)
		out := p.jobs[:n]
		if p.jobs = p.jobs[n:]; len(p.jobs) == 0 {
			delete(q.parts, name)
		}
		return out
	}
	return nil
}

// archiveJobs archives ended jobs as long as this entry owns the shard.
func (o *owner) archiveJobs() {
	for o.ctx.Err() == nil {
		jobs := o.archive.take(monotonicNow())
		if len(jobs) == 0 {
			sleep(o.ctx, archiveInterval)
			continue
		}
		if err := o.archiveBatch(jobs); err != nil {
			o.s.Log.Error("jobs cannot be archived", "service", o.service, "jobs", len(jobs), "why", err.Error())
			return
		}
	}
}

// archiveBatch archives jobs of one part. It retries until it succeeds or the
// shard is lost; the transaction may be repeated because an outcome does not
// change.
func (o *owner) archiveBatch(jobs []shard.JobStatus) error {
	tx, err := archiveTx(jobs, time.Now())
	if err != nil {
		return err
	}
	for logged := false; ; logged = true {
		_, err = o.s.relayStore.Do(o.ctx, tx)
		if err == nil {
			break
		}
		if o.ctx.Err() != nil {
			return nil // the next owner archives them
		}
		if !logged {
			o.s.Log.Warn("jobs not archived yet", "service", o.service, "jobs", len(jobs), "why", err.Error())
		}
		sleep(o.ctx, retryDelay)
	}
	ids := make([]string, len(jobs))
	for i, j := range jobs {
		ids[i] = j.ID
	}
	o.post(func(now time.Time) { o.state.HandleArchived(now, ids) })
	return nil
}

// archiveTx replaces the rows of jobs by their outcomes.
func archiveTx(jobs []shard.JobStatus, wall time.Time) (tx table.Tx, err error) {
	for _, j := range jobs {
		b, err := json.Marshal(Outcome{j.Queue, j.State, wall.UnixMilli(), j.Account})
		if err != nil {
			return tx, fmt.Errorf("encode outcome of %s: %w", j.ID, err)
		}
		tx.Put = append(tx.Put, table.Row{Key: outcomeKey(j.ID), Value: b})
		tx.Delete = append(tx.Delete, jobKey(j.ID), jobKey(j.ID+cancelSuffix))
	}
	return tx, nil
}

// expireOutcomes deletes outcomes whose retention time is over, one part after
// the other.
func (o *owner) expireOutcomes() {
	keep := time.Duration(o.s.Settings.JobRetention) * time.Millisecond
	for part := 0; o.ctx.Err() == nil; part = (part + 1) % jobParts {
		sleep(o.ctx, keep/jobParts)
		if err := o.expirePart(partName(part), time.Now().Add(-keep)); err != nil && o.ctx.Err() == nil {
			o.s.Log.Warn("outcomes not deleted", "part", part, "why", err.Error())
		}
	}
}

// expirePart deletes the outcomes of a part that are older than limit.
func (o *owner) expirePart(part string, limit time.Time) error {
	r, err := o.s.relayStore.Read(o.ctx, outcomeTable, part, "", "")
	if err != nil {
		return fmt.Errorf("read outcomes: %w", err)
	}
	var tx table.Tx
	for _, row := range r.Rows {
		out, err := decodeOutcome(row)
		if err != nil {
			o.s.Log.Error("outcome row invalid", "job", row.Name, "why", err.Error())
			continue
		}
		if out.At < limit.UnixMilli() && len(tx.Delete) < maxRowsPerTx {
			tx.Delete = append(tx.Delete, row.Key)
		}
	}
	if len(tx.Delete) == 0 {
		return nil
	}
	if _, err = o.s.relayStore.Do(o.ctx, tx); err != nil {
		return fmt.Errorf("delete outcomes: %w", err)
	}
	return nil
}

func decodeOutcome(r table.Row) (out Outcome, err error) {
	if err = json.Unmarshal(r.Value, &out); err != nil {
		return out, fmt.Errorf("outcome of job %s: %w", r.Name, err)
	}
	return out, nil
}

// readOutcome reads the outcome of an archived job.
func (s *Server) readOutcome(ctx context.Context, id string) (sh shard.JobStatus, found bool, err error) {
	k := outcomeKey(id)
	r, err := s.relayStore.Read(ctx, k.Table, k.Part, id, id+"\x00")
	if err != nil || len(r.Rows) == 0 {
		return sh, false, err
	}
	out, err := decodeOutcome(r.Rows[0])
	if err != nil {
		return sh, false, err
	}
	return shard.JobStatus{ID: id, Queue: out.Queue, Account: out.Account, State: out.State, Begun: true}, true, nil
}

// rowNames returns the names of the jobs that have rows.
func rowNames(rows []table.Row) map[string]bool {
	out := make(map[string]bool, len(rows))
	for _, r := range rows {
		if !strings.HasSuffix(r.Name, cancelSuffix) {
			out[r.Name] = true
		}
	}
	return out
}
