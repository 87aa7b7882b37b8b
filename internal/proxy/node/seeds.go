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
	// seedsKey is where the addresses stand that a new node joins by.
	seedsKey = "fleet/seeds"
	// seedsEvery is how often a watcher looks after them.
	seedsEvery = time.Minute
	// mostSeeds bounds their number.
	mostSeeds = 32
)

// seed reads the seed addresses while the node knows nobody, and keeps its own
// among them while it is a watcher.
func (c *configSync) seed(ctx context.Context) {
	now := c.node.config.Clock.Now()
	if now.Before(c.nextSeedUpdate) {
		return
	}
	alone := len(c.node.fleet.live()) < 2
	c.nextSeedUpdate = now.Add(seedsEvery)
	if alone {
		c.nextSeedUpdate = now.Add(seedsEvery / 20)
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
	text, err := json.Marshal(seeds[:min(len(seeds), mostSeeds)])
	if err != nil {
		return
	}
	_, _ = c.store.CAS(ctx, seedsKey, text, item.Version, 0)
}

// countedStore counts the calls of the platform's store, and tells when it goes
// away and comes back.
type countedStore struct {
	Store
	meter *meter.Meter
	log   hclog.Logger
	away  atomic.Bool
	// changed is told when the store goes away or comes back; nil is not told.
	changed func(away bool)
}

func (s *countedStore) Get(ctx context.Context, key string) (store.Item, error) {
	item, err := s.Store.Get(ctx, key)
	return item, s.note(ctx, err)
}

func (s *countedStore) CAS(
	ctx context.Context, key string, value []byte, version store.Version, lease store.Lease,
) (store.Item, error) {
	item, err := s.Store.CAS(ctx, key, value, version, lease)
	return item, s.note(ctx, err)
}

func (s *countedStore) Delete(ctx context.Context, key string, version store.Version) error {
	return s.note(ctx, s.Store.Delete(ctx, key, version))
}

func (s *countedStore) List(ctx context.Context, prefix string) ([]store.Item, error) {
	items, err := s.Store.List(ctx, prefix)
	return items, s.note(ctx, err)
}

func (s *countedStore) Watch(ctx context.Context, key string, wait store.Wait) (store.Item, error) {
	item, err := s.Store.Watch(ctx, key, wait)
	return item, s.note(ctx, err)
}

func (s *countedStore) Grant(ctx context.Context, ttl time.Duration) (store.Lease, error) {
	lease, err := s.Store.Grant(ctx, ttl)
	return lease, s.note(ctx, err)
}

func (s *countedStore) KeepAlive(ctx context.Context, lease store.Lease) error {
	return s.note(ctx, s.Store.KeepAlive(ctx, lease))
}

func (s *countedStore) note(ctx context.Context, err error) error {
	s.meter.StoreCalls.Inc(1)
	if !errors.Is(err, store.ErrUnavailable) || ctx.Err() != nil {
		if ctx.Err() == nil && s.away.CompareAndSwap(true, false) {
			events.Emit(s.log, events.StoreBack)
			s.tell(false)
		}
		return err
	}
	s.meter.StoreErrors.Inc(1)
	if s.away.CompareAndSwap(false, true) {
		events.Emit(s.log, events.StoreAway, "error", err)
		s.tell(true)
	}
	return err
}

func (s *countedStore) tell(away bool) {
	if s.changed != nil {
		s.changed(away)
	}
}
