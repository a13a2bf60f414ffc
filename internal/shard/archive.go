package shard

import (
	"time"
)

// A new owner reads all jobs and their progress before it decides anything, so
// these tables must not grow with the number of jobs that have ended. Once the
// end of a job is durable the owner's caller archives it: it replaces the job's
// own row by its outcome. Then the progress row is deleted. The order matters,
// because a job with a row of its own but no progress would run again.
//
// The shard remembers the ID of an archived job for Limits.Retention: a late
// message about its submission must not start it again.

// forgottenJob is an archived job of which only the ID is kept.
type forgottenJob struct {
	id     string
	queue  string
	expiry time.Time // when the ID is dropped too
}

// HandleArchived records that the outcomes of jobs from Batch.Ended are in the
// archive and that the jobs have no rows of their own any more.
func (s *State) HandleArchived(now time.Time, ids []string) {
	for _, id := range ids {
		j := s.jobs[id]
		if j == nil || j.archived {
			continue
		}
		j.archived = true
		s.forgotten = append(s.forgotten, forgottenJob{id, j.Queue, now.Add(s.Limits.Retention)})
		s.forgottenIDs[id] = true
		s.forgetIfArchived(j)
	}
}

// forgetIfArchived drops an archived job once none of its runs is left: until
// then reports of its runs are matched with it.
func (s *State) forgetIfArchived(j *job) {
	if !j.archived || j.runs > 0 || s.jobs[j.ID] == nil {
		return
	}
	delete(s.jobs, j.ID)
	delete(s.lastingJobs, j.ID)
	s.staleRows = append(s.staleRows, ProgressKey(s.Service, j.ID))
}

// dropForgotten drops the IDs of jobs that were archived long enough ago.
func (s *State) dropForgotten(now time.Time) {
	for len(s.forgotten) > 0 && now.After(s.forgotten[0].expiry) {
		f := s.forgotten[0]
		s.forgotten = s.forgotten[1:]
		delete(s.forgottenIDs, f.id)
		s.batch.Statuses = append(s.batch.Statuses, JobStatus{ID: f.id, Queue: f.queue})
	}
}

// maxStaleRows is how many rows of archived jobs one batch deletes, so that the
// deletions do not delay its other changes.
const maxStaleRows = 30

// deleteStaleRows adds deletions of progress rows to the batch.
func (s *State) deleteStaleRows() {
	n := min(len(s.staleRows), maxStaleRows)
	s.batch.Delete = append(s.batch.Delete, s.staleRows[:n]...)
	s.staleRows = s.staleRows[n:]
}

// DropOrphans schedules the deletion of progress rows whose jobs have no row of
// their own: a previous owner archived them but did not delete their progress.
func (s *State) DropOrphans(sv SavedProgress, hasRow map[string]bool) {
	for id := range sv.rows {
		if !hasRow[id] && sv.bundleOf[id] == "" {
			s.staleRows = append(s.staleRows, ProgressKey(s.Service, id))
		}
	}
}
