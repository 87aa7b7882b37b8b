package intake

import "time"

// MinStall is how long a holder must have waited for its caller before it may be evicted. A lost
// packet delays a caller that sends or reads by 200 to 400 ms.
const MinStall = 500 * time.Millisecond

// unservedWeight multiplies the score of connections without a served request. Callers that come
// again lose a connection to those that have not sent a request only after four times the wait.
const unservedWeight = 4

// The kinds of holder.
const (
	// Connection counts against Limits.Connections.
	Connection Kind = iota
	// Request does not.
	Request
)

type (
	// Kind is what a holder is.
	Kind int

	// Holder identifies a holder in its Budget.
	Holder uint64

	// Limits bound a Budget. Zero fields set no bound.
	Limits struct {
		Bytes       int64
		Connections int
	}

	// Budget holds what the holders are charged with. It is not safe for concurrent use.
	Budget struct {
		limits      Limits
		bytes       int64
		connections int
		holders     map[Holder]*holder
		last        Holder
		// noneBefore is a time before which no holder may be evicted. It saves the search for
		// one while a crowd is being refused.
		noneBefore time.Time
	}

	holder struct {
		kind  Kind
		bytes int64
		// waiting reports that the holder waits for its caller, since a time.
		waiting bool
		since   time.Time
		served  bool
	}
)

// New returns a Budget without holders.
func New(limits Limits) *Budget {
	return &Budget{limits: limits, holders: map[Holder]*holder{}}
}

// Open adds a holder, unless there is no room for it. A new connection waits for its caller.
func (b *Budget) Open(now time.Time, kind Kind, bytes int64) (Holder, bool, []Holder) {
	var evicted []Holder
	if kind == Connection && b.limits.Connections > 0 && b.connections >= b.limits.Connections {
		worst, found := b.worst(now, func(h *holder) bool { return h.kind == Connection })
		if !found {
			return 0, false, nil
		}
		b.Close(worst)
		evicted = append(evicted, worst)
	}
	evicted = append(evicted, b.makeRoom(now, bytes)...)
	if !b.fits(bytes) {
		return 0, false, evicted
	}
	b.last++
	b.holders[b.last] = &holder{kind: kind, bytes: bytes, waiting: kind == Connection, since: now}
	b.bytes += bytes
	if kind == Connection {
		b.connections++
	}
	return b.last, true, evicted
}

// Reserve charges a holder unless there is no room. It reports false also for a holder that
// is closed.
func (b *Budget) Reserve(now time.Time, id Holder, bytes int64) (bool, []Holder) {
	evicted := b.makeRoom(now, bytes)
	if !b.fits(bytes) {
		return false, evicted
	}
	return b.add(id, bytes), evicted
}

// Charge charges a holder for what it has received already. A negative number gives bytes back.
func (b *Budget) Charge(now time.Time, id Holder, bytes int64) []Holder {
	if !b.add(id, bytes) || bytes <= 0 {
		return nil
	}
	return b.makeRoom(now, 0)
}

// Wait notes that a holder waits for its caller from now on.
func (b *Budget) Wait(now time.Time, id Holder) {
	if h, found := b.holders[id]; found {
		h.waiting, h.since = true, now
	}
}

// Proceed notes that a holder does not wait for its caller, and for a connection that it has a request.
func (b *Budget) Proceed(id Holder) {
	if h, found := b.holders[id]; found {
		h.waiting, h.served = false, true
	}
}

// Close removes a holder. It has no effect on one that is closed or evicted.
func (b *Budget) Close(id Holder) {
	h, found := b.holders[id]
	if !found {
		return
	}
	delete(b.holders, id)
	b.bytes -= h.bytes
	if h.kind == Connection {
		b.connections--
	}
}

// Bytes returns the sum of all charges.
func (b *Budget) Bytes() int64 {
	return b.bytes
}

// Connections returns the number of connections.
func (b *Budget) Connections() int {
	return b.connections
}

func (b *Budget) add(id Holder, bytes int64) bool {
	h, found := b.holders[id]
	if !found {
		return false
	}
	bytes = max(bytes, -h.bytes)
	h.bytes += bytes
	b.bytes += bytes
	return true
}

func (b *Budget) fits(bytes int64) bool {
	return b.limits.Bytes <= 0 || b.bytes+bytes <= b.limits.Bytes
}

// makeRoom evicts holders until the given bytes fit or no holder may be evicted.
func (b *Budget) makeRoom(now time.Time, bytes int64) []Holder {
	var evicted []Holder
	for !b.fits(bytes) {
		worst, found := b.worst(now, func(h *holder) bool { return h.bytes > 0 })
		if !found {
			break
		}
		b.Close(worst)
		evicted = append(evicted, worst)
	}
	return evicted
}

// worst returns the holder with the highest score among those that may be evicted.
func (b *Budget) worst(now time.Time, eligible func(h *holder) bool) (Holder, bool) {
	if now.Before(b.noneBefore) {
		return 0, false
	}
	// A holder that begins to wait later may not be evicted before this.
	earliest := now.Add(MinStall)
	var worst Holder
	best := -1.0
	for id, h := range b.holders {
		if h.waiting && h.since.Add(MinStall).Before(earliest) {
			earliest = h.since.Add(MinStall)
		}
		stall := now.Sub(h.since)
		if !h.waiting || stall < MinStall || !eligible(h) {
			continue
		}
		score := float64(h.bytes) * stall.Seconds()
		if !h.served {
			score *= unservedWeight
		}
		// The id decides between equal scores, since the order of a map is random.
		if score > best || score == best && id < worst {
			worst, best = id, score
		}
	}
	b.noneBefore = earliest
	return worst, best >= 0
}
