package store

import (
	"strconv"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// EraTracker is a client's record of the store's era. The zero value knows none. It is
// safe for concurrent use.
type EraTracker struct {
	latest atomic.Uint64
}

// Era returns the latest era observed.
func (t *EraTracker) Era() Era {
	return Era(t.latest.Load())
}

// Observe records the era of an answer. An earlier era than the latest, of an answer that
// was delayed, changes nothing.
func (t *EraTracker) Observe(era Era) {
	for {
		latest := t.latest.Load()
		if uint64(era) <= latest || t.latest.CompareAndSwap(latest, uint64(era)) {
			return
		}
	}
}

// Reset forgets the era, for a client that turns to another store.
func (t *EraTracker) Reset() {
	t.latest.Store(0)
}

// CheckWrite returns ErrLeaseLost or ErrConflict for a write that cannot be done because
// its lease or its version is of an earlier era. Such a write must not be sent: the number
// may have been given out again.
func (t *EraTracker) CheckWrite(version Version, lease Lease) error {
	era := t.Era()
	switch {
	case !lease.IsZero() && lease.Era != era:
		return ErrLeaseLost
	case version.Era != 0 && version.Era != era:
		return ErrConflict
	default:
		return nil
	}
}

// CheckWritten returns ErrUnavailable if a write named a version or a lease of another era
// than the one that answered: the store was restored in between, and what it compared was
// not what the caller knew.
func CheckWritten(version Version, lease Lease, answered Era) error {
	if version.Era != 0 && version.Era != answered || !lease.IsZero() && lease.Era != answered {
		return ErrUnavailable
	}
	return nil
}

// ParseEra parses the header that holds the store's era. A store that names none has era 0.
func ParseEra(text string) (Era, error) {
	if text == "" {
		return 0, nil
	}
	era, err := strconv.ParseUint(text, 10, 64)
	return Era(era), errors.Wrapf(err, "store: era %q is not a number", text)
}
