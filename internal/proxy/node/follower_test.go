package node

import (
	"context"
	"fmt"
	"net"
	"strconv"
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
	"github.com/figwick/figwick/internal/state/config"
	"github.com/figwick/figwick/internal/state/member"
	"github.com/figwick/figwick/internal/state/store"
)

const configKey = "config"

type (
	// numberSource is a ConfigSource of configurations that consist of their revision.
	numberSource struct{}

	// silentStore is a store that never answers a watch. It sends on watching when one begins.
	silentStore struct {
		*kvs.Store
		watching chan struct{}
	}
)

func (numberSource) Key() string {
	return configKey
}

func (numberSource) Revision(text []byte) (ident.Revision, error) {
	revision, err := strconv.ParseUint(string(text), 10, 64)
	return ident.Revision(revision), err
}

func (s numberSource) Compile(text []byte) (*config.Table, error) {
	revision, err := s.Revision(text)
	return config.Compile(revision, &config.File{}), err
}

func (s *silentStore) Watch(ctx context.Context, _ string, wait store.WatchOptions) (store.Item, error) {
	select {
	case s.watching <- struct{}{}:
	default:
	}
	ctx, cancel := context.WithTimeout(ctx, wait.Timeout+time.Second)
	defer cancel()
	<-ctx.Done()
	return store.Item{}, store.ErrUnavailable
}

// TestSilentWatchEndsWithTheEra guards against a configuration that is in force seconds late: the
// store has come back from an older copy and never answers the watch that began before. The node
// learns of the return from another one. A configuration must be in force everywhere two seconds
// after its acknowledgement.
func TestSilentWatchEndsWithTheEra(t *testing.T) {
	kv := &silentStore{Store: kvs.New(clockwork.NewRealClock()), watching: make(chan struct{}, 1)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	n, err := New(Config{
		ID: "node-1", Zone: "a", Address: "127.0.0.1:1", Store: kv, Source: numberSource{}, StoreDiscovery: true,
		Listeners: Listeners{Callers: listener, Peers: listener}, ExtraListeners: []ExtraListener{{}},
		Clock: clockwork.NewRealClock(), Random: eval.NewRandom(1), Log: hclog.NewNullLogger(), Scope: tally.NoopScope,
	})
	assert.NilError(t, err)
	item, err := kv.CAS(t.Context(), configKey, []byte("1"), store.Version{}, store.Lease{})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	var loop sync.WaitGroup
	loop.Go(func() { _ = n.sourceFollower.watch(ctx) })
	defer loop.Wait()
	defer cancel()
	<-kv.watching

	saved := kv.Snapshot()
	kv.Restore(saved)
	item.Version.Era = kv.Era()
	_, err = kv.CAS(t.Context(), configKey, []byte("2"), item.Version, store.Lease{})
	assert.NilError(t, err)
	n.fleet.receive(&wire.Gossip{From: "node-2", StoreEra: uint64(kv.Era()), RevisionOnly: true})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if revision := n.revision(); revision != 2 {
			return poll.Continue("revision %d is in force", revision)
		}
		return poll.Success()
	}, poll.WithTimeout(time.Second))
}

// TestBehindNodeReadsStoreInTime guards against a configuration that is in force too late: the peer from which
// the node learns of it does not give it, and the node turns to the store only after several of its own checks.
// A configuration must be in force everywhere two seconds after its acknowledgement, and the news of it takes
// up to an exchange interval.
func TestBehindNodeReadsStoreInTime(t *testing.T) {
	const applyTime = 2 * time.Second
	clock := clockwork.NewFakeClock()
	kv := kvs.New(clock)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	n, err := New(Config{
		ID: "node-1", Zone: "a", Address: "127.0.0.1:1", Store: kv, Source: numberSource{}, StoreDiscovery: true,
		Listeners: Listeners{Callers: listener, Peers: listener}, ExtraListeners: []ExtraListener{{}},
		Clock: clock, Random: eval.NewRandom(1), Log: hclog.NewNullLogger(), Scope: tally.NoopScope,
	})
	assert.NilError(t, err)
	_, err = kv.CAS(t.Context(), configKey, []byte("2"), store.Version{}, store.Lease{})
	assert.NilError(t, err)
	n.sourceFollower.adoptIfNewer([]byte("1"), "test")
	for i := 2; n.fleet.watchesStore(); i++ {
		peer := member.Record{ID: ident.Node(fmt.Sprintf("node-%d", i)), Zone: "a", Address: fmt.Sprintf("127.0.0.1:%d", i)}
		n.fleet.addRecords([]member.Record{peer})
	}
	ctx, cancel := context.WithCancel(t.Context())
	var loop sync.WaitGroup
	loop.Go(func() { _ = n.sourceFollower.watch(ctx) })
	defer loop.Wait()
	defer cancel()
	assert.NilError(t, clock.BlockUntilContext(ctx, 1))

	n.fleet.receive(&wire.Gossip{From: "node-2", Revision: 2, RevisionOnly: true})
	const step = 50 * time.Millisecond
	var waited time.Duration
	for ; n.revision() != 2 && waited <= applyTime; waited += step {
		clock.Advance(step)
		assert.NilError(t, clock.BlockUntilContext(ctx, 1))
	}
	assert.Check(t, waited <= applyTime-member.ExchangeInterval, "in force %s after the node learned of it", waited)
}
