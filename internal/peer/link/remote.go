package link

import (
	"sync"
	"time"

	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/peer/wire"
)

// maxOffsetAge is how long a reading of a peer's clock is used as a bound. Within
// this time two monotonic clocks drift apart by less than a millisecond.
const maxOffsetAge = 10 * time.Second

type (
	// Peer describes the node at the other end of a session, as its Hello states.
	Peer struct {
		Node ident.Node
		Zone ident.Zone
		// Address is the address at which the node accepts sessions.
		Address  string
		Instance ident.Instance
		// Version is the protocol version that the node speaks.
		Version uint32
	}

	// PeerClock keeps a lower bound of a peer's monotonic clock. It is safe for
	// concurrent use.
	//
	// A reading is older than its arrival by the network delay. Its offset from the
	// local clock therefore never exceeds the true one, and the largest recent
	// offset is the tightest bound.
	PeerClock struct {
		mutex    sync.Mutex
		instance ident.Instance
		// offset is the peer's reading less the local time since origin.
		offset time.Duration
		// observedAt is when the reading behind offset was received.
		observedAt time.Time
		// origin is when the first reading was received.
		origin time.Time
	}
)

// Observe records a reading of the peer's clock that was received at now. A
// reading that does not raise the bound is ignored unless the peer has restarted or
// the present bound has expired.
func (r *PeerClock) Observe(instance ident.Instance, reading time.Duration, now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.origin.IsZero() {
		r.origin = now
	}
	offset := reading - now.Sub(r.origin)
	fresh := r.instance == instance && !r.observedAt.IsZero() && now.Sub(r.observedAt) < maxOffsetAge
	if fresh && offset <= r.offset {
		return
	}
	r.instance = instance
	r.offset = offset
	r.observedAt = now
}

// Stamp returns the latest start time of an attempt that has the given time left
// at now, in the peer's clock. It is at or before the exact time, never after it.
func (r *PeerClock) Stamp(now time.Time, left time.Duration) *wire.Stamp {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	reading := now.Sub(r.origin) + r.offset
	return &wire.Stamp{
		Instance:      uint64(r.instance),
		StartBeforeNs: int64(reading + left),
	}
}
