package route

import (
	"slices"
	"time"

	"github.com/figwick/figwick/internal/base/eval"
)

const (
	// fewSidecars is the number of sidecars up to which the last reports decide. An ingress
	// hears from each of so few often enough. Expected times served 1.6 to 2 % fewer
	// requests in fleets with 9 to 15 sidecars for a service.
	fewSidecars = 20
	// fewSlots is the mean number of slots of a sidecar below which the last reports decide.
	// A sidecar with few slots turns from free to full with a request or two, which no mean
	// load foretells. With 5 slots each expected times served 0.4 % fewer requests, with 11 2 % more.
	fewSlots = 8
	// remotePenalty is added to the load of sidecars in other availability zones when two
	// sidecars are compared by their last reports.
	remotePenalty = 0.5
	// latencyHalfLife is the time after which a latency without a new sample counts half.
	// Without the decay, a sidecar that was slow once would never be tried again.
	latencyHalfLife = time.Second
	// fullLoad is the load at which a sidecar has no free slot.
	fullLoad = 1.0
)

// comparesTimes reports whether expected times are compared, not last reports.
func (p *Picker) comparesTimes() bool {
	slots := 0
	for _, s := range p.sidecars {
		slots += s.announced
	}
	return len(p.sidecars) > fewSidecars && slots >= fewSlots*len(p.sidecars)
}

// chooseRecent returns the better of two sidecars drawn at random by their last reports. It draws
// from the ingress's own zone while a sidecar there has free slots.
func (p *Picker) chooseRecent(t eval.Context, from []*sidecar, allowTrial bool) *sidecar {
	from = preferFree(t, from, allowTrial)
	var buffer [16]*sidecar
	local := buffer[:0]
	for _, s := range from {
		if s.Zone == p.Zone && s.load(t.Now) < fullLoad {
			local = append(local, s)
		}
	}
	if len(local) > 0 {
		from = local
	}
	a := from[t.Random.IntN(len(from))]
	if len(from) == 1 {
		return a
	}
	b := from[t.Random.IntN(len(from)-1)]
	if b == a {
		b = from[len(from)-1]
	}
	if t.Random.IntN(exploreOneIn) > 0 && p.better(t, b, a) {
		return b
	}
	return a
}

// preferFree is preferAvailable, and also removes the sidecars that were full lately.
func preferFree(t eval.Context, from []*sidecar, allowTrial bool) []*sidecar {
	oneIn := exploreOneIn
	if allowTrial {
		oneIn = trialOneIn
	}
	if t.Random.IntN(oneIn) == 0 {
		return from
	}
	kept := slices.DeleteFunc(slices.Clone(from), func(s *sidecar) bool {
		return s.refusedWithPause || s.load(t.Now) >= fullLoad
	})
	if len(kept) == 0 {
		return from
	}
	return kept
}

// better reports whether one sidecar is a better choice than another. One with free slots is
// better than a full one, whatever its latency.
func (p *Picker) better(t eval.Context, one, other *sidecar) bool {
	hasCapacity, otherHasCapacity := one.load(t.Now) < fullLoad, other.load(t.Now) < fullLoad
	if hasCapacity != otherHasCapacity {
		return hasCapacity
	}
	return p.recentCost(t, one) < p.recentCost(t, other)
}

// recentCost estimates how long an attempt would take, from the last report. It has no unit and is
// only compared between sidecars.
func (p *Picker) recentCost(t eval.Context, s *sidecar) float64 {
	cost := s.load(t.Now)
	if s.Zone != p.Zone {
		cost += remotePenalty
	}
	return (cost + fullLoad) * float64(max(s.decayedLatency(t.Now), time.Millisecond))
}

// observeLatency records the time between Sent and Answered.
func (s *sidecar) observeLatency(now time.Time, took time.Duration) {
	s.latencyAt = now
	if s.latency == 0 {
		s.latency = took
		return
	}
	s.latency += time.Duration(smoothing * float64(took-s.latency))
}

// decayedLatency returns the latency, halved for each latencyHalfLife since its last sample.
func (s *sidecar) decayedLatency(now time.Time) time.Duration {
	age := min(now.Sub(s.latencyAt)/latencyHalfLife, 32)
	return s.latency >> max(age, 0)
}
