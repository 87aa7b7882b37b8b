package member_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/figwick/figwick/internal/base/eval"
	"github.com/figwick/figwick/internal/state/member"
)

// TestLeaveNotice guards against nodes that send requests to one which is stopping for as long as gossip takes
// to reach them: the notice marks it as leaving at once, and its answer carries no records.
func TestLeaveNotice(t *testing.T) {
	now := eval.Context{Now: time.Unix(1_000_000, 0), Random: eval.NewRandom(1)}
	stopping := member.New(member.Config{Self: member.Record{ID: "a", Address: "10.0.0.1:1", Zone: "z", Incarnation: 1}})
	other := member.New(member.Config{Self: member.Record{ID: "b", Address: "10.0.0.2:1", Zone: "z", Incarnation: 1}})
	other.MergeRecords(now.Now, []member.Record{stopping.Self(), {ID: "c", Address: "10.0.0.3:1", Zone: "z", Incarnation: 1}})
	stopping.SetAppliedRevision(7)
	stopping.Leave(now, false)
	notice := stopping.LeaveNotice("10.0.0.2:1")
	assert.Equal(t, notice.Address, "10.0.0.2:1")
	answer := other.Receive(now, notice.Message)
	assert.Equal(t, len(answer.Records), 0)
	_, state, known := other.Find("a")
	assert.Check(t, known)
	assert.Equal(t, state, member.Leaving)
	assert.Equal(t, other.NewestRevision().Revision, stopping.AppliedRevision())
}
