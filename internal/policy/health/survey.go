package health

import (
	"math"
	"time"
)

// surveyAge is how long a source's level counts.
const surveyAge = 10 * time.Second

type (
	// Survey is how one service does behind each of several sidecars, as an
	// ingress sees it from the answers. The zero value is ready.
	Survey struct {
		sources map[string]*source
	}

	source struct {
		mean     float64
		variance float64
		failure  float64
		count    int
		last     time.Time
	}
)

// Observe takes one answer's time at the backend server behind a source.
func (v *Survey) Observe(now time.Time, name string, took time.Duration, failed bool) {
	if v.sources == nil {
		v.sources = map[string]*source{}
	}
	s, known := v.sources[name]
	if !known {
		s = &source{variance: startSpread * startSpread}
		v.sources[name] = s
	}
	s.last = now
	s.count++
	missed := 0.0
	if failed {
		missed = 1
	}
	s.failure += fastWeight * (missed - s.failure)
	if failed || took <= 0 {
		return
	}
	delta := logOf(took) - s.mean
	s.mean += max(fastWeight, 1/float64(s.count)) * delta
	s.variance += fastWeight * (min(delta*delta, mostSpread*mostSpread) - s.variance)
}

// Level returns the median over the sources but one.
func (v *Survey) Level(now time.Time, except string) Level {
	var means, spreads, failures []float64
	for name, s := range v.sources {
		if now.Sub(s.last) > surveyAge {
			delete(v.sources, name)
			continue
		}
		if name == except || s.count < trustedSamples {
			continue
		}
		means = append(means, s.mean)
		spreads = append(spreads, math.Sqrt(s.variance))
		failures = append(failures, s.failure)
	}
	return Level{
		Mean:    median(means),
		Spread:  median(spreads),
		Failure: median(failures),
		Weight:  float64(len(means)),
	}
}
