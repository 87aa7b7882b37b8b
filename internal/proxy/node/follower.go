package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/figwick/figwick/internal/base/eval"
	"github.com/figwick/figwick/internal/base/events"
	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/peer/wire"
	"github.com/figwick/figwick/internal/state/poll"
	"github.com/figwick/figwick/internal/state/store"
)

const (
	// pollWait bounds one watch call. A watch that the store has silently dropped
	// looks like one without a change, so this also bounds how late a change is
	// seen then. On a connection that has gone silent the client waits a second longer; three
	// seconds after that a node must act on the newest configuration again.
	pollWait = 1500 * time.Millisecond
	// pollerInterval is how often a node that is not a poller checks whether it
	// has become one.
	pollerInterval = 500 * time.Millisecond
	// isolatedAfter is how long a node receives no message from other nodes before
	// it polls the store itself. It is the time of two exchanges.
	isolatedAfter = 2 * time.Second
	// unconfiguredAfter is how long a node without a configuration waits for one
	// from its peers before it polls the store itself.
	unconfiguredAfter = 3 * time.Second
	// peerFetchTimeout bounds the fetching of a configuration from a peer. After a
	// failure another peer is asked.
	peerFetchTimeout = 500 * time.Millisecond
	// behindAfter is how long a node that knows of a newer configuration tries to
	// fetch it from peers before it polls the store itself.
	behindAfter = 700 * time.Millisecond
	// watchRetryDelay is the wait after a failed read.
	watchRetryDelay = time.Second
	// watchDelay is the wait after a watch that returned a configuration. It keeps
	// the number of store calls low when configurations follow each other quickly.
	// Two seconds are allowed until a new configuration is active.
	watchDelay = 700 * time.Millisecond
	// otherZoneDelay is how long a node waits before it fetches a configuration from
	// another availability zone. A peer of its own zone may have it by then.
	otherZoneDelay = 150 * time.Millisecond
)

// sourceFollower keeps the node at the newest configuration of its ConfigSource. The
// nodes that are pollers read it from the store, the others from their peers. It
// replaces configs in a node that has a ConfigSource.
type sourceFollower struct {
	node  *Node
	store *countedStore
	mutex sync.Mutex
	// text is the active configuration, compressed the same in gzip format. compressed is nil
	// until a peer asks for it.
	text, compressed []byte
	// reread ends the call or pause of watch, which then reads the configuration.
	reread context.CancelFunc
	// duty and lastReply are used by watch only. lastReply is when the last call of the store ended.
	duty      poll.Duty
	lastReply time.Time
	// watching is set while this node is a poller.
	watching atomic.Bool
}

// watch watches the store while this node is a poller, until the context ends.
func (s *sourceFollower) watch(ctx context.Context) error {
	var version store.Version
	calls := s.untilRestored(ctx)
	for ctx.Err() == nil {
		if calls.Err() != nil {
			calls = s.untilRestored(ctx)
			version = store.Version{}
		}
		polls := s.isPoller()
		s.watching.Store(polls)
		if !polls {
			s.pause(calls, min(pollerInterval, behindAfter-s.node.fleet.behindFor()))
			continue
		}
		sent := s.node.proofs.clock.Now()
		item, err := s.next(calls, version)
		s.lastReply = s.node.config.Clock.Now()
		switch {
		case err == nil:
			version = item.Version
			s.take(sent, item)
			s.pause(calls, watchDelay)
		case errors.Is(err, store.ErrUnchanged):
			// Without a pause, next watches the key again, or reads it if the version is no longer
			// the latest that is known.
			if !s.node.proofs.storeUnchanged(sent, version) {
				version = store.Version{}
			}
		case !version.IsZero():
			// The store may have dropped the watch together with its history, or its
			// connection has been silent for the whole wait. The next call reads the configuration
			// instead, at once: it may have changed when the watch began.
			version = store.Version{}
		default:
			s.noteMissing(sent, err)
			s.pause(calls, s.node.proofs.retryDelay(watchRetryDelay))
		}
	}
	return ctx.Err()
}

// read reads the configuration from the store once, for the proof that there is no newer one.
func (s *sourceFollower) read(ctx context.Context) {
	sent := s.node.proofs.clock.Now()
	item, err := s.store.Get(ctx, s.node.config.Source.Key())
	if err != nil {
		s.noteMissing(sent, err)
		return
	}
	s.take(sent, item)
}

// take adopts a configuration that the store has returned for a call sent at a given time, and notes
// what this proves. A configuration that is rejected leaves the active one the newest accepted.
func (s *sourceFollower) take(sent eval.BootTime, item store.Item) {
	accepted := s.adoptIfNewer(item.Value, "store")
	s.node.proofs.storeReplied(sent, item.Version, accepted)
}

// noteMissing notes what the error of a call proves: nothing, unless the store has no configuration.
func (s *sourceFollower) noteMissing(sent eval.BootTime, err error) {
	if errors.Is(err, store.ErrNotFound) {
		s.node.proofs.storeReplied(sent, store.Version{Era: s.store.Era()}, 0)
	}
}

// untilRestored returns a context that ends when the store has come back from an older copy.
func (s *sourceFollower) untilRestored(ctx context.Context) context.Context {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	ctx, s.reread = context.WithCancel(ctx)
	return ctx
}

// rereadSoon makes watch read the configuration, as the store has come back from an older copy:
// it may never answer a watch that began before.
func (s *sourceFollower) rereadSoon() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.reread != nil {
		s.reread()
	}
}

// next returns the current item if no version is known, otherwise it waits for a
// newer one. If there is no item yet, a poller waits for the first.
func (s *sourceFollower) next(ctx context.Context, version store.Version) (store.Item, error) {
	key := s.node.config.Source.Key()
	if version.IsZero() {
		item, err := s.store.Get(ctx, key)
		if err == nil || !errors.Is(err, store.ErrNotFound) || !s.isPoller() {
			return item, err
		}
	}
	sinceReply := s.node.config.Clock.Since(s.lastReply)
	return s.store.Watch(ctx, key, store.WatchOptions{
		After: version, Timeout: s.node.proofs.watchWait(pollWait, sinceReply), Complete: s.node.proofs.needed(),
	})
}

// isPoller reports whether this node watches the store. The following nodes do: a few
// that the whole fleet agrees on (see package poll), a node that other nodes do not
// reach, a node that has no configuration some time after its start, and a node that
// has failed to fetch a newer one from its peers.
func (s *sourceFollower) isPoller() bool {
	age := s.node.config.Clock.Since(s.node.started)
	if age > isolatedAfter && s.node.fleet.sinceLastContact() > isolatedAfter {
		return true
	}
	if age > unconfiguredAfter && s.node.revision() == 0 {
		return true
	}
	onDuty := s.duty.Watches(s.node.config.Clock.Now(), s.node.fleet.watchesStore(), s.store.unreachable.Load())
	return onDuty || s.node.fleet.behindFor() >= behindAfter
}

func (s *sourceFollower) pause(ctx context.Context, wait time.Duration) {
	select {
	case <-s.node.config.Clock.After(wait):
	case <-ctx.Done():
	}
}

// fetchNewer fetches newer configurations from the peers that have them, until the
// context ends.
func (s *sourceFollower) fetchNewer(ctx context.Context) error {
	for {
		select {
		case <-s.node.fleet.newerConfig:
		case <-ctx.Done():
			return ctx.Err()
		}
		newest := s.node.fleet.newest()
		if !newest.SameZone && newest.Revision > s.node.revision() {
			s.pause(ctx, otherZoneDelay)
			newest = s.node.fleet.newest()
		}
		if newest.Address == "" || newest.Revision <= s.node.revision() {
			continue
		}
		s.fetchFrom(ctx, newest.Address)
	}
}

// fetchFrom gets the configuration from a peer. After a failure the peer no longer counts
// as one that has the newest configuration, so that fetchNewer picks another.
func (s *sourceFollower) fetchFrom(ctx context.Context, address string) {
	ctx, done := context.WithTimeout(ctx, peerFetchTimeout)
	defer done()
	reply, err := call[wire.ConfigReply](ctx, s.node, address, wire.KindConfigFetch, &wire.ConfigFetch{}, wire.KindConfigReply)
	if err != nil || len(reply.Head) == 0 {
		events.Emit(s.node.log, events.ConfigUnfetched, "peer", address, "error", err)
		s.node.fleet.forgetNewest(address)
		return
	}
	text, err := decompressText(reply.Head)
	if err != nil {
		events.Emit(s.node.log, events.ConfigBroken, "source", address, "error", err)
		s.node.fleet.forgetNewest(address)
		return
	}
	s.adoptIfNewer(text, address)
}

// adoptIfNewer activates a configuration if it is newer than the active one. The source is
// for the log: "store" or the address of a peer. It returns the configuration's revision, or zero
// if it is rejected.
func (s *sourceFollower) adoptIfNewer(text []byte, source string) ident.Revision {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	log := s.node.log
	revision, err := s.node.config.Source.Revision(text)
	if err != nil {
		events.Emit(log, events.ConfigBroken, "source", source, "error", err)
		return 0
	}
	if present := s.node.revision(); revision <= present {
		if revision < present {
			events.Emit(log, events.ConfigOld, "source", source, "offered", uint64(revision), "in-force", uint64(present))
		}
		return revision
	}
	table, err := s.node.config.Source.Compile(text)
	if err != nil {
		events.Emit(log, events.ConfigBroken, "source", source, "revision", uint64(revision), "error", err)
		return 0
	}
	s.text, s.compressed = text, nil
	s.node.configure(table)
	return revision
}

// receive answers a peer that fetches this node's active configuration. version is the
// protocol version that the peer speaks.
func (s *sourceFollower) receive(version uint32) *wire.ConfigReply {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	reply := &wire.ConfigReply{Revision: uint64(s.node.revision()), Head: s.text}
	if version < wire.CompressedConfigVersion || len(s.text) < minCompressedBytes {
		return reply
	}
	if s.compressed == nil {
		compressed, err := compressText(s.text)
		if err != nil {
			s.node.log.Warn("compressing the configuration failed", "error", err)
			return reply
		}
		s.compressed = compressed
	}
	reply.Head = s.compressed
	return reply
}
