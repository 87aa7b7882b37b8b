package node

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/figwick/figwick/internal/base/events"
	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/peer/wire"
	"github.com/figwick/figwick/internal/state/accept"
	"github.com/figwick/figwick/internal/state/member"
	"github.com/figwick/figwick/internal/state/store"
)

const (
	// watchersPerZone is how many nodes of each availability zone watch the
	// store.
	watchersPerZone = 2
	// watchFor is the longest wait of one watch.
	watchFor = 30 * time.Second
	// watchPause is the wait after a watch that failed, or before looking
	// again whether this node is a watcher.
	watchPause = time.Second
	// watchFirst is how long a node that has no configuration waits for one
	// from a peer before it asks the store itself.
	watchFirst = 2 * time.Second
	// fetchTimeout bounds the fetching of a whole revision.
	fetchTimeout = 30 * time.Second
	// fetchNames bounds the chunks asked for in one message.
	fetchNames = 2000
	// storeReads is how many chunks are read from the store at once.
	storeReads = 8
	// replyBytes is how much of chunks fits one reply.
	replyBytes = 3 << 20
)

// configs keeps the node at the highest revision that anyone has.
type configs struct {
	node  *Node
	store *countedStore
	// offering lets one offer at a time be fetched.
	offering sync.Mutex
	adopter  atomic.Pointer[accept.Replica]
	// nextSeed is when the seed addresses are looked after again.
	nextSeed time.Time
}

// watch waits for new heads in the store while this node is a watcher.
func (c *configs) watch(ctx context.Context) error {
	version := store.Version(0)
	for ctx.Err() == nil {
		if !c.watcher() {
			c.pause(ctx)
			continue
		}
		item, err := c.store.Watch(ctx, accept.HeadKey, store.WatchOptions{After: version, Timeout: watchFor})
		if err != nil {
			c.pause(ctx)
			continue
		}
		version = item.Version
		c.offer(ctx, item.Value, "store", c.fromStore)
	}
	return ctx.Err()
}

// watcher tells whether this node watches the store: a few of each zone do, and
// a node that has no configuration for itself.
func (c *configs) watcher() bool {
	if c.node.config.Clock.Since(c.node.started) > watchFirst && c.node.front.Table() == nil {
		return true
	}
	chosen := member.Rendezvous("watcher", c.node.fleet.inZone(), watchersPerZone)
	return slices.Contains(chosen, c.node.config.ID)
}

func (c *configs) pause(ctx context.Context) {
	select {
	case <-c.node.config.Clock.After(watchPause):
	case <-ctx.Done():
	}
}

// follow fetches newer revisions from the peers that have them.
func (c *configs) follow(ctx context.Context) error {
	for {
		select {
		case <-c.node.fleet.news:
		case <-ctx.Done():
			return ctx.Err()
		}
		newest := c.node.fleet.newest()
		if newest.Address == "" || newest.Revision <= c.revision() {
			continue
		}
		c.fetch(ctx, newest.Address)
	}
}

func (c *configs) fetch(ctx context.Context, address string) {
	ctx, done := context.WithTimeout(ctx, fetchTimeout)
	defer done()
	reply, err := ask[wire.ConfigReply](ctx, c.node, address, wire.KindConfigFetch, &wire.ConfigFetch{}, wire.KindConfigReply)
	if err != nil || len(reply.Head) == 0 {
		return
	}
	c.offer(ctx, reply.Head, address, func(ctx context.Context, names []string) (map[string][]byte, error) {
		reply, err := ask[wire.ConfigReply](ctx, c.node, address,
			wire.KindConfigFetch, &wire.ConfigFetch{Chunks: names[:min(len(names), fetchNames)]}, wire.KindConfigReply)
		if err != nil {
			return nil, err
		}
		return reply.Chunks, nil
	})
}

func (c *configs) fromStore(ctx context.Context, names []string) (map[string][]byte, error) {
	chunks := make(map[string][]byte, len(names))
	var mutex sync.Mutex
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(storeReads)
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

// pull fetches the head from the store, after an apply at this node.
func (c *configs) pull(revision ident.Revision) {
	go func() {
		ctx, done := context.WithTimeout(context.Background(), fetchTimeout)
		defer done()
		for c.revision() < revision && ctx.Err() == nil {
			item, err := c.store.Get(ctx, accept.HeadKey)
			if err != nil {
				c.pause(ctx)
				continue
			}
			c.offer(ctx, item.Value, "store", c.fromStore)
			return
		}
	}()
}

// offer takes a head, and puts its revision in force where it is newer.
func (c *configs) offer(ctx context.Context, head []byte, source string, fetch accept.Fetch) {
	c.offering.Lock()
	defer c.offering.Unlock()
	before := c.current().Revision()
	next, table, err := c.current().Advance(ctx, head, fetch)
	if err == nil {
		c.adopter.Store(next)
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

// current returns the configuration in force.
func (c *configs) current() *accept.Replica {
	if a := c.adopter.Load(); a != nil {
		return a
	}
	return &accept.Replica{}
}

func (c *configs) revision() ident.Revision {
	return c.current().Revision()
}

func (c *configs) head() accept.Head {
	head, _ := c.current().Head()
	return head
}

// receive serves a peer that fetches the head and chunks in force here.
func (c *configs) receive(m *wire.ConfigFetch) *wire.ConfigReply {
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
		if size > 0 && size+len(chunk) > replyBytes {
			break
		}
		size += len(chunk)
		reply.Chunks[name] = chunk
	}
	return reply
}
