package route

import (
	"math"
	"time"

	"github.com/figwick/figwick/internal/base/eval"
	"github.com/figwick/figwick/internal/base/ident"
)

const (
	// loadMemoryMeans is the time constant with which a reported load loses its weight, in
	// mean service times. Queues outlast the requests that are running.
	loadMemoryMeans = 2
	// minLoadMemory is the least such time constant.
	minLoadMemory = 300 * time.Millisecond
	// zoneMemory is the time constant of the mean load of a zone. An ingress hears from a
	// few sidecars a second.
	zoneMemory = 3 * time.Second
	// meanMemory is the time constant with which a reported mean service time loses its
	// weight.
	meanMemory = 10 * time.Second
	// smoothing is the weight of a new sample in the moving average of the latency.
	smoothing = 0.1
	// minVariance is the least variance of the load of one slot. Without it a zone whose
	// mean load is 1 would have no chance of a free slot.
	minVariance = 0.05
	// minDeviation avoids a division by zero for a report that has just arrived.
	minDeviation = 0.1
)

// average is a mean with weights that decay over time.
type average struct {
	sum, weight float64
	at          time.Time
}

func (a *average) add(now time.Time, memory time.Duration, value float64) {
	decay := math.Exp(-now.Sub(a.at).Seconds() / memory.Seconds())
	a.sum, a.weight, a.at = a.sum*decay+value, a.weight*decay+1, now
}

func (a *average) value() float64 {
	if a.weight == 0 {
		return 0
	}
	return a.sum / a.weight
}

// setLoad stores a reported load, without this ingress's own attempts in flight,
// which the report includes.
func (p *Picker) setLoad(t eval.Context, s *sidecar, load ReportedLoad) {
	s.loadAt = t.Now
	busy := load.Slots - load.Free + load.Queued
	s.othersBusy = max(0, busy-s.inFlight)
	if load.Slots > 0 {
		s.Slots = load.Slots
		p.zone(s.Zone).add(t.Now, zoneMemory, float64(busy)/float64(load.Slots))
	}
	if load.Mean > 0 {
		p.setMean(t, s, load.Mean)
	}
}

// setMean stores the mean service time of a sidecar.
func (p *Picker) setMean(t eval.Context, s *sidecar, mean time.Duration) {
	s.mean, s.meanAt = mean, t.Now
	p.means.add(t.Now, meanMemory, mean.Seconds())
}

func (p *Picker) zone(name ident.Zone) *average {
	z, known := p.zones[name]
	if !known {
		z = &average{}
		if p.zones == nil {
			p.zones = map[ident.Zone]*average{}
		}
		p.zones[name] = z
	}
	return z
}

// load returns the busy slots and queued attempts as a fraction of the slots, as they
// were last reported, for the debug dump.
func (s *sidecar) load(now time.Time) float64 {
	busy := s.inFlight
	if now.Sub(s.loadAt) < maxLoadAge {
		busy = max(busy, s.othersBusy+s.inFlight)
	}
	return float64(busy) / float64(max(s.Slots, 1))
}

// expectedExcess returns the expected positive part of a normally distributed number.
func expectedExcess(mean, deviation float64) float64 {
	if deviation <= 0 {
		return max(0, mean)
	}
	z := mean / deviation
	return mean*probabilityBelow(z, 0, 1) + deviation*math.Exp(-z*z/2)/math.Sqrt(2*math.Pi)
}

// probabilityBelow returns the probability that a normally distributed number is below x.
func probabilityBelow(x, mean, deviation float64) float64 {
	return math.Erfc((mean-x)/deviation/math.Sqrt2) / 2
}
