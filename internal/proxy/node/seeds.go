package node

import (
	"context"
	"encoding/json"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/figwick/figwick/internal/base/events"
	"github.com/figwick/figwick/internal/base/meter"
	"github.com/figwick/figwick/internal/state/store"
)

const (
	// seedsKey is the store key of the seed addresses: a JSON list of peer addresses
	// through which a new node joins the fleet.
	seedsKey = "fleet/seeds"
	// seedsInterval is how often a watcher checks that its own address is among them.
	seedsInterval = time.Minute
	// maxSeeds bounds their number. The oldest are dropped.
	maxSeeds = 32
)

// updateSeeds reads the seed addresses from the store as long as the node knows no
// other node. On a watcher it also adds the node's own address if it is missing.
// Errors are ignored, since the next call tries again.
func (c *configSync) updateSeeds(ctx context.Context) {
	now := c.node.config.Clock.Now()
	if now.Before(c.nextSeedUpdate) {
		return
	}
	alone := len(c.node.fleet.live()) < 2
	c.nextSeedUpdate = now.Add(seedsInterval)
	if alone {
		c.nextSeedUpdate = now.Add(seedsInterval / 20)
	}
	if !alone && !c.isWatcher() {
		return
	}
	item, err := c.store.Get(ctx, seedsKey)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return
	}
	var seeds []string
	if err == nil && json.Unmarshal(item.Value, &seeds) != nil {
		seeds = nil
	}
	c.node.fleet.addSeeds(seeds)
	own := c.node.config.Address
	if !c.isWatcher() || slices.Contains(seeds, own) {
		return
	}
	seeds = append([]string{own}, seeds...)
	text, err := json.Marshal(seeds[:min(len(seeds), maxSeeds)])
	if err != nil {
		return
	}
	_, _ = c.store.CAS(ctx, seedsKey, text, item.Version, store.Lease{})
}

// countedStore wraps the platform's store. It counts the calls and reports when the
// store becomes unavailable and when it is available again.
type countedStore struct {
	Store
	meter *meter.Meter
	log   hclog.Logger
	// unreachable is set while the store is unavailable.
	unreachable atomic.Bool
	// era is the store's era at the last call.
	era atomic.Uint64
	// changed is called when unreachable changes. It may be nil.
	changed func(unreachable bool)
	// onEra are called with the store's era when it becomes known, onRestore when the store
	// has come back from an older copy. They must not call the store.
	onEra, onRestore []func(era store.Era)
}

func (s *countedStore) Get(ctx context.Context, key string) (store.Item, error) {
	item, err := s.Store.Get(ctx, key)
	return item, s.record(ctx, err)
}

func (s *countedStore) CAS(
	ctx context.Context, key string, value []byte, version store.Version, lease store.Lease,
) (store.Item, error) {
	item, err := s.Store.CAS(ctx, key, value, version, lease)
	return item, s.record(ctx, err)
}

func (s *countedStore) Delete(ctx context.Context, key string, version store.Version) error {
	return s.record(ctx, s.Store.Delete(ctx, key, version))
}

func (s *countedStore) List(ctx context.Context, prefix string) ([]store.Item, error) {
	items, err := s.Store.List(ctx, prefix)
	return items, s.record(ctx, err)
}

func (s *countedStore) Watch(ctx context.Context, key string, wait store.WatchOptions) (store.Item, error) {
	item, err := s.Store.Watch(ctx, key, wait)
	return item, s.record(ctx, err)
}

func (s *countedStore) Grant(ctx context.Context, ttl time.Duration) (store.Lease, error) {
	lease, err := s.Store.Grant(ctx, ttl)
	return lease, s.record(ctx, err)
}

func (s *countedStore) KeepAlive(ctx context.Context, lease store.Lease) error {
	return s.record(ctx, s.Store.KeepAlive(ctx, lease))
}

// record counts a call and updates the availability of the store from its error,
// which it returns. A call that ended with its own context says nothing about the
// store.
func (s *countedStore) record(ctx context.Context, err error) error {
	s.meter.StoreCalls.Inc(1)
	s.noteEra()
	if !errors.Is(err, store.ErrUnavailable) || ctx.Err() != nil {
		if ctx.Err() == nil && s.unreachable.CompareAndSwap(true, false) {
			events.Emit(s.log, events.StoreBack)
			s.notify(false)
		}
		return err
	}
	s.meter.StoreErrors.Inc(1)
	if s.unreachable.CompareAndSwap(false, true) {
		events.Emit(s.log, events.StoreAway, "error", err)
		s.notify(true)
	}
	return err
}

// noteEra reports a new era of the store.
func (s *countedStore) noteEra() {
	era := uint64(s.Era())
	if era == 0 {
		return
	}
	previous := s.era.Swap(era)
	if previous == era {
		return
	}
	s.meter.StoreEra.Update(float64(era))
	for _, f := range s.onEra {
		f(store.Era(era))
	}
	if previous != 0 {
		events.Emit(s.log, events.StoreRestored, "era", era, "previous-era", previous)
		for _, f := range s.onRestore {
			f(store.Era(era))
		}
	}
}

func (s *countedStore) notify(unreachable bool) {
	if s.changed != nil {
		s.changed(unreachable)
	}
}
