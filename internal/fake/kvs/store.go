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
		leases map[uint64]*lease
		last   uint64
		era    store.Era
		faults Faults
		counts Counts
		// restored is closed when the Store is restored.
		restored chan struct{}
	}

	// Snapshot is a copy of a Store's data for Restore.
	Snapshot struct {
		items  map[string]record
		leases map[uint64]lease
		last   uint64
	}

	record struct {
		value []byte
		// number is that of the version.
		number  uint64
		exists  bool
		lease   uint64
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
		clock:    clock,
		items:    map[string]*record{},
		leases:   map[uint64]*lease{},
		era:      1,
		restored: make(chan struct{}),
	}
}

// Snapshot returns a copy of the data.
func (s *Store) Snapshot() Snapshot {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	snapshot := Snapshot{items: map[string]record{}, leases: map[uint64]lease{}, last: s.last}
	for key, r := range s.items {
		snapshot.items[key] = *r
	}
	for id, l := range s.leases {
		snapshot.leases[id] = *l
	}
	return snapshot
}

// Restore returns to the data of a snapshot and begins a new era. What has been written
// since is gone, and its versions and lease ids are given out again. Watches that wait are
// cut.
func (s *Store) Restore(snapshot Snapshot) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.items = map[string]*record{}
	for key, r := range snapshot.items {
		r.changed = make(chan struct{})
		s.items[key] = &r
	}
	s.leases = map[uint64]*lease{}
	for id, l := range snapshot.leases {
		s.leases[id] = &l
	}
	s.last = snapshot.last
	s.era++
	close(s.restored)
	s.restored = make(chan struct{})
}

// Era returns the present era.
func (s *Store) Era() store.Era {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.era
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
	if !l.IsZero() && (l.Era != s.era || s.leases[l.ID] == nil) {
		return store.Item{}, store.ErrLeaseLost
	}
	r := s.record(key)
	if !s.stands(r, version) {
		return store.Item{}, store.ErrConflict
	}
	r.set(s.item(key, r), slices.Clone(value), true)
	r.lease = l.ID
	if s.loseReply() {
		return store.Item{}, store.ErrUnavailable
	}
	return store.Item{Key: key, Version: s.item(key, r).Version}, nil
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
	if !s.stands(r, version) {
		return store.ErrConflict
	}
	r.set(s.item(key, r), nil, false)
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
			items = append(items, store.Item{Key: key, Version: s.item(key, r).Version})
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
	restored := s.restored
	for {
		r := s.record(key)
		if r.number > 0 && s.item(key, r).Version.Later(wait.After) {
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
		case <-restored:
			err = store.ErrUnavailable
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
		return store.Lease{}, err
	}
	defer s.mutex.Unlock()
	s.last++
	s.leases[s.last] = &lease{ttl: ttl, expires: s.clock.Now().Add(ttl)}
	return store.Lease{Era: s.era, ID: s.last}, nil
}

// KeepAlive renews a lease.
func (s *Store) KeepAlive(ctx context.Context, id store.Lease) error {
	if err := s.enter(ctx, func(c *Counts) { c.Leases++ }); err != nil {
		return err
	}
	defer s.mutex.Unlock()
	l, found := s.leases[id.ID]
	if !found || id.Era != s.era {
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
	if id.Era != s.era {
		return store.ErrLeaseLost
	}
	s.end(id.ID)
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

func (s *Store) end(id uint64) {
	delete(s.leases, id)
	for key, r := range s.items {
		if r.exists && r.lease == id {
			r.set(s.item(key, r), nil, false)
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
	return found(s.item(key, r))
}

func found(item store.Item) (store.Item, error) {
	if item.Value == nil {
		return store.Item{}, store.ErrNotFound
	}
	return item, nil
}

// item returns a record's value at its version.
func (s *Store) item(key string, r *record) store.Item {
	return store.Item{Key: key, Value: r.value, Version: store.Version{Era: s.era, Number: r.number}}
}

// stands reports whether a record is at a version; the zero value is that of a key that
// does not exist.
func (s *Store) stands(r *record, version store.Version) bool {
	if !r.exists {
		return version.IsZero() && (version.Era == 0 || version.Era == s.era)
	}
	return version == store.Version{Era: s.era, Number: r.number}
}

// set replaces the value after the present item.
func (r *record) set(present store.Item, value []byte, exists bool) {
	r.past = append(r.past, present)
	if len(r.past) > pastVersions {
		r.past = r.past[1:]
	}
	if exists && value == nil {
		value = []byte{}
	}
	r.value = value
	r.exists = exists
	r.number++
	r.lease = 0
	close(r.changed)
	r.changed = make(chan struct{})
}
