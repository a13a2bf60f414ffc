package account

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminestep/internal/work"
)

func TestAdmit(t *testing.T) {
	cfg := &work.Config{}
	private, public := &work.Queue{}, &work.Queue{Public: true}
	closed := Rule{FailClosed: true, MaxAge: time.Second}
	a, v := closed.Admit(cfg, private, "", time.Hour)
	assert.Assert(t, a == nil && v == Admitted, "without accounts nothing needs a key")
	assert.NilError(t, cfg.SetAccounts([]work.Account{{Name: "a", Keys: []string{"k"}, Weight: 1}}))
	for _, c := range []struct {
		rule    Rule
		queue   *work.Queue
		key     string
		age     time.Duration
		account string
		verdict Verdict
	}{
		{Rule{}, private, "k", time.Hour, "a", Admitted},
		{Rule{}, private, "", 0, "", UnknownKey},
		{Rule{}, private, "x", 0, "", UnknownKey},
		{Rule{}, public, "", 0, "", Admitted},
		{Rule{}, public, "k", 0, "", Admitted},
		{closed, private, "k", time.Second, "a", Admitted},
		{closed, private, "k", 2 * time.Second, "", Outdated},
		{closed, public, "", 2 * time.Second, "", Admitted},
	} {
		got, v := c.rule.Admit(cfg, c.queue, c.key, c.age)
		assert.Equal(t, v, c.verdict, "%+v", c)
		assert.Equal(t, got != nil, c.account != "", "%+v", c)
	}
}

func TestAnotherAccountSeesNoJob(t *testing.T) {
	assert.Assert(t, !MaySee("a", "b"))
	assert.Assert(t, MaySee("a", "a"))
	assert.Assert(t, MaySee("", "b"), "the queue is public by now")
	assert.Assert(t, MaySee("a", ""), "the queue was public")
}
