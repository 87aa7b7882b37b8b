package node

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/figwick/figwick/internal/base/meter"
	"github.com/figwick/figwick/internal/fake/kvs"
	"github.com/figwick/figwick/internal/state/store"
)

// overtakenStore is a store that comes back from an older copy just after its era has been read,
// once, and lets another call learn of that before it returns the era read.
type overtakenStore struct {
	*kvs.Store
	overtake func()
}

func (s *overtakenStore) Era() store.Era {
	era := s.Store.Era()
	if overtake := s.overtake; overtake != nil {
		s.overtake = nil
		overtake()
	}
	return era
}

// TestErasAreReportedInOrder guards against a node that takes the store for restored twice, and
// once with the earlier era: two calls ended at the same time, one with an answer of each era.
func TestErasAreReportedInOrder(t *testing.T) {
	kv := &overtakenStore{Store: kvs.New(clockwork.NewRealClock())}
	watched := &countedStore{Store: kv, meter: meter.New(tally.NoopScope), log: hclog.NewNullLogger()}
	var restored []store.Era
	watched.onRestore = append(watched.onRestore, func(era store.Era) { restored = append(restored, era) })
	watched.noteEra()
	other := make(chan struct{})
	kv.overtake = func() {
		kv.Restore(kv.Snapshot())
		go func() {
			watched.noteEra()
			close(other)
		}()
		select {
		case <-other:
		case <-time.After(100 * time.Millisecond):
		}
	}
	watched.noteEra()
	<-other
	watched.noteEra()
	assert.DeepEqual(t, restored, []store.Era{2})
}
