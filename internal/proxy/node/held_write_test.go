package node

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/figwick/figwick/internal/fake/kvs"
	"github.com/figwick/figwick/internal/state/roster"
	"github.com/figwick/figwick/internal/state/store"
)

// heldStore is a store that does not answer writes. It sends on writing when one begins.
type heldStore struct {
	*kvs.Store
	hold    atomic.Bool
	writing chan struct{}
}

func (s *heldStore) CAS(
	ctx context.Context, key string, value []byte, version store.Version, lease store.Lease,
) (store.Item, error) {
	if !s.hold.Load() {
		return s.Store.CAS(ctx, key, value, version, lease)
	}
	select {
	case s.writing <- struct{}{}:
	default:
	}
	<-ctx.Done()
	return store.Item{}, store.ErrUnavailable
}

// TestDepartureIsAcknowledgedInTime guards against a backend server that waits in vain for the
// acknowledgement of its departure, because the node is writing its entry to a slow store. The
// backend server waits one second. The departure is written once the store answers.
func TestDepartureIsAcknowledgedInTime(t *testing.T) {
	kv := &heldStore{Store: kvs.New(clockwork.NewRealClock()), writing: make(chan struct{}, 1)}
	n := run(t, kv)
	kv.Restore(kv.Snapshot())
	kv.hold.Store(true)
	ctx, cancel := context.WithCancel(t.Context())
	var renewal sync.WaitGroup
	renewal.Go(func() { _ = n.registration.renew(ctx, time.Now().Add(renewInterval)) })
	<-kv.writing

	acknowledged := make(chan error, 1)
	go func() {
		_, err := n.Announce(word(5, roster.Draining))
		acknowledged <- err
	}()
	select {
	case err := <-acknowledged:
		assert.NilError(t, err)
	case <-time.After(time.Second):
		t.Error("no acknowledgement within a second")
	}
	cancel()
	renewal.Wait()
	kv.hold.Store(false)
	assert.NilError(t, n.registration.renew(t.Context(), time.Now().Add(2*renewInterval)))
	item, err := kv.Get(t.Context(), n.registration.key())
	assert.NilError(t, err)
	assert.Check(t, strings.Contains(string(item.Value), "i-1"), "entry %s", item.Value)
}
