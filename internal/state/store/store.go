package store

import (
	"time"

	"github.com/cockroachdb/errors"
)

// MaxValueBytes is the largest value that the service holds.
const MaxValueBytes = 1 << 20

var (
	// ErrNotFound marks a key that does not exist.
	ErrNotFound = errors.New("store: not found")
	// ErrConflict marks a write whose version does not stand any more.
	ErrConflict = errors.New("store: version conflict")
	// ErrTooLarge marks a value over MaxValueBytes; nothing was written.
	ErrTooLarge = errors.New("store: value too large")
	// ErrLeaseLost marks a lease that has lapsed or was revoked.
	ErrLeaseLost = errors.New("store: lease lost")
	// ErrUnchanged marks a watch that ended without news.
	ErrUnchanged = errors.New("store: unchanged")
	// ErrUnavailable marks a call that got no answer; a write may have been
	// done.
	ErrUnavailable = errors.New("store: unavailable")
)

type (
	// Version counts the writes of one key, over its deletions too.
	Version uint64

	// Lease names a lease; zero is none.
	Lease uint64

	// Item is a key's value at a version.
	Item struct {
		Key     string  `json:"key"`
		Value   []byte  `json:"value"`
		Version Version `json:"version"`
	}

	// Wait bounds a waiting watch.
	Wait struct {
		// After is the version that is known; zero waits for the first.
		After Version
		// For is the longest wait.
		For time.Duration
	}
)
