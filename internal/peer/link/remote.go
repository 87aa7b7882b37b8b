package link

import (
	"sync"
	"time"

	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/peer/wire"
)

// offsetAge is how long a reading of a peer's clock bounds it: over this time
// two monotonic clocks drift by less than a millisecond.
const offsetAge = 10 * time.Second

type (
	// Peer is what a session's Hello told of the node at its other end.
	Peer struct {
		Node     ident.Node
		Zone     ident.Zone
		Address  string
		Instance ident.Instance
	}

	// Remote is a lower bound of a peer's monotonic clock.
	Remote struct {
		mutex    sync.Mutex
		instance ident.Instance
		offset   time.Duration
		taken    time.Time
		origin   time.Time
	}
)

// Observe takes a reading of the peer's clock that was received at now.
func (r *Remote) Observe(instance ident.Instance, reading time.Duration, now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.origin.IsZero() {
		r.origin = now
	}
	offset := reading - now.Sub(r.origin)
	fresh := r.instance == instance && !r.taken.IsZero() && now.Sub(r.taken) < offsetAge
	if fresh && offset <= r.offset {
		return
	}
	r.instance = instance
	r.offset = offset
	r.taken = now
}

// Stamp returns the last moment, by the peer's clock, at which an attempt that
// is made now with the given time left may start.
func (r *Remote) Stamp(now time.Time, left time.Duration) *wire.Stamp {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	reading := now.Sub(r.origin) + r.offset
	return &wire.Stamp{
		Instance:      uint64(r.instance),
		StartBeforeNs: int64(reading + left),
	}
}
