package shard

import "jasminestep/internal/work"

// Estimates of what an owner keeps in memory, in bytes.
const (
	jobWeight  = 2000 // without steps and spec
	stepWeight = 1200 // without tasks
	taskWeight = 350
)

// Weight estimates the memory in bytes that an owner needs for one round of a job.
func Weight(j *work.Job) int64 {
	n := jobWeight + int64(len(j.Spec))
	for i := range j.Steps {
		n += stepWeight + int64(j.Steps[i].Tasks)*taskWeight
	}
	return n
}

// Weight estimates the memory in bytes that unfinished jobs take.
func (s *State) Weight() int64 {
	n := int64(0)
	for _, j := range s.jobs {
		if !j.state.Terminal() {
			n += Weight(j.Job) * int64(max(j.nextRound-j.finished, 1))
		}
	}
	return n
}
