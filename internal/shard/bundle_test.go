package shard

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Progress must outlive the job's own row: if it were deleted first, the next
// owner would run the job again.
func TestProgressGoesAfterTheJobsOwnRow(t *testing.T) {
	w, o := newOwnedCluster(t, 1)
	w.submit(newJob("a", tasks(1, 1000)))
	w.cycle()
	w.finishAll()
	w.cycle()
	assert.Equal(t, w.state("a"), Completed)
	assert.DeepEqual(t, o.ended, []JobStatus{{ID: "a", Queue: "q", State: Completed, Begun: true}})
	w.pass(w.limits.Retention + time.Second)
	o.st.Decide(w.now, w.now, QueryCapacity{})
	b, err := o.st.TakeBatch()
	assert.NilError(t, err)
	assert.Equal(t, len(b.Delete), 0)
	assert.Assert(t, o.st.HasJob("a"))
	o.st.HandleArchived(w.now, []string{"a"})
	b, err = o.st.TakeBatch()
	assert.NilError(t, err)
	assert.Equal(t, len(b.Delete), 1)
	assert.Assert(t, !o.st.HasJob("a"))
}

// While the store is slow, the progress of many jobs is written in few rows. A
// successor must find all of it, and a bundle is deleted once it has the newest
// progress of no job.
func TestBundlesKeepTheNewestProgress(t *testing.T) {
	w := newSimCluster(t, 8)
	w.limits.MaxRows = 1
	w.takeOver()
	w.cycle()
	for i := range 6 {
		w.submit(newJob(fmt.Sprint("j", i), tasks(2, 1000)))
	}
	w.cycle()
	bundles := func() (n int) {
		for name := range w.rows {
			if strings.HasPrefix(name, bundlePrefix) {
				n++
			}
		}
		return n
	}
	assert.Equal(t, bundles(), 1)
	w.takeOver()
	w.cycle()
	w.finishAll()
	w.cycle()
	w.cycle()
	for i := range 6 {
		assert.Equal(t, w.state(fmt.Sprint("j", i)), Completed)
	}
	assert.Equal(t, bundles(), 0)
	assert.Equal(t, len(w.rows), 6)
}
