package limit

import (
	"cmp"
	"slices"
	"time"

	"github.com/figwick/figwick/internal/base/ident"
)

const (
	// Lease is how long a share is valid. The ingress counts it from when it sent
	// the request for the share.
	Lease = 5 * time.Second
	// BaseFraction is the fraction of a rate that all ingresses together may admit
	// without shares.
	BaseFraction = 0.1
	// demandWindow is the time constant of the exponential average of the demand.
	demandWindow = time.Second
	// startNodes is the most nodes among which the burst of a caller that is new
	// to a node is divided. Divided among more, the caller would be refused below
	// its limit before its first share arrives.
	startNodes = 4
	// idleAfter is how long a caller without requests is remembered.
	idleAfter = time.Minute
)

type (
	// Key identifies a limit: one caller's requests to one service.
	Key struct {
		Service ident.Service
		Caller  ident.Caller
	}

	// Rate is a limit in requests per second, with the size of the token bucket in
	// requests.
	Rate struct {
		PerSecond float64
		Burst     float64
	}

	// Demand is the rate at which a caller's requests arrive at a node, in requests
	// per second, with the caller's limit.
	Demand struct {
		Key       Key
		PerSecond float64
		Rate      Rate
	}

	// Share is a node's part of a caller's rate, in requests per second.
	Share struct {
		Key       Key
		PerSecond float64
	}

	// Limiter limits the callers' requests at one ingress. The zero value is ready
	// to use. It is not safe for concurrent use.
	Limiter struct {
		// Nodes is the number of ingresses that may admit requests, this one
		// included. With 0 or 1, this node admits the whole rate itself.
		Nodes   int
		buckets map[Key]*bucket
	}

	// bucket is the token bucket of one caller and its demand.
	bucket struct {
		rate         Rate
		tokens       float64
		filledAt     time.Time
		share        float64
		shareExpires time.Time
		demand       float64
		decayedAt    time.Time
		usedAt       time.Time
	}
)

// Allow reports whether a caller's request may pass. If not, it returns how long
// the caller should wait before the next try.
func (l *Limiter) Allow(now time.Time, key Key, rate Rate) (bool, time.Duration) {
	b := l.bucket(now, key, rate)
	b.usedAt = now
	b.count(now)
	perSecond := l.perSecond(now, b)
	b.fill(now, perSecond, l.burst(b, perSecond))
	if b.tokens >= 1 {
		b.tokens--
		return true, 0
	}
	if perSecond <= 0 {
		return false, Lease
	}
	return false, time.Duration((1 - b.tokens) / perSecond * float64(time.Second))
}

// Demands returns the demand of each caller that needs a share: one whose demand
// exceeds half of its base rate. It also removes the idle callers.
func (l *Limiter) Demands(now time.Time) []Demand {
	var demands []Demand
	for key, b := range l.buckets {
		if now.Sub(b.usedAt) > idleAfter {
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

// SetShare stores a share that was requested at the time asked. It expires one
// Lease after that.
func (l *Limiter) SetShare(requestedAt time.Time, s Share) {
	b, found := l.buckets[s.Key]
	if !found {
		return
	}
	b.share = s.PerSecond
	b.shareExpires = requestedAt.Add(Lease)
}

// Len returns the number of callers that the Limiter tracks.
func (l *Limiter) Len() int {
	return len(l.buckets)
}

func (l *Limiter) bucket(now time.Time, key Key, rate Rate) *bucket {
	if l.buckets == nil {
		l.buckets = map[Key]*bucket{}
	}
	b, found := l.buckets[key]
	if !found {
		b = &bucket{rate: rate, filledAt: now, decayedAt: now}
		b.tokens = max(1, rate.Burst/float64(min(max(l.Nodes, 1), startNodes)))
		l.buckets[key] = b
	}
	b.rate = rate
	return b
}

// perSecond returns the rate at which a bucket fills: the share while it is
// valid, or the base rate.
func (l *Limiter) perSecond(now time.Time, b *bucket) float64 {
	if now.Before(b.shareExpires) {
		return b.share
	}
	return l.base(b)
}

// base returns the rate, in requests per second, that the node may admit without
// a share.
func (l *Limiter) base(b *bucket) float64 {
	if l.Nodes <= 1 {
		return b.rate.PerSecond
	}
	return BaseFraction * b.rate.PerSecond / float64(l.Nodes)
}

// burst returns the node's part of the burst, at least one request. It is 0 if the
// limit is 0.
func (l *Limiter) burst(b *bucket, perSecond float64) float64 {
	if b.rate.PerSecond <= 0 {
		return 0
	}
	return max(1, b.rate.Burst*perSecond/b.rate.PerSecond)
}

func (b *bucket) fill(now time.Time, perSecond, burst float64) {
	elapsed := now.Sub(b.filledAt).Seconds()
	b.filledAt = now
	if b.tokens < burst {
		b.tokens = min(burst, b.tokens+perSecond*elapsed)
	}
}

// count adds one request to the average demand.
func (b *bucket) count(now time.Time) {
	b.decay(now)
	b.demand += 1 / demandWindow.Seconds()
}

func (b *bucket) decay(now time.Time) {
	elapsed := now.Sub(b.decayedAt)
	b.decayedAt = now
	b.demand *= decayOver(elapsed)
}
