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
