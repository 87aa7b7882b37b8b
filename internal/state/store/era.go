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

// ParseEra parses the header that holds the store's era. A store that names none has era 0.
func ParseEra(text string) (Era, error) {
	if text == "" {
		return 0, nil
	}
	era, err := strconv.ParseUint(text, 10, 64)
	return Era(era), errors.Wrapf(err, "store: era %q is not a number", text)
}
