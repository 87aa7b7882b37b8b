package retry

import "time"

const (
	// peakDecay is the factor by which the assumed fleet size shrinks each second
	// while fewer nodes are live. The decay is slow so that the two halves of a
	// partitioned fleet together spend no more than the whole fleet within any
	// window.
	peakDecay = 0.98
	// startupTime is how long after its start a process may not yet know how
	// large its fleet is.
	startupTime = 3 * time.Second
)

type (
	// Base is the number of retries that a whole fleet is allowed for each
	// service, besides those that requests earn. The zero value sets no such
	// bound.
	Base struct {
		// MaxTokens is the capacity of all nodes' buckets together.
		MaxTokens float64
		// PerSecond is the number of tokens added to all buckets each second.
		PerSecond float64
	}

	// Fleet is one node's estimate of the size of the fleet that shares a Base.
	// The zero value is ready to use.
	Fleet struct {
		// peakSize is the largest number of live nodes seen, decaying by
		// peakDecay each second.
		peakSize float64
	}
)

// NewBase returns the Base of a fleet that may make the given number of retries
// in any window. Half of them are the capacity of the buckets, the other half is
// added over the length of a window. A window of zero or less gives no bound.
func NewBase(window time.Duration, retries float64) Base {
	if window <= 0 {
		return Base{}
	}
	const half = 0.5
	return Base{MaxTokens: half * retries, PerSecond: half * retries / window.Seconds()}
}

// Share returns this node's share of the Base. It must be called once a second,
// with the number of live nodes that share the Base and the time since this node
// started. Until the node can know the size of its fleet, its share is a bucket
// for a single token, to which only requests add.
func (f *Fleet) Share(base Base, liveNodes int, uptime time.Duration) Share {
	f.peakSize = max(float64(liveNodes), 1, peakDecay*f.peakSize)
	if uptime < startupTime {
		return Share{MaxTokens: 1}
	}
	return Share{MaxTokens: base.MaxTokens / f.peakSize, PerSecond: base.PerSecond / f.peakSize}
}
