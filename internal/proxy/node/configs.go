package node

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/figwick/figwick/internal/base/eval"
	"github.com/figwick/figwick/internal/base/events"
	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/peer/wire"
	"github.com/figwick/figwick/internal/state/accept"
	"github.com/figwick/figwick/internal/state/member"
	"github.com/figwick/figwick/internal/state/store"
)

const (
	// watchersPerZone is the number of nodes per availability zone that watch the
	// store. The other nodes get new revisions from peers.
	watchersPerZone = 2
	// watchTimeout is the longest time that one watch call waits for a change.
	watchTimeout = 30 * time.Second
	// watchRetryInterval is the wait after a failed store call, and the interval
	// at which a node that is no watcher checks whether it has become one.
	watchRetryInterval = time.Second
	// peerConfigWait is how long a node without a configuration waits for one from a
	// peer before it watches the store itself.
	peerConfigWait = 2 * time.Second
	// fetchTimeout is the timeout for fetching a whole revision.
	fetchTimeout = 30 * time.Second
	// watcherKey selects the watchers by rendezvous hashing.
	watcherKey = "watcher"
	// maxFetchChunks is the largest number of chunks requested in one message.
	maxFetchChunks = 2000
	// maxStoreReads is the largest number of concurrent chunk reads from the store.
	maxStoreReads = 8
	// maxReplyBytes is the largest total size in bytes of the chunks in one reply.
	// A single larger chunk is still sent, alone.
	maxReplyBytes = 3 << 20
)

// configSync keeps the node at the highest configuration revision that the store or
// any peer has.
type configSync struct {
	node  *Node
	store *countedStore
	// adoptMutex serializes adoptIfNewer, so that one revision is fetched at a time.
	adoptMutex sync.Mutex
	replica    atomic.Pointer[accept.Replica]
	restored   restoreState
	// nextSeedUpdate is the next time to update the seed addresses. See seed.
	nextSeedUpdate time.Time
}

// watch waits for new configuration heads in the store while this node is a
// watcher. It returns when the context ends.
func (c *configSync) watch(ctx context.Context) error {
	var version store.Version
	for ctx.Err() == nil {
		if !c.isWatcher() {
			c.pause(ctx, watchRetryInterval)
			continue
		}
		sent := c.node.proofs.clock.Now()
		item, err := c.store.Watch(ctx, accept.HeadKey, store.WatchOptions{
			After: version, Timeout: c.node.proofs.watchWait(watchTimeout, 0), Complete: c.node.proofs.needed(),
		})
		if err != nil {
			// What the store has written meanwhile is not known, nor whether it has come
			// back from an older copy.
			version = store.Version{}
			c.pause(ctx, c.node.proofs.retryDelay(watchRetryInterval))
			continue
		}
		version = item.Version
		c.take(ctx, sent, item)
	}
	return ctx.Err()
}

// read reads the configuration from the store once, for the proof that there is no newer one.
func (c *configSync) read(ctx context.Context) {
	sent := c.node.proofs.clock.Now()
	if item, err := c.store.Get(ctx, accept.HeadKey); err == nil {
		c.take(ctx, sent, item)
	}
}

// take adopts a head that the store has returned for a call sent at a given time, and notes what
// this proves. A head that cannot be read proves nothing: it may be that of a newer program.
func (c *configSync) take(ctx context.Context, sent eval.BootTime, item store.Item) {
	c.adoptIfNewer(ctx, item.Value, "store", c.readChunks)
	head, err := accept.ParseHead(item.Value)
	if err != nil {
		return
	}
	c.node.proofs.storeReplied(sent, item.Version, head.Revision)
	if head.Revision < c.revision() {
		c.noteRestore(item.Version.Era)
	}
}

// isWatcher reports whether this node should watch the store. That is so for
// watchersPerZone nodes in each availability zone, and for any node that still has
// no configuration peerConfigWait after its start.
func (c *configSync) isWatcher() bool {
	if c.node.config.Clock.Since(c.node.started) > peerConfigWait && c.node.front.Table() == nil {
		return true
	}
	chosen := member.Rendezvous(watcherKey, c.node.fleet.workingInZone(), watchersPerZone)
	return slices.Contains(chosen, c.node.config.ID)
}

// pause waits or returns early when the context ends.
func (c *configSync) pause(ctx context.Context, wait time.Duration) {
	select {
	case <-c.node.config.Clock.After(wait):
	case <-ctx.Done():
	}
}

// fetchNewer fetches each newer revision from the peer that has the newest one known.
// It returns when the context ends.
func (c *configSync) fetchNewer(ctx context.Context) error {
	for {
		select {
		case <-c.node.fleet.newerConfig:
		case <-ctx.Done():
			return ctx.Err()
		}
		newest := c.node.fleet.newest()
		if newest.Address == "" || newest.Revision <= c.revision() {
			continue
		}
		c.fetchFrom(ctx, newest.Address)
	}
}

// fetchFrom gets the head from a peer and then the missing chunks from the same peer.
func (c *configSync) fetchFrom(ctx context.Context, address string) {
	ctx, done := context.WithTimeout(ctx, fetchTimeout)
	defer done()
	reply, err := call[wire.ConfigReply](ctx, c.node, address, wire.KindConfigFetch, &wire.ConfigFetch{}, wire.KindConfigReply)
	if err != nil || len(reply.Head) == 0 {
		return
	}
	c.adoptIfNewer(ctx, reply.Head, address, func(ctx context.Context, names []string) (map[string][]byte, error) {
		reply, err := call[wire.ConfigReply](ctx, c.node, address,
			wire.KindConfigFetch, &wire.ConfigFetch{Chunks: names[:min(len(names), maxFetchChunks)]}, wire.KindConfigReply)
		if err != nil {
			return nil, err
		}
		return reply.Chunks, nil
	})
}

// readChunks reads the named chunks from the store. It is an accept.Fetch.
func (c *configSync) readChunks(ctx context.Context, names []string) (map[string][]byte, error) {
	chunks := make(map[string][]byte, len(names))
	var mutex sync.Mutex
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxStoreReads)
	for _, name := range names {
		group.Go(func() error {
			item, err := c.store.Get(ctx, accept.ChunkKey(name))
			if err != nil {
				return err
			}
			mutex.Lock()
			defer mutex.Unlock()
			chunks[name] = item.Value
			return nil
		})
	}
	return chunks, group.Wait()
}

// adoptIfNewer activates the revision that a head describes if it is newer than the
// current one. The source, a peer's address, "store" or "apply", is only logged.
func (c *configSync) adoptIfNewer(ctx context.Context, head []byte, source string, fetch accept.Fetch) {
	c.adoptMutex.Lock()
	defer c.adoptMutex.Unlock()
	before := c.current().Revision()
	next, table, err := c.current().Advance(ctx, head, fetch)
	if err == nil {
		c.replica.Store(next)
		c.node.configure(table)
		return
	}
	if !errors.Is(err, accept.ErrNotNewer) {
		events.Emit(c.node.log, events.ConfigBroken, "source", source, "error", err)
		return
	}
	if parsed, err := accept.ParseHead(head); err == nil && parsed.Revision < before {
		events.Emit(c.node.log, events.ConfigOld, "source", source,
			"offered", uint64(parsed.Revision), "in-force", uint64(before))
	}
}

// current returns the node's current configuration. It is empty, with revision 0,
// until the first one is activated.
func (c *configSync) current() *accept.Replica {
	if a := c.replica.Load(); a != nil {
		return a
	}
	return &accept.Replica{}
}

func (c *configSync) revision() ident.Revision {
	return c.current().Revision()
}

func (c *configSync) head() accept.Head {
	head, _ := c.current().Head()
	return head
}

// receive answers a peer that fetches the current configuration: with the head if
// the message names no chunks, else with as many of the named chunks as fit one
// reply. A peer calls again for the rest.
func (c *configSync) receive(m *wire.ConfigFetch) *wire.ConfigReply {
	current := c.current()
	head, text := current.Head()
	reply := &wire.ConfigReply{Revision: uint64(head.Revision)}
	if len(m.Chunks) == 0 {
		reply.Head = text
		return reply
	}
	reply.Chunks = map[string][]byte{}
	size := 0
	for name, chunk := range current.Chunks(m.Chunks) {
		if size > 0 && size+len(chunk) > maxReplyBytes {
			break
		}
		size += len(chunk)
		reply.Chunks[name] = chunk
	}
	return reply
}
