package member_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/figwick/figwick/internal/base/eval"
	"github.com/figwick/figwick/internal/state/member"
)

// TestGhostEntryIsForgotten guards against a node that has stopped and lives on in the view of a node
// that starts: its entry is in the older copy from which the store has come back. Users count on views
// without it ten seconds later, as after a stop.
func TestGhostEntryIsForgotten(t *testing.T) {
	f := newFleet(12, 3, eval.NewRandom(3))
	requireAgreement(t, f, time.Minute)
	ghost := f.groups[4].Self()
	ghost.Heartbeat = 0
	f.groups[4].Leave(f.turn(), true)
	f.deliver(4, f.groups[4].ExchangeAll(f.turn()))
	f.down[4] = true
	requireAgreement(t, f, 10*time.Second)

	f.add(12, 3, 1)
	f.groups[12].MergeRecords(f.now, []member.Record{ghost})
	for i := range f.groups[:12] {
		if i != 4 {
			f.groups[12].MergeRecords(f.now, []member.Record{f.groups[i].Self()})
		}
	}
	assert.Equal(t, f.state(12, 4), member.Alive)
	for _, r := range f.groups[12].Live() {
		assert.Equal(t, r.Slots, 0, "an entry makes no sidecar")
	}
	requireAgreement(t, f, 10*time.Second)
	assert.Equal(t, f.state(12, 4), member.Dead)
}
