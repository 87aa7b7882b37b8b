package kvs_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/figwick/figwick/internal/fake/kvs"
	"github.com/figwick/figwick/internal/proxy/node"
	"github.com/figwick/figwick/internal/state/store"
)

// platform is all that the contract covers.
type platform interface {
	node.Store
	KeepAlive(ctx context.Context, lease store.Lease) error
	Revoke(ctx context.Context, lease store.Lease) error
}

var (
	_ platform = (*kvs.Store)(nil)
	_ platform = (*store.HTTP)(nil)
)

// TestContract runs one table against the stand-in itself and against the HTTP
// adapter in front of it.
func TestContract(t *testing.T) {
	for name, connect := range map[string]func(t *testing.T, s *kvs.Store) platform{
		"stand-in": func(_ *testing.T, s *kvs.Store) platform { return s },
		"http": func(t *testing.T, s *kvs.Store) platform {
			server := httptest.NewServer(kvs.Handler(s, "secret"))
			t.Cleanup(server.Close)
			return store.NewHTTP(store.Config{URL: server.URL, Token: "secret", Client: server.Client()})
		},
	} {
		for _, c := range contract {
			t.Run(name+"/"+c.name, func(t *testing.T) {
				clock := clockwork.NewFakeClock()
				s := kvs.New(clock)
				c.run(t, &fixture{Store: s, clock: clock, platform: connect(t, s)})
			})
		}
	}
}

type fixture struct {
	*kvs.Store
	clock    *clockwork.FakeClock
	platform platform
}

var contract = []struct {
	name string
	run  func(t *testing.T, f *fixture)
}{
	{"create, replace, conflict", func(t *testing.T, f *fixture) {
		ctx := t.Context()
		_, err := f.platform.Get(ctx, "a/b c")
		assert.ErrorIs(t, err, store.ErrNotFound)
		first, err := f.platform.CAS(ctx, "a/b c", []byte("1"), store.Version{}, store.Lease{})
		assert.NilError(t, err)
		_, err = f.platform.CAS(ctx, "a/b c", []byte("2"), store.Version{}, store.Lease{})
		assert.ErrorIs(t, err, store.ErrConflict)
		second, err := f.platform.CAS(ctx, "a/b c", []byte("2"), first.Version, store.Lease{})
		assert.NilError(t, err)
		assert.Check(t, second.Version.Later(first.Version))
		found, err := f.platform.Get(ctx, "a/b c")
		assert.NilError(t, err)
		assert.Equal(t, string(found.Value), "2")
		assert.Equal(t, found.Version, second.Version)
	}},
	{"delete needs the version, and versions go on", func(t *testing.T, f *fixture) {
		ctx := t.Context()
		item, err := f.platform.CAS(ctx, "k", []byte("1"), store.Version{}, store.Lease{})
		assert.NilError(t, err)
		assert.ErrorIs(t, f.platform.Delete(ctx, "k", store.Version{Era: item.Version.Era, Number: item.Version.Number + 1}), store.ErrConflict)
		assert.NilError(t, f.platform.Delete(ctx, "k", item.Version))
		assert.ErrorIs(t, f.platform.Delete(ctx, "k", item.Version), store.ErrNotFound)
		again, err := f.platform.CAS(ctx, "k", []byte("2"), store.Version{}, store.Lease{})
		assert.NilError(t, err)
		assert.Check(t, again.Version.Later(item.Version))
	}},
	{"list by prefix", func(t *testing.T, f *fixture) {
		ctx := t.Context()
		for _, key := range []string{"x/2", "y/1", "x/1"} {
			_, err := f.platform.CAS(ctx, key, []byte("v"), store.Version{}, store.Lease{})
			assert.NilError(t, err)
		}
		items, err := f.platform.List(ctx, "x/")
		assert.NilError(t, err)
		assert.Equal(t, len(items), 2)
		assert.Equal(t, items[0].Key, "x/1")
	}},
	{"too large a value changes nothing", func(t *testing.T, f *fixture) {
		_, err := f.platform.CAS(t.Context(), "k", make([]byte, store.MaxValueBytes+1), store.Version{}, store.Lease{})
		assert.ErrorIs(t, err, store.ErrTooLarge)
		_, err = f.platform.Get(t.Context(), "k")
		assert.ErrorIs(t, err, store.ErrNotFound)
	}},
	{"watch returns a later version", func(t *testing.T, f *fixture) {
		ctx := t.Context()
		item, err := f.platform.CAS(ctx, "k", []byte("1"), store.Version{}, store.Lease{})
		assert.NilError(t, err)
		got, err := f.platform.Watch(ctx, "k", store.WatchOptions{Timeout: time.Hour})
		assert.NilError(t, err)
		assert.Equal(t, got.Version, item.Version)
		found := make(chan store.Item, 1)
		go func() {
			item, _ := f.platform.Watch(ctx, "k", store.WatchOptions{After: item.Version, Timeout: time.Hour})
			found <- item
		}()
		assert.NilError(t, f.clock.BlockUntilContext(ctx, 1))
		assert.Equal(t, f.Counts().Waiting, 1)
		_, err = f.platform.CAS(ctx, "k", []byte("2"), item.Version, store.Lease{})
		assert.NilError(t, err)
		assert.Equal(t, string((<-found).Value), "2")
	}},
	{"watch ends after its wait", func(t *testing.T, f *fixture) {
		ctx := t.Context()
		ended := make(chan error, 1)
		go func() {
			_, err := f.platform.Watch(ctx, "k", store.WatchOptions{Timeout: time.Minute})
			ended <- err
		}()
		assert.NilError(t, f.clock.BlockUntilContext(ctx, 1))
		f.clock.Advance(time.Minute)
		assert.ErrorIs(t, <-ended, store.ErrNotFound)
	}},
	{"a lease takes its keys along", func(t *testing.T, f *fixture) {
		ctx := t.Context()
		lease, err := f.platform.Grant(ctx, time.Minute)
		assert.NilError(t, err)
		_, err = f.platform.CAS(ctx, "k", []byte("1"), store.Version{}, lease)
		assert.NilError(t, err)
		f.clock.Advance(50 * time.Second)
		assert.NilError(t, f.platform.KeepAlive(ctx, lease))
		f.clock.Advance(50 * time.Second)
		_, err = f.platform.Get(ctx, "k")
		assert.NilError(t, err)
		f.clock.Advance(time.Minute)
		_, err = f.platform.Get(ctx, "k")
		assert.ErrorIs(t, err, store.ErrNotFound)
		assert.ErrorIs(t, f.platform.KeepAlive(ctx, lease), store.ErrLeaseLost)
		_, err = f.platform.CAS(ctx, "k", []byte("1"), store.Version{}, lease)
		assert.ErrorIs(t, err, store.ErrLeaseLost)
	}},
	{"a lost reply hides a write that was done", func(t *testing.T, f *fixture) {
		f.Inject(kvs.Faults{LoseReplies: 1})
		_, err := f.platform.CAS(t.Context(), "k", []byte("1"), store.Version{}, store.Lease{})
		assert.ErrorIs(t, err, store.ErrUnavailable)
		found, err := f.platform.Get(t.Context(), "k")
		assert.NilError(t, err)
		assert.Equal(t, string(found.Value), "1")
	}},
	{"down has no effect", func(t *testing.T, f *fixture) {
		f.Inject(kvs.Faults{Down: true})
		_, err := f.platform.CAS(t.Context(), "k", []byte("1"), store.Version{}, store.Lease{})
		assert.ErrorIs(t, err, store.ErrUnavailable)
		f.Inject(kvs.Faults{})
		_, err = f.platform.Get(t.Context(), "k")
		assert.ErrorIs(t, err, store.ErrNotFound)
	}},
	{"stale reads go back, writes do not", func(t *testing.T, f *fixture) {
		ctx := t.Context()
		first, err := f.platform.CAS(ctx, "k", []byte("1"), store.Version{}, store.Lease{})
		assert.NilError(t, err)
		_, err = f.platform.CAS(ctx, "k", []byte("2"), first.Version, store.Lease{})
		assert.NilError(t, err)
		f.Inject(kvs.Faults{Stale: 1})
		old, err := f.platform.Get(ctx, "k")
		assert.NilError(t, err)
		assert.Equal(t, string(old.Value), "1")
		_, err = f.platform.CAS(ctx, "k", []byte("3"), old.Version, store.Lease{})
		assert.ErrorIs(t, err, store.ErrConflict)
	}},
	{"a restore takes back what was written and its leases", func(t *testing.T, f *fixture) {
		ctx := t.Context()
		_, err := f.platform.CAS(ctx, "k", []byte("1"), store.Version{}, store.Lease{})
		assert.NilError(t, err)
		saved := f.Snapshot()
		item, err := f.platform.Get(ctx, "k")
		assert.NilError(t, err)
		item, err = f.platform.CAS(ctx, "k", []byte("2"), item.Version, store.Lease{})
		assert.NilError(t, err)
		lease, err := f.platform.Grant(ctx, time.Minute)
		assert.NilError(t, err)
		f.Restore(saved)
		old, err := f.platform.Get(ctx, "k")
		assert.NilError(t, err)
		assert.Equal(t, string(old.Value), "1")
		assert.Check(t, old.Version.Later(item.Version), "versions of a later era are later")
		assert.ErrorIs(t, f.platform.KeepAlive(ctx, lease), store.ErrLeaseLost)
	}},
	{"versions and leases of an earlier era do not name those given out again", func(t *testing.T, f *fixture) {
		ctx := t.Context()
		saved := f.Snapshot()
		mine, err := f.platform.CAS(ctx, "k", []byte("mine"), store.Version{}, store.Lease{})
		assert.NilError(t, err)
		lease, err := f.platform.Grant(ctx, time.Minute)
		assert.NilError(t, err)
		f.Restore(saved)
		other, err := f.CAS(ctx, "k", []byte("other"), store.Version{}, store.Lease{})
		assert.NilError(t, err)
		assert.Equal(t, other.Version.Number, mine.Version.Number)
		again, err := f.Grant(ctx, time.Minute)
		assert.NilError(t, err)
		assert.Equal(t, again.ID, lease.ID)
		found, err := f.platform.Watch(ctx, "k", store.WatchOptions{After: mine.Version, Timeout: 0})
		assert.NilError(t, err)
		assert.Equal(t, string(found.Value), "other")
		_, err = f.platform.CAS(ctx, "k", []byte("mine"), mine.Version, store.Lease{})
		assert.ErrorIs(t, err, store.ErrConflict)
		assert.ErrorIs(t, f.platform.Delete(ctx, "k", mine.Version), store.ErrConflict)
		assert.ErrorIs(t, f.platform.KeepAlive(ctx, lease), store.ErrLeaseLost)
		_, err = f.platform.CAS(ctx, "n", []byte("mine"), store.Version{}, lease)
		assert.ErrorIs(t, err, store.ErrLeaseLost)
		assert.ErrorIs(t, f.platform.Revoke(ctx, lease), store.ErrLeaseLost)
		assert.NilError(t, f.KeepAlive(ctx, again))
	}},
	{"a restore cuts watches that wait", func(t *testing.T, f *fixture) {
		ctx := t.Context()
		saved := f.Snapshot()
		ended := make(chan error, 1)
		go func() {
			_, err := f.platform.Watch(ctx, "k", store.WatchOptions{Timeout: time.Hour})
			ended <- err
		}()
		assert.NilError(t, f.clock.BlockUntilContext(ctx, 1))
		f.Restore(saved)
		assert.ErrorIs(t, <-ended, store.ErrUnavailable)
	}},
	{"calls are counted", func(t *testing.T, f *fixture) {
		before := f.Counts()
		_, err := f.platform.Get(t.Context(), "k")
		assert.Check(t, errors.Is(err, store.ErrNotFound))
		assert.Equal(t, f.Counts().Reads-before.Reads, 1)
	}},
}
