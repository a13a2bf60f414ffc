package server

import (
	"context"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminestep/internal/shard"
	"jasminestep/internal/table"
	"jasminestep/internal/table/tabletest"
)

// restartTarget is the time within which work on a lost minion starts again,
// whoever owns it meanwhile.
const restartTarget = 7 * time.Second

// TestWorkLostBeforeItsOwnerStartsAgainInTime guards against owners that forget
// what the former one knew of a silent minion.
func TestWorkLostBeforeItsOwnerStartsAgainInTime(t *testing.T) {
	s := newCluster(t, 3, 2)
	s.eventually("an owner", func() bool { _, o := s.owner(); return o != nil })
	i, o := s.owner()
	assert.Equal(t, s.submit(o, jobName(1), "1h", 2), http.StatusOK)
	s.eventually("all runs started", func() bool { return s.fleet.running() == 2 })
	s.fleet.crash("m0")
	s.fleet.crash("m1")
	crashed := time.Now()
	s.eventually("what is known of the lost minions", func() bool { return len(rowsOf(t, s.rows, shard.LeaseTable)) == 1 })
	o.Kill()
	s.entries = append(s.entries[:i], s.entries[i+1:]...)
	s.fleet.add("m2", 4000)
	s.writeMinionRows()
	s.eventually("all runs started again", func() bool { return s.fleet.running() == 2 })
	took := time.Since(crashed)
	assert.Assert(t, took <= restartTarget, "took %v", took)
}

// TestPromiseIsOfTheAttemptThatTookEffect guards against leases that outlast what
// the next owner reads, after a write whose first reply was lost.
func TestPromiseIsOfTheAttemptThatTookEffect(t *testing.T) {
	o := loadTest(t, 0, 0)
	rows := o.s.Store.(*tabletest.Store)
	_, err := o.write(nil, nil) // the clock of the store is known from now on
	assert.NilError(t, err)
	lost := 0
	rows.InjectFaults(func(table.Tx) tabletest.Fault {
		if lost++; lost == 1 {
			return tabletest.ReplyLost
		}
		return tabletest.NoFault
	})
	began := monotonicNow()
	startTime, err := o.write(nil, nil)
	assert.NilError(t, err)
	assert.Assert(t, lost > 1)
	assert.Assert(t, startTime.Sub(began) < writeRetryDelay, "%v", startTime.Sub(began))
	r, err := rows.Read(context.Background(), seqTable, "svc", "", "")
	assert.NilError(t, err)
	stored := decodeSeqRow(r.Rows[0])
	assert.Equal(t, stored, o.seq)
	earliest, ok := o.s.storeClock.now().Reached(stored.Promise)
	assert.Assert(t, ok && !earliest.Before(o.state.PromisedEnd(startTime)))
}

func TestClaimKeepsThePromise(t *testing.T) {
	o := loadTest(t, 0, 0)
	res, err := o.s.replaceOwnerRow(o.ctx, "svc", 0, seqRow{Promise: 1234}, OwnerRow{Name: "e", Term: 1})
	assert.NilError(t, err)
	assert.Assert(t, res.Done)
	seq, err := o.s.readSeq(o.ctx, "svc")
	assert.NilError(t, err)
	assert.Equal(t, seq.Promise, int64(1234))
	assert.Equal(t, seq.version, res.Version)
	assert.Equal(t, decodeSeqRow(table.Row{Value: []byte("life.3.7")}), seqRow{Write: "life.3.7"}, "as former versions write it")
}

// TestDeployedLeaseMeetsTheTarget guards against a lease in the deploy file with
// which lost work cannot start again in time.
func TestDeployedLeaseMeetsTheTarget(t *testing.T) {
	b, err := os.ReadFile("../../deploy/entry.json")
	assert.NilError(t, err)
	m := regexp.MustCompile(`"lease": (\d+)`).FindSubmatch(b)
	assert.Assert(t, m != nil)
	ms, err := strconv.Atoi(string(m[1]))
	assert.NilError(t, err)
	limits := shard.DefaultLimits
	limits.Lease = time.Duration(ms) * time.Millisecond
	now := monotonicNow()
	wait := shard.New("svc", 1, now, limits).PromisedEnd(now).Sub(now)
	assert.Assert(t, wait < restartTarget-500*time.Millisecond, "leases end %v after the last write of a lost owner", wait)
}
