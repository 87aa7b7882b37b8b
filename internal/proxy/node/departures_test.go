package node

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/figwick/figwick/internal/base/eval"
	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/fake/kvs"
	"github.com/figwick/figwick/internal/policy/admit"
	"github.com/figwick/figwick/internal/state/roster"
	"github.com/figwick/figwick/internal/state/store"
)

// listingStore is a store whose lists hold the values, as a fleet with StoreDiscovery needs.
type listingStore struct {
	*kvs.Store
}

func (s listingStore) List(ctx context.Context, prefix string) ([]store.Item, error) {
	items, err := s.Store.List(ctx, prefix)
	for i := range items {
		if item, err := s.Get(ctx, items[i].Key); err == nil {
			items[i] = item
		}
	}
	return items, err
}

// serve starts one run of a node that answers its peers at an address, registers it once and
// gossips. The returned function ends the run as SIGKILL does.
func serve(t *testing.T, kv Store, id ident.Node, address string, seeds ...string) (*Node, func()) {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	n, err := New(Config{
		ID: id, Zone: "a", Address: listener.Addr().String(), Store: kv, StoreDiscovery: true, Join: seeds,
		Listeners: Listeners{Callers: listener, Peers: listener}, ExtraListeners: []ExtraListener{{}},
		Clock: clockwork.NewRealClock(), Random: eval.GlobalRandom{}, Log: hclog.NewNullLogger(), Scope: tally.NoopScope,
	})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	var loops sync.WaitGroup
	loops.Go(func() { _ = n.links.Serve(ctx, listener) })
	n.registration.step(ctx)
	loops.Go(func() { _ = n.runEvery(ctx, 20*time.Millisecond, n.fleet.tick) })
	end := sync.OnceFunc(func() {
		cancel()
		_ = listener.Close()
		n.links.Close()
		loops.Wait()
	})
	t.Cleanup(end)
	return n, end
}

func awaitFleet(t *testing.T, n *Node, size int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if live := len(n.fleet.live()); live != size {
			return poll.Continue("%d nodes are known", live)
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(5*time.Millisecond))
}

// TestDepartureOutlivesStoreAndRun guards against a delayed announcement that brings a backend
// server back which has left: the node that acknowledged the departure is killed, and the store
// does not hold the departure. It came back from an older copy or was away, or it is still away.
func TestDepartureOutlivesStoreAndRun(t *testing.T) {
	for _, c := range []struct {
		name string
		// awayBefore and awayAfter are whether the store is away at the departure and at
		// the node's next start.
		awayBefore, awayAfter bool
		// early is whether the delayed announcement comes before the node has found
		// another one.
		early bool
	}{
		{"older copy", false, false, false},
		{"away at the departure", true, false, false},
		{"still away", true, true, false},
		{"still away, announced early", true, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			kv := listingStore{kvs.New(clockwork.NewRealClock())}
			peer, _ := serve(t, kv, "node-2", "127.0.0.1:0")
			first, kill := serve(t, kv, "node-1", "127.0.0.1:0")
			awaitFleet(t, peer, 2)
			_, err := first.Announce(word(4, roster.Serving))
			assert.NilError(t, err)
			saved := kv.Snapshot()
			kv.Inject(kvs.Faults{Down: c.awayBefore})
			first.registration.store.unreachable.Store(c.awayBefore)
			_, err = first.Announce(word(5, roster.Draining))
			assert.NilError(t, err)
			kill()
			kv.Restore(saved)
			kv.Inject(kvs.Faults{Down: c.awayAfter})

			seeds := []string{peer.config.Address}
			if c.early {
				seeds = nil
			}
			next, _ := serve(t, kv, "node-1", first.config.Address, seeds...)
			if c.awayAfter {
				next.started = next.started.Add(-restoreTimeout)
			}
			if c.early {
				// The departure may be known by now.
				if _, err = next.announce(word(4, roster.Serving)); err != nil {
					assert.ErrorIs(t, err, roster.ErrStale)
				}
				next.updateServing()
			}
			if c.awayAfter {
				awaitFleet(t, next, 2)
			}
			if !c.early {
				_, err = next.Announce(word(4, roster.Serving))
				assert.ErrorIs(t, err, roster.ErrStale)
				return
			}
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				var servers []roster.Announcement
				next.side.WithController(func(_ eval.Context, d *admit.Controller) { servers = d.Servers() })
				if len(servers) > 0 {
					return poll.Continue("the server is in use")
				}
				return poll.Success()
			}, poll.WithTimeout(3*time.Second))
		})
	}
}
