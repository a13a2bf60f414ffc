package shard

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A job whose own row is still there must have its progress, or the next owner
// runs it again.
func TestProgressGoesAfterTheJobsOwnRow(t *testing.T) {
	w, o := begun(t, 1)
	w.submit(newJob("a", tasks(1, 1000)))
	w.turn()
	w.finishAll()
	w.turn()
	assert.Equal(t, w.state("a"), Completed)
	w.pass(w.limits.Retention + time.Second)
	o.st.Decide(w.now, w.now, QueryCapacity{})
	b, err := o.st.TakeBatch()
	assert.NilError(t, err)
	assert.DeepEqual(t, b.ExpiredJobs, []string{"a"})
	assert.Equal(t, len(b.Delete), 0)
	assert.Assert(t, o.st.HasJob("a"))
	o.st.HandleJobDeleted("a")
	b, err = o.st.TakeBatch()
	assert.NilError(t, err)
	assert.Equal(t, len(b.Delete), 1)
	assert.Assert(t, !o.st.HasJob("a"))
}

// What many jobs have become while the store was slow travels in few rows, and
// is found again; a bundle goes when nothing in it is news.
func TestBundlesKeepTheNewestProgress(t *testing.T) {
	w := newWorld(t, 8)
	w.limits.MaxRows = 1
	w.takeOver()
	w.turn()
	for i := range 6 {
		w.submit(newJob(fmt.Sprint("j", i), tasks(2, 1000)))
	}
	w.turn()
	bundles := func() (n int) {
		for name := range w.rows {
			if strings.HasPrefix(name, bundleMark) {
				n++
			}
		}
		return n
	}
	assert.Equal(t, bundles(), 1)
	w.takeOver()
	w.turn()
	w.finishAll()
	w.turn()
	w.turn()
	for i := range 6 {
		assert.Equal(t, w.state(fmt.Sprint("j", i)), Completed)
	}
	assert.Equal(t, bundles(), 0)
	assert.Equal(t, len(w.rows), 6)
}
