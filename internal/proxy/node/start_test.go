package node

import (
	"context"
	"net"
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
	"github.com/figwick/figwick/internal/state/store"
)

// startFollower starts a node that follows a ConfigSource, without its servers for callers.
func startFollower(t *testing.T, kv Store, id ident.Node) *Node {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	n, err := New(Config{
		ID: id, Zone: "a", Address: listener.Addr().String(), Store: kv, StoreDiscovery: true, Source: numberSource{},
		Listeners: Listeners{Callers: listener, Peers: listener}, ExtraListeners: []ExtraListener{{}},
		Clock: clockwork.NewRealClock(), Random: eval.GlobalRandom{}, Log: hclog.NewNullLogger(), Scope: tally.NoopScope,
	})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	loops := &tasks{onFailure: func() {}}
	loops.Go(func() error { return n.links.Serve(ctx, listener) })
	loops.Go(func() error { return n.sourceFollower.watch(ctx) })
	loops.Go(func() error { return n.sourceFollower.fetchNewer(ctx) })
	loops.Go(func() error { return n.registration.run(ctx) })
	loops.Go(func() error { return n.runEvery(ctx, gossipInterval, n.fleet.tick) })
	t.Cleanup(func() {
		cancel()
		n.links.Close()
		_ = loops.Wait()
	})
	return n
}

func awaitRevision(t *testing.T, n *Node, revision ident.Revision, timeout time.Duration) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if present := n.revision(); present != revision {
			return poll.Continue("%s: revision %d is in force", n.config.ID, present)
		}
		return poll.Success()
	}, poll.WithTimeout(timeout), poll.WithDelay(5*time.Millisecond))
}

// TestStartedNodeLeavesOlderConfiguration guards against a node that starts after the store has come back
// from an older copy and keeps the configuration of that copy, while the other nodes have a newer one.
// A configuration must be in force everywhere two seconds after its acknowledgement.
func TestStartedNodeLeavesOlderConfiguration(t *testing.T) {
	kv := listingStore{kvs.New(clockwork.NewRealClock())}
	item, err := kv.CAS(t.Context(), configKey, []byte("3"), store.Version{}, store.Lease{})
	assert.NilError(t, err)
	peers := []*Node{startFollower(t, kv, "node-1"), startFollower(t, kv, "node-2")}
	for _, p := range peers {
		awaitFleet(t, p, 2)
	}
	saved := kv.Snapshot()
	_, err = kv.CAS(t.Context(), configKey, []byte("5"), item.Version, store.Lease{})
	assert.NilError(t, err)
	for _, p := range peers {
		awaitRevision(t, p, 5, 2*time.Second)
	}
	kv.Restore(saved)
	awaitRevision(t, startFollower(t, kv, "node-3"), 5, 2*time.Second)
	for _, p := range peers {
		assert.Equal(t, p.revision(), ident.Revision(5))
	}
}
