package keys

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"hash"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/figwick/figwick/internal/base/eval"
	"github.com/figwick/figwick/internal/base/heads"
	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/state/store"
)

const (
	// Window is how long a key is remembered.
	Window = 24 * time.Hour
	// MaxAnswerBytes is the size of the largest answer body that is kept.
	MaxAnswerBytes = 64 << 10
	// leaseInterval is how long a node uses one lease for new records before it
	// takes another.
	leaseInterval = time.Hour
	keyPrefix     = "keys/"
)

// The states of a key.
const (
	// Claimed means that the submission has the key and may run.
	Claimed State = iota + 1
	// Pending means that another submission has the key and no answer is
	// recorded. It may have run.
	Pending
	// Done means that another submission has run and its answer is recorded.
	Done
)

var (
	// ErrUnavailable marks a key whose state is unknown because the store did not
	// answer, its record cannot be decoded, or the store has lost records.
	ErrUnavailable = errors.New("keys: store unavailable")

	errRestored = errors.Wrap(ErrUnavailable, "keys: the store has come back from an older copy")
)

type (
	// State is the state of a key as Registry.Claim found it.
	State int

	// Key identifies a request across its submissions.
	Key struct {
		Service ident.Service
		Caller  ident.Caller
		// Text is the value of the request's Idempotency-Key header.
		Text string
	}

	// Answer is the response of the backend server.
	Answer struct {
		Status  int                 `json:"status"`
		Headers map[string][]string `json:"headers,omitempty"`
		Body    []byte              `json:"body,omitempty"`
		// BodyOmitted reports that the body was too large to keep.
		BodyOmitted bool `json:"left,omitempty"`
	}

	// Claim is the result of Registry.Claim. Answer is set if State is Done. Only a
	// Claim in the state Claimed may be passed to Finish or Release.
	Claim struct {
		State  State
		Answer *Answer
		key    string
		// mutex guards the fields below.
		mutex   sync.Mutex
		version store.Version
		record  record
	}

	// Store is the key-value store that holds the records.
	Store interface {
		Get(ctx context.Context, key string) (store.Item, error)
		CAS(ctx context.Context, key string, value []byte, version store.Version, lease store.Lease) (store.Item, error)
		Delete(ctx context.Context, key string, version store.Version) error
		Grant(ctx context.Context, ttl time.Duration) (store.Lease, error)
	}

	// Config configures a Registry.
	Config struct {
		Store Store
		Clock eval.Clock
	}

	// Registry claims keys on behalf of one node. It is safe for concurrent use.
	Registry struct {
		config Config
		// mutex guards lease and leasedAt. It is held while a new lease is
		// granted.
		mutex    sync.Mutex
		lease    store.Lease
		leasedAt time.Time
		held     heldClaims
	}

	// record is the stored value of a key.
	record struct {
		// Claim is the id of the attempt to claim the key.
		Claim  ident.Attempt `json:"claim"`
		Answer *Answer       `json:"answer,omitempty"`
	}

	// stored is a record at its version.
	stored struct {
		record  record
		version store.Version
	}
)

// NewRegistry returns a Registry.
func NewRegistry(config Config) *Registry {
	return &Registry{config: config}
}

// Claim claims a key or returns the state in which another submission left it. It
// returns ErrUnavailable if the state is unknown; the request must not run then.
func (r *Registry) Claim(ctx context.Context, k Key) (*Claim, error) {
	if r.held.settling(r.config.Clock.Now()) {
		return nil, errRestored
	}
	c := &Claim{State: Claimed, key: k.storeKey(), record: record{Claim: ident.NewAttempt()}}
	r.held.add(r.config.Clock.Now(), c)
	found, err := r.claim(ctx, c)
	switch {
	case err != nil || found != c:
		r.held.remove(c)
		return found, err
	case r.held.settling(r.config.Clock.Now()):
		// The key may belong to a claim that the copy lacks.
		return nil, errors.CombineErrors(errRestored, r.Release(ctx, c))
	default:
		return c, nil
	}
}

// claim writes the record of a claim. If the key is taken, it returns the claim that has it.
func (r *Registry) claim(ctx context.Context, c *Claim) (*Claim, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	err := r.update(ctx, c)
	if errors.Is(err, store.ErrLeaseLost) {
		err = r.update(ctx, c)
	}
	switch {
	case err == nil:
		return c, nil
	case errors.Is(err, ErrUnavailable):
		return nil, err
	default:
		return r.readExisting(ctx, c)
	}
}

// Finish records the answer to a claimed key. It drops a body above MaxAnswerBytes.
// On an error the key may stay Pending until its lease ends. If the store has lost the
// claim, the record is written anew, unless another submission has the key now.
func (r *Registry) Finish(ctx context.Context, c *Claim, a Answer) error {
	if len(a.Body) > MaxAnswerBytes {
		a.Body = nil
		a.BodyOmitted = true
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.record.Answer = &a
	r.held.finish(r.config.Clock.Now(), c)
	return r.rewrite(ctx, c)
}

// rewrite writes a claim's record over what is stored of the same claim, or creates it. It returns
// store.ErrConflict if another submission has the key. The claim's mutex is held.
func (r *Registry) rewrite(ctx context.Context, c *Claim) error {
	err := r.update(ctx, c)
	if errors.Is(err, store.ErrLeaseLost) {
		err = r.update(ctx, c)
	}
	if !errors.Is(err, store.ErrConflict) {
		return err
	}
	present, readErr := r.read(ctx, c.key)
	switch {
	case errors.Is(readErr, store.ErrNotFound):
		c.version = store.Version{}
	case readErr != nil:
		return readErr
	case present.record.Claim != c.record.Claim:
		return err
	default:
		c.version = present.version
	}
	return r.update(ctx, c)
}

// update writes a key's record at its version under the current lease. If that lease is
// lost, update drops it, so that the next call takes a new one.
func (r *Registry) update(ctx context.Context, c *Claim) error {
	lease, err := r.currentLease(ctx)
	if err != nil {
		return err
	}
	item, err := r.write(ctx, c, c.version, lease)
	if errors.Is(err, store.ErrLeaseLost) {
		r.dropLease(lease)
	}
	if err == nil {
		c.version = item.Version
	}
	return err
}

// Release deletes the record of a claimed key whose request was not run.
func (r *Registry) Release(ctx context.Context, c *Claim) error {
	r.held.remove(c)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return r.config.Store.Delete(ctx, c.key, c.version)
}

// write replaces the given version of the record; the zero version creates it.
func (r *Registry) write(ctx context.Context, c *Claim, version store.Version, lease store.Lease) (store.Item, error) {
	value, err := json.Marshal(c.record)
	if err != nil {
		return store.Item{}, errors.Wrap(err, "keys: encode")
	}
	return r.config.Store.CAS(ctx, c.key, value, version, lease)
}

// readExisting reads the record that kept a claim from being created. If it has the
// claim's own id, the claim succeeded and only the store's reply was lost.
func (r *Registry) readExisting(ctx context.Context, c *Claim) (*Claim, error) {
	found, err := r.read(ctx, c.key)
	if err != nil {
		return nil, errors.Mark(err, ErrUnavailable)
	}
	if found.record.Claim == c.record.Claim {
		c.version = found.version
		return c, nil
	}
	if found.record.Answer == nil {
		return &Claim{State: Pending}, nil
	}
	return &Claim{State: Done, Answer: found.record.Answer}, nil
}

// read reads the record of a key.
func (r *Registry) read(ctx context.Context, key string) (stored, error) {
	item, err := r.config.Store.Get(ctx, key)
	if err != nil {
		return stored{}, errors.Wrap(err, "keys: read back")
	}
	found := stored{version: item.Version}
	if err := json.Unmarshal(item.Value, &found.record); err != nil {
		return stored{}, errors.Wrap(err, "keys: decode")
	}
	if a := found.record.Answer; a != nil {
		return found, a.check()
	}
	return found, nil
}

// check returns an error if the answer cannot be sent. A node of an earlier version may have recorded it.
func (a *Answer) check() error {
	if !heads.IsFinal(a.Status) {
		return errors.Newf("keys: record has an answer of status %d", a.Status)
	}
	return errors.Wrap(heads.CheckFields(a.Headers), "keys: record")
}

// currentLease returns the lease for new records and takes one if there is none
// or it is older than leaseInterval. A lease lasts Window plus leaseInterval, so
// that the last record under it still stays for Window.
func (r *Registry) currentLease(ctx context.Context) (store.Lease, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.config.Clock.Now()
	if !r.lease.IsZero() && now.Sub(r.leasedAt) < leaseInterval {
		return r.lease, nil
	}
	lease, err := r.config.Store.Grant(ctx, Window+leaseInterval)
	if err != nil {
		return store.Lease{}, errors.Mark(errors.Wrap(err, "keys: lease"), ErrUnavailable)
	}
	r.lease = lease
	r.leasedAt = now
	return lease, nil
}

// dropLease drops the current lease if it is still the given one.
func (r *Registry) dropLease(lease store.Lease) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.lease == lease {
		r.lease = store.Lease{}
	}
}

// storeKey returns the key of the record in the store, a hash of all fields.
func (k Key) storeKey() string {
	h := sha256.New()
	writeField(h, string(k.Service))
	writeField(h, string(k.Caller))
	writeField(h, k.Text)
	return keyPrefix + hex.EncodeToString(h.Sum(nil))
}

// writeField writes a text and a terminating zero byte, so that the boundaries of
// adjacent fields affect the hash.
func writeField(h hash.Hash, text string) {
	_, _ = io.WriteString(h, text)
	_, _ = h.Write([]byte{0})
}
