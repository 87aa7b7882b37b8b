package store

import (
	"time"

	"github.com/cockroachdb/errors"
)

// MaxValueBytes is the size of the largest value that the service accepts.
const MaxValueBytes = 1 << 20

var (
	// ErrNotFound marks a key that does not exist.
	ErrNotFound = errors.New("store: not found")
	// ErrConflict marks a write whose version is not the current version of the
	// key; nothing was written.
	ErrConflict = errors.New("store: version conflict")
	// ErrTooLarge marks a value over MaxValueBytes; nothing was written.
	ErrTooLarge = errors.New("store: value too large")
	// ErrLeaseLost marks a lease that has expired or was revoked.
	ErrLeaseLost = errors.New("store: lease lost")
	// ErrUnchanged marks a watch that ended without a new version.
	ErrUnchanged = errors.New("store: unchanged")
	// ErrUnavailable marks a call without a usable reply: a network error, a
	// timeout, an unexpected status or an invalid body. A write may have been
	// done.
	ErrUnavailable = errors.New("store: unavailable")
)

type (
	// Era counts how often the service has come back from an older copy of its
	// data. What was written after the copy is lost then, leases too, and the
	// service gives out the same version numbers and lease ids again. Zero is not
	// known.
	Era uint64

	// Version counts the writes of one key. The count continues after a
	// deletion. Zero is a key that does not exist.
	Version uint64

	// Lease is the id of a lease; zero means no lease. Keys written with a lease
	// are deleted when it ends.
	Lease uint64

	// Item is a key's value at a version.
	Item struct {
		Key     string  `json:"key"`
		Value   []byte  `json:"value"`
		Version Version `json:"version"`
	}

	// WatchOptions says which version a watch waits for, and how long.
	WatchOptions struct {
		// After is the version that the caller knows. The watch waits for a
		// higher one; zero waits for the first.
		After Version
		// Timeout is how long the service waits at most.
		Timeout time.Duration
	}
)
