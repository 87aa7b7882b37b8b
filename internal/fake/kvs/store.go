package kvs

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/figwick/figwick/internal/state/store"
)

type (
	// Faults is what goes wrong with calls. The zero value is a service that
	// works.
	Faults struct {
		// Down fails every call before it has any effect.
		Down bool
		// LoseReplies fails that many of the next writes after they took
		// effect.
		LoseReplies int
		// Stale serves reads from the state before the last so many writes of
		// a key.
		Stale int
		// Slow delays every call.
		Slow time.Duration
	}

	// Counts counts calls since the start.
	Counts struct {
		Reads   int `json:"reads"`
		Writes  int `json:"writes"`
		Watches int `json:"watches"`
		Leases  int `json:"leases"`
		// Waiting is the watches that wait now.
		Waiting int `json:"waiting"`
	}

	// Store is the stand-in. It is safe for concurrent use.
	Store struct {
		clock  clockwork.Clock
		mutex  sync.Mutex
		items  map[string]*record
		leases map[store.Lease]*lease
		last   store.Lease
		faults Faults
		counts Counts
	}

	record struct {
		value   []byte
		version store.Version
		exists  bool
		lease   store.Lease
		past    []store.Item
		changed chan struct{}
	}

	lease struct {
		ttl     time.Duration
		expires time.Time
	}
)

// pastVersions is how far back stale reads may go.
const pastVersions = 8

// New returns an empty Store.
func New(clock clockwork.Clock) *Store {
	return &Store{
		clock:  clock,
		items:  map[string]*record{},
		leases: map[store.Lease]*lease{},
	}
}

// Inject replaces the faults.
func (s *Store) Inject(f Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = f
}

// Counts returns the calls so far.
func (s *Store) Counts() Counts {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.counts
}

// LapseLeases ends every lease at once, as after a long pause of its holder.
func (s *Store) LapseLeases() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for id := range s.leases {
		s.end(id)
	}
}

// Era returns the era, which is the first one.
func (s *Store) Era() store.Era {
	return 1
}

// Get reads one key.
func (s *Store) Get(ctx context.Context, key string) (store.Item, error) {
	if err := s.enter(ctx, func(c *Counts) { c.Reads++ }); err != nil {
		return store.Item{}, err
	}
	defer s.mutex.Unlock()
	return s.read(key)
}

// CAS writes a key that stands at a version.
func (s *Store) CAS(
	ctx context.Context, key string, value []byte, version store.Version, l store.Lease,
) (store.Item, error) {
	if err := s.enter(ctx, func(c *Counts) { c.Writes++ }); err != nil {
		return store.Item{}, err
	}
	defer s.mutex.Unlock()
	if len(value) > store.MaxValueBytes {
		return store.Item{}, store.ErrTooLarge
	}
	if l != 0 && s.leases[l] == nil {
		return store.Item{}, store.ErrLeaseLost
	}
	r := s.record(key)
	if standing(r) != version {
		return store.Item{}, store.ErrConflict
	}
	r.set(key, slices.Clone(value), true)
	r.lease = l
	if s.loseReply() {
		return store.Item{}, store.ErrUnavailable
	}
	return store.Item{Key: key, Version: r.version}, nil
}

// Delete removes a key that stands at a version.
func (s *Store) Delete(ctx context.Context, key string, version store.Version) error {
	if err := s.enter(ctx, func(c *Counts) { c.Writes++ }); err != nil {
		return err
	}
	defer s.mutex.Unlock()
	r := s.record(key)
	if !r.exists {
		return store.ErrNotFound
	}
	if r.version != version {
		return store.ErrConflict
	}
	r.set(key, nil, false)
	if s.loseReply() {
		return store.ErrUnavailable
	}
	return nil
}

// List returns the keys with a prefix.
func (s *Store) List(ctx context.Context, prefix string) ([]store.Item, error) {
	if err := s.enter(ctx, func(c *Counts) { c.Reads++ }); err != nil {
		return nil, err
	}
	defer s.mutex.Unlock()
	var items []store.Item
	for key, r := range s.items {
		if r.exists && strings.HasPrefix(key, prefix) {
			items = append(items, store.Item{Key: key, Version: r.version})
		}
	}
	slices.SortFunc(items, func(a, b store.Item) int { return strings.Compare(a.Key, b.Key) })
	return items, nil
}

// Watch waits for a version after the known one.
func (s *Store) Watch(ctx context.Context, key string, wait store.WatchOptions) (store.Item, error) {
	if err := s.enter(ctx, func(c *Counts) { c.Watches++ }); err != nil {
		return store.Item{}, err
	}
	timer := s.clock.NewTimer(wait.Timeout)
	defer timer.Stop()
	s.counts.Waiting++
	defer func() {
		s.counts.Waiting--
		s.mutex.Unlock()
	}()
	for {
		r := s.record(key)
		if r.version > wait.After {
			return s.read(key)
		}
		changed := r.changed
		s.mutex.Unlock()
		var err error
		ended := false
		select {
		case <-changed:
		case <-timer.Chan():
			ended = true
		case <-ctx.Done():
			err = store.ErrUnavailable
		}
		s.mutex.Lock()
		if err != nil {
			return store.Item{}, err
		}
		if s.faults.Down {
			return store.Item{}, store.ErrUnavailable
		}
		if ended {
			return s.read(key)
		}
	}
}

// Grant makes a lease.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (store.Lease, error) {
	if err := s.enter(ctx, func(c *Counts) { c.Leases++ }); err != nil {
		return 0, err
	}
	defer s.mutex.Unlock()
	s.last++
	s.leases[s.last] = &lease{ttl: ttl, expires: s.clock.Now().Add(ttl)}
	return s.last, nil
}

// KeepAlive renews a lease.
func (s *Store) KeepAlive(ctx context.Context, id store.Lease) error {
	if err := s.enter(ctx, func(c *Counts) { c.Leases++ }); err != nil {
		return err
	}
	defer s.mutex.Unlock()
	l, found := s.leases[id]
	if !found {
		return store.ErrLeaseLost
	}
	l.expires = s.clock.Now().Add(l.ttl)
	return nil
}

// Revoke ends a lease and deletes its keys.
func (s *Store) Revoke(ctx context.Context, id store.Lease) error {
	if err := s.enter(ctx, func(c *Counts) { c.Leases++ }); err != nil {
		return err
	}
	defer s.mutex.Unlock()
	s.end(id)
	return nil
}

// enter counts a call, applies the faults and, without an error, leaves the
// mutex locked.
func (s *Store) enter(ctx context.Context, count func(*Counts)) error {
	s.mutex.Lock()
	count(&s.counts)
	if slow := s.faults.Slow; slow > 0 {
		s.mutex.Unlock()
		select {
		case <-s.clock.After(slow):
		case <-ctx.Done():
		}
		s.mutex.Lock()
	}
	if s.faults.Down || ctx.Err() != nil {
		s.mutex.Unlock()
		return store.ErrUnavailable
	}
	s.expire()
	return nil
}

func (s *Store) expire() {
	now := s.clock.Now()
	for id, l := range s.leases {
		if !now.Before(l.expires) {
			s.end(id)
		}
	}
}

func (s *Store) end(id store.Lease) {
	delete(s.leases, id)
	for key, r := range s.items {
		if r.exists && r.lease == id {
			r.set(key, nil, false)
		}
	}
}

func (s *Store) loseReply() bool {
	if s.faults.LoseReplies == 0 {
		return false
	}
	s.faults.LoseReplies--
	return true
}

func (s *Store) record(key string) *record {
	r, found := s.items[key]
	if !found {
		r = &record{changed: make(chan struct{})}
		s.items[key] = r
	}
	return r
}

func (s *Store) read(key string) (store.Item, error) {
	r := s.record(key)
	if back := min(s.faults.Stale, len(r.past)); back > 0 {
		return found(r.past[len(r.past)-back])
	}
	return found(r.item(key))
}

func found(item store.Item) (store.Item, error) {
	if item.Value == nil {
		return store.Item{}, store.ErrNotFound
	}
	return item, nil
}

func (r *record) item(key string) store.Item {
	return store.Item{Key: key, Value: r.value, Version: r.version}
}

func (r *record) set(key string, value []byte, exists bool) {
	r.past = append(r.past, r.item(key))
	if len(r.past) > pastVersions {
		r.past = r.past[1:]
	}
	if exists && value == nil {
		value = []byte{}
	}
	r.value = value
	r.exists = exists
	r.version++
	r.lease = 0
	close(r.changed)
	r.changed = make(chan struct{})
}

func standing(r *record) store.Version {
	if !r.exists {
		return 0
	}
	return r.version
}
