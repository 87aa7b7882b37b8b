package health

import (
	"math"
	"time"
)

// sidecarStatsTTL is how long the statistics of a sidecar count after its last response.
const sidecarStatsTTL = 10 * time.Second

type (
	// ServiceStats holds the latencies and failures of one service behind each of several
	// sidecars, as an ingress observes them in responses. The zero value is ready for use.
	ServiceStats struct {
		sidecars map[string]*sidecarStats
	}

	sidecarStats struct {
		meanLog     float64
		variance    float64
		failureRate float64
		count       int
		lastSeen    time.Time
	}
)

// Observe records one response of the sidecar called name. took is the time that the
// backend server behind it needed.
func (v *ServiceStats) Observe(now time.Time, name string, took time.Duration, failed bool) {
	if v.sidecars == nil {
		v.sidecars = map[string]*sidecarStats{}
	}
	s, known := v.sidecars[name]
	if !known {
		s = &sidecarStats{variance: initialSpread * initialSpread}
		v.sidecars[name] = s
	}
	s.lastSeen = now
	s.count++
	failedSample := 0.0
	if failed {
		failedSample = 1
	}
	s.failureRate += ewmaWeight * (failedSample - s.failureRate)
	if failed || took <= 0 {
		return
	}
	delta := logSeconds(took) - s.meanLog
	s.meanLog += max(ewmaWeight, 1/float64(s.count)) * delta
	s.variance += ewmaWeight * (min(delta*delta, maxSpread*maxSpread) - s.variance)
}

// Baseline returns the median over all sidecars except one. It forgets sidecars without
// a recent response.
func (v *ServiceStats) Baseline(now time.Time, except string) Baseline {
	var means, spreads, failures []float64
	for name, s := range v.sidecars {
		if now.Sub(s.lastSeen) > sidecarStatsTTL {
			delete(v.sidecars, name)
			continue
		}
		if name == except || s.count < minSamples {
			continue
		}
		means = append(means, s.meanLog)
		spreads = append(spreads, math.Sqrt(s.variance))
		failures = append(failures, s.failureRate)
	}
	return Baseline{
		Mean:        median(means),
		Spread:      median(spreads),
		FailureRate: median(failures),
		Weight:      float64(len(means)),
	}
}
