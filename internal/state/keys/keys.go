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

	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/base/turn"
	"github.com/figwick/figwick/internal/state/store"
)

const (
	// Window is how long a key is remembered.
	Window = 24 * time.Hour
	// AnswerBytes is the largest body that a record keeps.
	AnswerBytes = 64 << 10
	// leaseEvery is how often a node takes a new lease for its records.
	leaseEvery = time.Hour
	prefix     = "keys/"
)

// The states of a key.
const (
	// Claimed keys belong to the submission that asked.
	Claimed State = iota + 1
	// Pending keys belong to another submission, which may have run.
	Pending
	// Done keys belong to another submission, which has run.
	Done
)

// ErrAway marks a key that cannot be looked up now.
var ErrAway = errors.New("keys: the store does not answer")

type (
	// State is what a claim found.
	State int

	// Key names one request over its submissions.
	Key struct {
		Service ident.Service
		Caller  ident.Caller
		Text    string
	}

	// Answer is what the backend server answered.
	Answer struct {
		Status  int                 `json:"status"`
		Headers map[string][]string `json:"headers,omitempty"`
		Body    []byte              `json:"body,omitempty"`
		// Left tells that the body was too large to keep.
		Left bool `json:"left,omitempty"`
	}

	// Claim is a key as it was found. Answer is set for Done.
	Claim struct {
		State   State
		Answer  *Answer
		key     string
		version store.Version
		record  record
	}

	// Store is what the records are kept in.
	Store interface {
		Get(ctx context.Context, key string) (store.Item, error)
		CAS(ctx context.Context, key string, value []byte, version store.Version, lease store.Lease) (store.Item, error)
		Delete(ctx context.Context, key string, version store.Version) error
		Grant(ctx context.Context, ttl time.Duration) (store.Lease, error)
	}

	// Config makes a Book.
	Config struct {
		Store Store
		Clock turn.Clock
	}

	// Book is the records as one node reaches them.
	Book struct {
		config Config
		mutex  sync.Mutex
		lease  store.Lease
		taken  time.Time
	}

	record struct {
		Claim  ident.Attempt `json:"claim"`
		Answer *Answer       `json:"answer,omitempty"`
	}
)

// NewBook returns a Book.
func NewBook(config Config) *Book {
	return &Book{config: config}
}

// Claim claims a key, or tells who has it. ErrAway says that nobody can tell.
func (b *Book) Claim(ctx context.Context, k Key) (*Claim, error) {
	c := &Claim{State: Claimed, key: k.path(), record: record{Claim: ident.NewAttempt()}}
	err := b.create(ctx, c)
	if errors.Is(err, store.ErrLeaseLost) {
		err = b.create(ctx, c)
	}
	switch {
	case err == nil:
		return c, nil
	case errors.Is(err, ErrAway):
		return nil, err
	default:
		return b.readBack(ctx, c)
	}
}

// create creates a key's record under the current lease. A lease that has
// lapsed is not used again.
func (b *Book) create(ctx context.Context, c *Claim) error {
	lease, err := b.currentLease(ctx)
	if err != nil {
		return err
	}
	item, err := b.write(ctx, c, 0, lease)
	if errors.Is(err, store.ErrLeaseLost) {
		b.dropLease(lease)
	}
	c.version = item.Version
	return err
}

// Finish records the answer of a claimed key. Where that fails the key stays
// claimed.
func (b *Book) Finish(ctx context.Context, c *Claim, a Answer) error {
	if len(a.Body) > AnswerBytes {
		a.Body = nil
		a.Left = true
	}
	c.record.Answer = &a
	lease, err := b.currentLease(ctx)
	if err != nil {
		return err
	}
	_, err = b.write(ctx, c, c.version, lease)
	return err
}

// Forget gives up a claimed key whose request was not run.
func (b *Book) Forget(ctx context.Context, c *Claim) error {
	return b.config.Store.Delete(ctx, c.key, c.version)
}

func (b *Book) write(ctx context.Context, c *Claim, version store.Version, lease store.Lease) (store.Item, error) {
	value, err := json.Marshal(c.record)
	if err != nil {
		return store.Item{}, errors.Wrap(err, "keys: encode")
	}
	return b.config.Store.CAS(ctx, c.key, value, version, lease)
}

// readBack finds out who has a key. A claim whose reply was lost is recognised
// by its id.
func (b *Book) readBack(ctx context.Context, c *Claim) (*Claim, error) {
	item, err := b.config.Store.Get(ctx, c.key)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "keys: read back"), ErrAway)
	}
	var found record
	if err := json.Unmarshal(item.Value, &found); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "keys: decode"), ErrAway)
	}
	if found.Claim == c.record.Claim {
		c.version = item.Version
		return c, nil
	}
	if found.Answer == nil {
		return &Claim{State: Pending}, nil
	}
	return &Claim{State: Done, Answer: found.Answer}, nil
}

// currentLease returns the lease under which the records of this hour end.
func (b *Book) currentLease(ctx context.Context) (store.Lease, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := b.config.Clock.Now()
	if b.lease != 0 && now.Sub(b.taken) < leaseEvery {
		return b.lease, nil
	}
	lease, err := b.config.Store.Grant(ctx, Window+leaseEvery)
	if err != nil {
		return 0, errors.Mark(errors.Wrap(err, "keys: lease"), ErrAway)
	}
	b.lease = lease
	b.taken = now
	return lease, nil
}

func (b *Book) dropLease(lease store.Lease) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.lease == lease {
		b.lease = 0
	}
}

func (k Key) path() string {
	h := sha256.New()
	add(h, string(k.Service))
	add(h, string(k.Caller))
	add(h, k.Text)
	return prefix + hex.EncodeToString(h.Sum(nil))
}

func add(h hash.Hash, text string) {
	_, _ = io.WriteString(h, text)
	_, _ = h.Write([]byte{0})
}
