package node

import (
	"context"
	"fmt"
	"net"
	"strings"
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
	"github.com/figwick/figwick/internal/peer/wire"
	"github.com/figwick/figwick/internal/policy/admit"
	"github.com/figwick/figwick/internal/state/roster"
	"github.com/figwick/figwick/internal/state/store"
)

// run starts a new incarnation of one node. If the store is reachable, the node has
// read its registration from it.
func run(t *testing.T, kv Store) *Node {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	n, err := New(Config{
		ID: "node-1", Zone: "a", Address: "127.0.0.1:1", Store: kv, StoreDiscovery: true,
		Listeners: Listeners{Callers: listener, Peers: listener}, ExtraListeners: []ExtraListener{{}},
		Clock: clockwork.NewRealClock(), Random: eval.NewRandom(1), Log: hclog.NewNullLogger(), Scope: tally.NoopScope,
	})
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	n.registration.step(ctx)
	return n
}

func word(sequence uint64, state roster.State) roster.Announcement {
	return roster.Announcement{
		ID: "i-1", Service: "shop", Address: "10.0.0.9:80", Slots: 3,
		Incarnation: 1000, StartedUnixMilli: 1000, Sequence: sequence, State: state,
	}
}

// TestAcknowledgedLeavingBindsTheNextRun checks that a node killed after it
// acknowledged a departure still knows of it after its restart, when the first
// announcement that it receives is a delayed one from before the departure.
func TestAcknowledgedLeavingBindsTheNextRun(t *testing.T) {
	for _, c := range []struct {
		name  string
		leave func(t *testing.T, n *Node)
	}{
		{"draining", func(t *testing.T, n *Node) {
			t.Helper()
			_, err := n.Announce(word(5, roster.Draining))
			assert.NilError(t, err)
		}},
		{"gone", func(t *testing.T, n *Node) {
			t.Helper()
			n.Depart("i-1")
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			kv := kvs.New(clockwork.NewRealClock())
			first := run(t, kv)
			_, err := first.Announce(word(4, roster.Serving))
			assert.NilError(t, err)
			c.leave(t, first)

			next := run(t, kv)
			_, err = next.Announce(word(4, roster.Serving))
			assert.ErrorIs(t, err, roster.ErrStale)
			_, err = next.Announce(word(6, roster.Draining))
			assert.NilError(t, err, "its further leaving is acknowledged")

			started := word(1, roster.Serving)
			started.StartedUnixMilli = uint64(time.Now().Add(time.Second).UnixMilli())
			started.Incarnation = 1 << 50
			_, err = next.Announce(started)
			assert.NilError(t, err, "a new start under the same id is welcome")
		})
	}
}

// TestAnnouncementsWaitForTheStore checks that a node refuses announcements until it
// has read the departures acknowledged by earlier runs. If the store stays
// unreachable, it accepts them after restoreTimeout.
func TestAnnouncementsWaitForTheStore(t *testing.T) {
	kv := kvs.New(clockwork.NewRealClock())
	kv.Inject(kvs.Faults{Down: true})
	n := run(t, kv)
	_, err := n.Announce(word(1, roster.Serving))
	assert.ErrorIs(t, err, roster.ErrStale)
	n.started = n.started.Add(-restoreTimeout)
	_, err = n.Announce(word(2, roster.Serving))
	assert.NilError(t, err)
}

// TestLapsedEntryIsWrittenAgain guards against a node whose entry stays out of the store once
// its lease has expired, so that new nodes don't find it.
func TestLapsedEntryIsWrittenAgain(t *testing.T) {
	s := kvs.New(clockwork.NewRealClock())
	n := run(t, s)
	s.LapseLeases()
	_, err := s.Get(t.Context(), n.registration.key())
	assert.ErrorIs(t, err, store.ErrNotFound)
	assert.NilError(t, n.registration.renew(t.Context(), time.Now().Add(renewInterval)))
	_, err = s.Get(t.Context(), n.registration.key())
	assert.NilError(t, err)
}

// TestRestoredEntryIsWrittenAgain guards against entries that stay out of the store for the
// rest of a renewal interval after the store has come back from a copy without them. The node
// learns of that from another one, as it does not watch the store itself. Users count on entries
// that are back two seconds after the store.
func TestRestoredEntryIsWrittenAgain(t *testing.T) {
	kv := kvs.New(clockwork.NewRealClock())
	saved := kv.Snapshot()
	n := run(t, kv)
	assert.Check(t, n.registration.registered)
	ctx, cancel := context.WithCancel(t.Context())
	var loop sync.WaitGroup
	loop.Go(func() { _ = n.registration.run(ctx) })
	defer loop.Wait()
	defer cancel()

	kv.Restore(saved)
	n.fleet.receive(&wire.Gossip{From: "node-2", StoreEra: uint64(kv.Era()), RevisionOnly: true})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, err := kv.Get(t.Context(), n.registration.key()); err != nil {
			return poll.Continue("entry: %s", err)
		}
		return poll.Success()
	}, poll.WithTimeout(2*time.Second))
}

// TestRestoredStoreForgetsNoDeparture guards against a delayed announcement that brings a backend
// server back which has left: the departure was stored after the copy from which the store came
// back, and the node restarts.
func TestRestoredStoreForgetsNoDeparture(t *testing.T) {
	kv := kvs.New(clockwork.NewRealClock())
	first := run(t, kv)
	_, err := first.Announce(word(4, roster.Serving))
	assert.NilError(t, err)
	saved := kv.Snapshot()
	_, err = first.Announce(word(5, roster.Draining))
	assert.NilError(t, err)
	kv.Restore(saved)
	assert.NilError(t, first.registration.renew(t.Context(), time.Now().Add(renewInterval)))

	next := run(t, kv)
	_, err = next.Announce(word(4, roster.Serving))
	assert.ErrorIs(t, err, roster.ErrStale)
}

// TestUnstoredDepartureIsWrittenLater guards against a delayed announcement that brings a backend
// server back which has left: the store was away when the departure was acknowledged, or the reply
// to an earlier write was lost, and the node restarts after the store's return.
func TestUnstoredDepartureIsWrittenLater(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults kvs.Faults
	}{
		{"away", kvs.Faults{Down: true}},
		{"reply lost", kvs.Faults{LoseReplies: 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			kv := kvs.New(clockwork.NewRealClock())
			first := run(t, kv)
			ctx, cancel := context.WithCancel(t.Context())
			var loop sync.WaitGroup
			loop.Go(func() { _ = first.registration.run(ctx) })
			defer loop.Wait()
			defer cancel()

			kv.Inject(c.faults)
			first.registration.persistDeparture("i-0", 1000)
			_, err := first.Announce(word(5, roster.Draining))
			assert.NilError(t, err)
			kv.Inject(kvs.Faults{})
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				item, err := kv.Get(t.Context(), first.registration.key())
				if err != nil || !strings.Contains(string(item.Value), "i-1") {
					return poll.Continue("entry %s: %v", item.Value, err)
				}
				return poll.Success()
			}, poll.WithTimeout(4*time.Second))
			cancel()
			loop.Wait()

			next := run(t, kv)
			_, err = next.Announce(word(4, roster.Serving))
			assert.ErrorIs(t, err, roster.ErrStale)
		})
	}
}

// TestRestoredStoreRemovesNoServer guards against a backend server that is refused after the store
// has come back from an older copy: the copy of the node's entry holds a departure of the same run,
// under the node's time, and the server has been started anew since, with a clock that is behind.
func TestRestoredStoreRemovesNoServer(t *testing.T) {
	kv := kvs.New(clockwork.NewRealClock())
	n := run(t, kv)
	_, err := n.Announce(word(4, roster.Serving))
	assert.NilError(t, err)
	n.Depart("i-1")
	saved := kv.Snapshot()
	started := word(1, roster.Serving)
	started.Incarnation, started.StartedUnixMilli = 2000, 2000
	_, err = n.Announce(started)
	assert.NilError(t, err)

	kv.Restore(saved)
	assert.NilError(t, n.registration.renew(t.Context(), time.Now().Add(renewInterval)))
	started.Sequence = 2
	_, err = n.Announce(started)
	assert.NilError(t, err)
}

// latest is a source of random numbers that makes a node take all the time it may.
type latest struct {
	eval.Random
}

func (latest) Float64() float64 { return 1 }

// TestDepartureIsStoredBeforeItsAcknowledgement guards against a delayed announcement that brings
// a backend server back which has left: the store is there, but the node's entry is not, since the
// store was away when the node started or has come back from an older copy. The node ends right
// after the acknowledgement.
func TestDepartureIsStoredBeforeItsAcknowledgement(t *testing.T) {
	for _, restored := range []bool{false, true} {
		t.Run(fmt.Sprintf("restored=%t", restored), func(t *testing.T) {
			kv := kvs.New(clockwork.NewRealClock())
			saved := kv.Snapshot()
			kv.Inject(kvs.Faults{Down: !restored})
			first := run(t, kv)
			first.config.Random = latest{first.config.Random}
			first.started = first.started.Add(-restoreTimeout)
			ctx, cancel := context.WithCancel(t.Context())
			var loop sync.WaitGroup
			loop.Go(func() { _ = first.registration.run(ctx) })
			defer loop.Wait()
			defer cancel()
			_, err := first.Announce(word(4, roster.Serving))
			assert.NilError(t, err)

			kv.Inject(kvs.Faults{})
			if restored {
				kv.Restore(saved)
			}
			_, err = first.registration.store.List(t.Context(), entryPrefix) // notices the store's return
			assert.NilError(t, err)
			_, err = first.Announce(word(5, roster.Draining))
			assert.NilError(t, err)
			cancel()

			next := run(t, kv)
			_, err = next.Announce(word(4, roster.Serving))
			assert.ErrorIs(t, err, roster.ErrStale)
		})
	}
}

// TestDepartureReadLateRemovesServer guards against a backend server that has left and stays in use:
// the store was away when its node restarted, a delayed announcement was accepted, and the departure
// was read when the store was back.
func TestDepartureReadLateRemovesServer(t *testing.T) {
	kv := kvs.New(clockwork.NewRealClock())
	first := run(t, kv)
	_, err := first.Announce(word(5, roster.Draining))
	assert.NilError(t, err)

	kv.Inject(kvs.Faults{Down: true})
	next := run(t, kv)
	next.started = next.started.Add(-restoreTimeout)
	_, err = next.Announce(word(4, roster.Serving))
	assert.NilError(t, err)
	kv.Inject(kvs.Faults{})
	assert.NilError(t, next.registration.renew(t.Context(), time.Now()))
	var servers []roster.Announcement
	service := ident.Service("")
	next.side.WithController(func(_ eval.Context, d *admit.Controller) {
		servers = d.Servers()
		service, _ = d.Serving()
	})
	assert.Equal(t, len(servers), 0)
	assert.Equal(t, service, ident.Service(""))
}
