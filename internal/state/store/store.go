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

	// Version identifies one write of one key. The zero value is a key that does not
	// exist; with an Era and no Number, one that did not exist in that era. A version of an
	// earlier era no longer identifies any write, whatever its number.
	Version struct {
		Era Era
		// Number grows with each write of the key within an era, across deletions
		// too.
		Number uint64
	}

	// Lease identifies a lease. The zero value is no lease. Keys written with a lease
	// are deleted when it ends. A lease of an earlier era counts as ended.
	Lease struct {
		Era Era
		ID  uint64
	}

	// Item is a key's value at a version.
	Item struct {
		Key     string
		Value   []byte
		Version Version
	}

	// WatchOptions says which version a watch waits for, and how long.
	WatchOptions struct {
		// After is the version that the caller knows. The watch waits for a later
		// one; the zero value waits for the first.
		After Version
		// Timeout is how long the service waits at most.
		Timeout time.Duration
		// Complete makes ErrUnchanged prove that there was no later version when the call was
		// sent. Otherwise a watch that the service has dropped while it waited may make the
		// next one begin behind a change. It may cost more calls.
		Complete bool
	}
)

// IsZero reports whether v is the version of a key that does not exist.
func (v Version) IsZero() bool {
	return v.Number == 0
}

// Later reports whether v was written after w.
func (v Version) Later(w Version) bool {
	if v.Era != w.Era {
		return v.Era > w.Era
	}
	return v.Number > w.Number
}

// IsZero reports whether l is no lease.
func (l Lease) IsZero() bool {
	return l.ID == 0
}
