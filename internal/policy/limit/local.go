package limit

import (
	"cmp"
	"slices"
	"time"

	"github.com/figwick/figwick/internal/base/ident"
)

const (
	// Lease is how long a share is good, by the ingress's count from when it
	// asked.
	Lease = 5 * time.Second
	// BaseFraction is the part of a rate that all ingresses together may let
	// through without a share.
	BaseFraction = 0.1
	// demandWindow is the time over which demand is averaged.
	demandWindow = time.Second
	// startNodes bounds the nodes among which a burst is split for a caller that
	// is new to a node, so that it is not refused before its first share comes.
	startNodes = 4
	// idleAfter is when a caller without requests is forgotten.
	idleAfter = time.Minute
)

type (
	// Key names what a limit is for.
	Key struct {
		Service ident.Service
		Caller  ident.Caller
	}

	// Rate is a limit in requests a second and the burst it allows.
	Rate struct {
		PerSecond float64
		Burst     float64
	}

	// Demand is what a node would let through of a caller's requests.
	Demand struct {
		Key       Key
		PerSecond float64
		Rate      Rate
	}

	// Share is a node's part of a rate, in requests a second.
	Share struct {
		Key       Key
		PerSecond float64
	}

	// Local is the limits at one ingress. The zero value is ready. It is not
	// safe for concurrent use.
	Local struct {
		// Nodes is how many ingresses there may be.
		Nodes   int
		buckets map[Key]*bucket
	}

	bucket struct {
		rate      Rate
		tokens    float64
		filled    time.Time
		share     float64
		shareTill time.Time
		demand    float64
		counted   time.Time
		used      time.Time
	}
)

// Allow takes one request of a caller, or reports after which time to come
// again.
func (l *Local) Allow(now time.Time, key Key, rate Rate) (bool, time.Duration) {
	b := l.bucket(now, key, rate)
	b.used = now
	b.count(now)
	per := l.perSecond(now, b)
	b.fill(now, per, l.burst(b, per))
	if b.tokens >= 1 {
		b.tokens--
		return true, 0
	}
	if per <= 0 {
		return false, Lease
	}
	return false, time.Duration((1 - b.tokens) / per * float64(time.Second))
}

// Demands returns the callers whose demand wants a share, and forgets those
// that have gone.
func (l *Local) Demands(now time.Time) []Demand {
	var demands []Demand
	for key, b := range l.buckets {
		if now.Sub(b.used) > idleAfter {
			delete(l.buckets, key)
			continue
		}
		b.decay(now)
		if b.demand <= l.base(b)/2 {
			continue
		}
		demands = append(demands, Demand{Key: key, PerSecond: b.demand, Rate: b.rate})
	}
	slices.SortFunc(demands, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(a.Key.Service, b.Key.Service), cmp.Compare(a.Key.Caller, b.Key.Caller))
	})
	return demands
}

// Granted takes a share that was asked for at a time.
func (l *Local) Granted(asked time.Time, s Share) {
	b, found := l.buckets[s.Key]
	if !found {
		return
	}
	b.share = s.PerSecond
	b.shareTill = asked.Add(Lease)
}

// Len returns how many callers are followed.
func (l *Local) Len() int {
	return len(l.buckets)
}

func (l *Local) bucket(now time.Time, key Key, rate Rate) *bucket {
	if l.buckets == nil {
		l.buckets = map[Key]*bucket{}
	}
	b, found := l.buckets[key]
	if !found {
		b = &bucket{rate: rate, filled: now, counted: now}
		b.tokens = max(1, rate.Burst/float64(min(max(l.Nodes, 1), startNodes)))
		l.buckets[key] = b
	}
	b.rate = rate
	return b
}

func (l *Local) perSecond(now time.Time, b *bucket) float64 {
	if now.Before(b.shareTill) {
		return b.share
	}
	return l.base(b)
}

// base is what the node may let through without a share.
func (l *Local) base(b *bucket) float64 {
	if l.Nodes <= 1 {
		return b.rate.PerSecond
	}
	return BaseFraction * b.rate.PerSecond / float64(l.Nodes)
}

// burst is the node's part of the burst, and one request at least.
func (l *Local) burst(b *bucket, per float64) float64 {
	if b.rate.PerSecond <= 0 {
		return 0
	}
	return max(1, b.rate.Burst*per/b.rate.PerSecond)
}

func (b *bucket) fill(now time.Time, per, burst float64) {
	elapsed := now.Sub(b.filled).Seconds()
	b.filled = now
	if b.tokens < burst {
		b.tokens = min(burst, b.tokens+per*elapsed)
	}
}

// count adds one request to the demand.
func (b *bucket) count(now time.Time) {
	b.decay(now)
	b.demand += 1 / demandWindow.Seconds()
}

func (b *bucket) decay(now time.Time) {
	elapsed := now.Sub(b.counted)
	b.counted = now
	b.demand *= decayOver(elapsed)
}
