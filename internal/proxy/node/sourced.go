package node

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/figwick/figwick/internal/base/events"
	"github.com/figwick/figwick/internal/peer/wire"
	"github.com/figwick/figwick/internal/state/store"
)

const (
	// pollWait is the longest wait of one watch. A watch that the store has dropped
	// looks like one without news, so this bounds how late news may come then.
	pollWait = 2 * time.Second
	// pollerBeat is how often a node looks whether it is to poll.
	pollerBeat = 500 * time.Millisecond
	// isolatedAfter is how long a node without word from others goes on before
	// it polls for itself: two exchanges.
	isolatedAfter = 2 * time.Second
	// unconfiguredAfter is how long a node without a configuration waits for one
	// from others before it polls for itself.
	unconfiguredAfter = 3 * time.Second
	// sourcedFetch bounds the fetching of a configuration from a peer; another one
	// is asked next.
	sourcedFetch = 500 * time.Millisecond
	// behindAfter is how long a node that knows of a newer configuration tries to
	// get it from peers before it asks the store itself.
	behindAfter = 700 * time.Millisecond
	// sourcedPause is the wait after a watch that failed.
	sourcedPause = time.Second
	// sourcedRest is the wait after news, so that configurations in quick
	// succession cost few calls; two seconds are allowed until one is in force.
	sourcedRest = 700 * time.Millisecond
	// followRest is how long a node that hears of a configuration from another
	// availability zone waits for a peer of its own to have it.
	followRest = 150 * time.Millisecond
)

// sourced keeps the node at the newest configuration of its Source, from the
// store or from peers that have it.
type sourced struct {
	node  *Node
	store *countedStore
	mutex sync.Mutex
	text  []byte
	// behindSince is since when a newer configuration is known of.
	behindSince time.Time
}

// watch follows the store while this node is to poll.
func (s *sourced) watch(ctx context.Context) error {
	version := store.Version(0)
	for ctx.Err() == nil {
		if !s.poller() {
			s.pause(ctx, pollerBeat)
			continue
		}
		item, err := s.next(ctx, version)
		switch {
		case err == nil:
			version = item.Version
			s.offer(item.Value, "store")
			s.pause(ctx, sourcedRest)
		case errors.Is(err, store.ErrUnchanged), errors.Is(err, store.ErrNotFound) && version == 0:
			// Nothing has been written yet: the next look is a watch.
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
		if err == nil || !errors.Is(err, store.ErrNotFound) || !s.poller() {
			return item, err
		}
	}
	return s.store.Watch(ctx, key, store.Wait{After: version, For: pollWait})
}

// poller tells whether this node watches the store: a few of the fleet do, those
// that no other node reaches, and those that know no configuration long after
// their start.
func (s *sourced) poller() bool {
	age := s.node.config.Clock.Since(s.node.started)
	if age > isolatedAfter && s.node.fleet.sinceLastContact() > isolatedAfter {
		return true
	}
	if age > unconfiguredAfter && s.node.revision() == 0 {
		return true
	}
	return s.behind() || s.node.fleet.watchesStore()
}

// behind tells whether a newer configuration has been known of for some time.
func (s *sourced) behind() bool {
	now := s.node.config.Clock.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.node.fleet.newest().Revision <= s.node.revision() {
		s.behindSince = time.Time{}
		return false
	}
	if s.behindSince.IsZero() {
		s.behindSince = now
	}
	return now.Sub(s.behindSince) > behindAfter
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
		case <-s.node.fleet.newerConfig:
		case <-ctx.Done():
			return ctx.Err()
		}
		newest := s.node.fleet.newest()
		if !newest.Near && newest.Revision > s.node.revision() {
			s.pause(ctx, followRest)
			newest = s.node.fleet.newest()
		}
		if newest.Address == "" || newest.Revision <= s.node.revision() {
			continue
		}
		s.fetch(ctx, newest.Address)
	}
}

func (s *sourced) fetch(ctx context.Context, address string) {
	ctx, done := context.WithTimeout(ctx, sourcedFetch)
	defer done()
	reply, err := call[wire.ConfigReply](ctx, s.node, address, wire.KindConfigFetch, &wire.ConfigFetch{}, wire.KindConfigReply)
	if err != nil || len(reply.Head) == 0 {
		events.Emit(s.node.log, events.ConfigUnfetched, "peer", address, "error", err)
		s.node.fleet.forgetNewest(address)
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
