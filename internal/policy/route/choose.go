package route

import (
	"math"
	"slices"
	"time"

	"github.com/figwick/figwick/internal/base/eval"
)

const (
	// exploreOneIn: one in this many attempts goes to the first sidecar drawn,
	// whatever the comparison of the two says.
	exploreOneIn = 16
	// trialOneIn: of the attempts that may go to a backend server on trial, one in
	// this many may also go to a sidecar that last refused with a pause. Of the other
	// attempts, it is one in exploreOneIn.
	trialOneIn = 4
	// crossingShare is the cost of the bytes between availability zones, as a fraction
	// of the target latency: an attempt leaves its zone if it is expected to end
	// sooner by that. In the model (pattern_test.go), 0.08 and 0.12 sent more responses
	// between zones than the time that they saved was worth.
	crossingShare = 0.18
	// crossingMeans replaces crossingShare if there is no target latency. Its unit is the
	// mean service time.
	crossingMeans = 0.5
	// usualBytes is the size of the messages that crossingShare and crossingMeans apply to.
	usualBytes = 5 << 10
	// maxSizeFactor bounds the cost of larger ones.
	maxSizeFactor = 5
	// fullMeans is the cost of a sidecar without a free slot besides the expected wait, in
	// mean service times. Without it the queues of one zone grew while others had free
	// slots; with 2 more responses crossed zones than was worth it.
	fullMeans = 1
	// minFreeChance is the least probability of a free slot at which a further sidecar
	// is asked for one.
	minFreeChance = 0.3
)

// choose returns the sidecar with the lowest cost among two drawn at random in the
// ingress's zone and two drawn in the others. The draws make the share of the attempts
// that leave the zone change gradually with the costs, and keep ingresses with the same
// view from choosing the same sidecar.
func (p *Picker) choose(t eval.Context, from []*sidecar, allowTrial bool) *sidecar {
	if !p.comparesTimes() {
		return p.chooseRecent(t, from, allowTrial)
	}
	from = preferAvailable(t, from, allowTrial)
	var localBuffer, remoteBuffer [16]*sidecar
	local, remote := localBuffer[:0], remoteBuffer[:0]
	for _, s := range from {
		if s.Zone == p.Zone {
			local = append(local, s)
		} else {
			remote = append(remote, s)
		}
	}
	if len(local) == 0 {
		p.picks.NoneInZone++
		return p.draw(t, remote)
	}
	best := p.draw(t, local)
	if len(remote) > 0 {
		if other := p.draw(t, remote); p.cost(t, other) < p.cost(t, best) {
			p.picks.Sooner++
			return other
		}
	}
	p.picks.Own++
	return best
}

// draw returns the better of two sidecars drawn at random.
func (p *Picker) draw(t eval.Context, from []*sidecar) *sidecar {
	a := from[t.Random.IntN(len(from))]
	if len(from) == 1 || t.Random.IntN(exploreOneIn) == 0 {
		return a
	}
	b := from[t.Random.IntN(len(from)-1)]
	if b == a {
		b = from[len(from)-1]
	}
	if p.cost(t, b) < p.cost(t, a) {
		return b
	}
	return a
}

// preferAvailable removes the sidecars that last refused with a pause, unless no other
// is left. A few random attempts skip this filter. Those that may go to a backend
// server on trial find out which servers have recovered, the others which servers are
// back in service.
func preferAvailable(t eval.Context, from []*sidecar, allowTrial bool) []*sidecar {
	oneIn := exploreOneIn
	if allowTrial {
		oneIn = trialOneIn
	}
	if t.Random.IntN(oneIn) == 0 {
		return from
	}
	kept := slices.DeleteFunc(slices.Clone(from), func(s *sidecar) bool { return s.refusedWithPause })
	if len(kept) == 0 {
		return from
	}
	return kept
}

// cost estimates how long an attempt would take, in seconds: the service time, the wait
// for a slot, and what a refusal and the bytes between zones are worth.
func (p *Picker) cost(t eval.Context, s *sidecar) float64 {
	mean, slots := p.meanTime(t.Now, s), float64(max(s.Slots, 1))
	busy, deviation := p.busy(t.Now, s)
	full := 1 - probabilityBelow(slots-0.5, busy, max(deviation, minDeviation))
	cost := mean * (1 + expectedExcess(busy+1-slots, deviation)/slots + fullMeans*full)
	if s.Zone != p.Zone {
		cost += p.crossingCost()
	}
	return cost
}

// crossingCost returns the cost of leaving the zone, in seconds. It is in proportion to the
// bytes, within bounds: the cost of a small message is not in its body, and a large one may
// leave a zone that could not serve it in time.
func (p *Picker) crossingCost() float64 {
	size := min(max(float64(p.Bytes)/usualBytes, 1), maxSizeFactor)
	if p.Target > 0 {
		return size * crossingShare * p.Target.Seconds()
	}
	return size * crossingMeans * p.means.value()
}

// LikelyFree reports whether a sidecar is likely enough to have a free slot for it to be
// worth a message to ask.
func (p *Picker) LikelyFree(t eval.Context, address string) bool {
	s := p.find(address)
	if s == nil || !p.comparesTimes() {
		return false
	}
	busy, deviation := p.busy(t.Now, s)
	return probabilityBelow(float64(s.Slots)-0.5, busy, max(deviation, minDeviation)) >= minFreeChance
}

// busy estimates the number of busy slots and queued attempts at a sidecar, and its
// standard deviation. The sidecar's last report loses its weight within a few service
// times, in which the requests that it counted have ended. The mean load of its zone
// takes its place.
func (p *Picker) busy(now time.Time, s *sidecar) (busy, deviation float64) {
	slots := float64(max(s.Slots, 1))
	usual := 0.0
	if z := p.zones[s.Zone]; z != nil {
		usual = z.value() * slots
	}
	weight := 0.0
	if !s.loadAt.IsZero() {
		memory := max(loadMemoryMeans*p.means.value(), minLoadMemory.Seconds())
		weight = math.Exp(-now.Sub(s.loadAt).Seconds() / memory)
	}
	busy = usual + (float64(s.othersBusy+s.inFlight)-usual)*weight
	used := min(busy/slots, 1)
	variance := slots * max(used*(1-used), minVariance) * (1 - weight*weight)
	return max(busy, float64(s.inFlight)), math.Sqrt(variance)
}

// meanTime estimates the service time of a sidecar's backend servers, in seconds. It
// approaches the mean of all sidecars as the last report ages, so that a sidecar that
// was slow once is tried again.
func (p *Picker) meanTime(now time.Time, s *sidecar) float64 {
	all := p.means.value()
	if s.meanAt.IsZero() {
		return all
	}
	return all + (s.mean.Seconds()-all)*math.Exp(-now.Sub(s.meanAt).Seconds()/meanMemory.Seconds())
}
