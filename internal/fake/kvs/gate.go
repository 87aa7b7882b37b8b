package kvs

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/figwick/figwick/internal/state/store"
)

// silentFor is how long a call waits in vain on a Silent Gate.
const silentFor = 2 * time.Second

// Gate is one node's way to a Store. Reads and watches fail while it is Shut; while it is
// Silent they do so after a while only. Other calls always pass.
type Gate struct {
	*Store
	Shut, Silent atomic.Bool
}

// Get reads one key.
func (g *Gate) Get(ctx context.Context, key string) (store.Item, error) {
	if err := g.pass(ctx); err != nil {
		return store.Item{}, err
	}
	return g.Store.Get(ctx, key)
}

// List returns the keys with a prefix.
func (g *Gate) List(ctx context.Context, prefix string) ([]store.Item, error) {
	if err := g.pass(ctx); err != nil {
		return nil, err
	}
	return g.Store.List(ctx, prefix)
}

// Watch waits for a later version. It returns store.ErrUnchanged if there is none.
func (g *Gate) Watch(ctx context.Context, key string, wait store.WatchOptions) (store.Item, error) {
	if err := g.pass(ctx); err != nil {
		return store.Item{}, err
	}
	item, err := g.Store.Watch(ctx, key, wait)
	switch {
	case g.Shut.Load() || g.Silent.Load():
		return store.Item{}, store.ErrUnavailable
	case err == nil && item.Version == wait.After:
		return store.Item{}, store.ErrUnchanged
	default:
		return item, err
	}
}

func (g *Gate) pass(ctx context.Context) error {
	if g.Silent.Load() {
		select {
		case <-ctx.Done():
		case <-time.After(silentFor):
		}
		return store.ErrUnavailable
	}
	if g.Shut.Load() {
		return store.ErrUnavailable
	}
	return nil
}
