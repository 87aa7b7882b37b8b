package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/figwick/figwick/internal/base/events"
	"github.com/figwick/figwick/internal/peer/wire"
	"github.com/figwick/figwick/internal/state/member"
	"github.com/figwick/figwick/internal/state/store"
)

const (
	// sourcedWait is the longest wait of one watch at most nodes: they hear of
	// what it misses from a poller.
	sourcedWait = 25 * time.Second
	// pollWait is the same at the pollers. A watch that the store has dropped
	// looks like one without news, so this bounds how late news may come then.
	pollWait = 2 * time.Second
	// pollersPerZone is how many nodes of each availability zone poll; those of
	// other zones stand in for one that does not reach the store.
	pollersPerZone = 1
	// pollerBeat is how often a node with a long watch looks whether it is to
	// poll.
	pollerBeat = time.Second
	// isolatedAfter is how long a node without word from others goes on before
	// it polls for itself: two exchanges.
	isolatedAfter = 2 * time.Second
	// sourcedPause is the wait after a watch that failed.
	sourcedPause = 500 * time.Millisecond
	// sourcedRest is the wait after news, so that configurations in quick
	// succession cost few calls; two seconds are allowed until one is in force.
	sourcedRest = 700 * time.Millisecond
	// followRest is the wait before a peer is asked, which the store's own word
	// usually makes needless.
	followRest = 400 * time.Millisecond
)

// sourced keeps the node at the newest configuration of its Source, from the
// store or from peers that have it.
type sourced struct {
	node  *Node
	store *countedStore
	mutex sync.Mutex
	text  []byte
}

// watch follows the store.
func (s *sourced) watch(ctx context.Context) error {
	version := store.Version(0)
	for ctx.Err() == nil {
		item, err := s.next(ctx, version)
		switch {
		case err == nil:
			version = item.Version
			s.offer(item.Value, "store")
			s.pause(ctx, sourcedRest)
		case errors.Is(err, store.ErrUnchanged):
		default:
			s.pause(ctx, sourcedPause)
		}
	}
	return ctx.Err()
}

func (s *sourced) next(ctx context.Context, version store.Version) (store.Item, error) {
	key := s.node.config.Source.Key()
	if version == 0 {
		item, err := s.store.Get(ctx, key)
		if err == nil || !errors.Is(err, store.ErrNotFound) {
			return item, err
		}
	}
	if s.poller() {
		return s.store.Watch(ctx, key, store.Wait{After: version, For: pollWait})
	}
	watching, done := context.WithCancel(ctx)
	defer done()
	go s.untilPoller(watching, done)
	item, err := s.store.Watch(watching, key, store.Wait{After: version, For: sourcedWait})
	if err != nil && watching.Err() != nil && ctx.Err() == nil {
		return item, store.ErrUnchanged
	}
	return item, err
}

// untilPoller ends a long watch when this node is to poll.
func (s *sourced) untilPoller(ctx context.Context, done func()) {
	for !s.poller() {
		select {
		case <-s.node.config.Clock.After(pollerBeat):
		case <-ctx.Done():
			return
		}
	}
	done()
}

// poller tells whether this node watches with short waits: a few of each zone do,
// and those that no other node reaches.
func (s *sourced) poller() bool {
	if s.node.revision() == 0 || s.node.fleet.silentFor() > isolatedAfter {
		return true
	}
	chosen := member.Rendezvous("poller", s.node.fleet.inZone(), pollersPerZone)
	return slices.Contains(chosen, s.node.config.ID)
}

func (s *sourced) pause(ctx context.Context, wait time.Duration) {
	select {
	case <-s.node.config.Clock.After(wait):
	case <-ctx.Done():
	}
}

// follow fetches what a peer has and the store has not brought yet.
func (s *sourced) follow(ctx context.Context) error {
	for {
		select {
		case <-s.node.fleet.news:
		case <-ctx.Done():
			return ctx.Err()
		}
		// The store is the usual way; a peer's word is for those it does not reach.
		s.pause(ctx, followRest)
		newest := s.node.fleet.newest()
		if newest.Address == "" || newest.Revision <= s.node.revision() {
			continue
		}
		s.fetch(ctx, newest.Address)
	}
}

func (s *sourced) fetch(ctx context.Context, address string) {
	ctx, done := context.WithTimeout(ctx, exchangeTimeout)
	defer done()
	reply, err := ask[wire.ConfigReply](ctx, s.node, address, wire.KindConfigFetch, &wire.ConfigFetch{}, wire.KindConfigReply)
	if err != nil || len(reply.Head) == 0 {
		return
	}
	s.offer(reply.Head, address)
}

// offer puts a configuration in force where it is newer than the present one.
func (s *sourced) offer(text []byte, source string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	log := s.node.log
	revision, err := s.node.config.Source.Revision(text)
	if err != nil {
		events.Emit(log, events.ConfigBroken, "source", source, "error", err)
		return
	}
	if present := s.node.revision(); revision <= present {
		if revision < present {
			events.Emit(log, events.ConfigOld, "source", source, "offered", uint64(revision), "in-force", uint64(present))
		}
		return
	}
	table, err := s.node.config.Source.Compile(text)
	if err != nil {
		events.Emit(log, events.ConfigBroken, "source", source, "revision", uint64(revision), "error", err)
		return
	}
	s.text = text
	s.node.configure(table)
}

// receive serves a peer that fetches the configuration in force here.
func (s *sourced) receive() *wire.ConfigReply {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return &wire.ConfigReply{Revision: uint64(s.node.revision()), Head: s.text}
}
