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

	"github.com/figwick/figwick/internal/base/eval"
	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/fake/kvs"
	"github.com/figwick/figwick/internal/peer/wire"
	"github.com/figwick/figwick/internal/state/accept"
	"github.com/figwick/figwick/internal/state/config"
)

// newIdle returns a node that is not started.
func newIdle(t *testing.T, id ident.Node, kv Store, clock clockwork.Clock) *Node {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	n, err := New(Config{
		ID: id, Zone: "a", Address: "127.0.0.1:1", Store: kv,
		Listeners: Listeners{Callers: listener, Peers: listener}, ExtraListeners: []ExtraListener{{}},
		Clock: clock, Random: eval.NewRandom(1), Log: hclog.NewNullLogger(), Scope: tally.NoopScope,
	})
	assert.NilError(t, err)
	return n
}

func shop(floor int) accept.Request {
	return accept.Request{Apply: ident.NewApply(), File: &config.File{Version: 1, Services: []config.Service{
		{Name: "shop", Hosts: []string{"shop.test"}, Floor: floor},
	}}}
}

// TestLostConfigurationIsWrittenBack guards against an accepted configuration that a store
// restored from an older copy no longer has: nodes that start later must find it, and the
// next one must not get its revision.
func TestLostConfigurationIsWrittenBack(t *testing.T) {
	clock := clockwork.NewFakeClock()
	kv := kvs.New(clock)
	n := newIdle(t, "node-1", kv, clock)
	saved := kv.Snapshot()
	first, err := n.Apply(t.Context(), shop(1))
	assert.NilError(t, err)
	assert.Equal(t, first.State, accept.Accepted)
	assert.Equal(t, n.revision(), ident.Revision(1), "in force before the operator has the outcome")

	kv.Restore(saved)
	_, _ = n.configs.store.Get(t.Context(), seedsKey)
	n.configs.writeBack(t.Context())
	later := newIdle(t, "node-2", kv, clock)
	item, err := kv.Get(t.Context(), accept.HeadKey)
	assert.NilError(t, err)
	later.configs.adoptIfNewer(t.Context(), item.Value, "store", later.configs.readChunks)
	assert.Equal(t, later.revision(), ident.Revision(1))

	kv.Restore(saved)
	done := make(chan accept.Result)
	go func() {
		result, err := n.Apply(context.Background(), shop(2))
		assert.Check(t, err)
		done <- result
	}()
	for {
		select {
		case second := <-done:
			assert.Equal(t, second.State, accept.Accepted)
			assert.Equal(t, second.Revision, ident.Revision(2))
			assert.DeepEqual(t, n.configs.head().History, []accept.AcceptedApply{first.Current})
			return
		case <-time.After(time.Millisecond):
			clock.Advance(50 * time.Millisecond)
		}
	}
}

// TestApplyWaitsForTheFleetAfterRestore guards against two configurations with one revision: a node
// accepts one before it has heard of a newer one that the store has lost.
func TestApplyWaitsForTheFleetAfterRestore(t *testing.T) {
	clock := clockwork.NewFakeClock()
	kv := kvs.New(clock)
	n := newIdle(t, "node-1", kv, clock)
	_, _ = n.configs.store.Get(t.Context(), seedsKey)
	kv.Restore(kv.Snapshot())
	done := make(chan accept.Result, 1)
	go func() {
		result, err := n.Apply(context.Background(), shop(1))
		assert.Check(t, err)
		done <- result
	}()
	waiting, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	assert.Check(t, clock.BlockUntilContext(waiting, 1), "the apply does not wait")
	n.fleet.receive(&wire.Gossip{From: "node-2", Revision: 5, StoreEra: uint64(kv.Era()), RevisionOnly: true, Nodes: []*wire.NodeRecord{
		{Id: "node-2", Address: "127.0.0.2:1", Zone: "a", Instance: 1, Incarnation: 1, Beat: 1},
	}})
	for {
		select {
		case result := <-done:
			assert.Equal(t, result.State, accept.Accepted)
			assert.Equal(t, result.Revision, ident.Revision(6))
			return
		case <-time.After(time.Millisecond):
			clock.Advance(50 * time.Millisecond)
		}
	}
}
