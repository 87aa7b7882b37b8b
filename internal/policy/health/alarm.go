package health

import (
	"cmp"
	"time"

	"github.com/figwick/figwick/internal/base/eval"
)

// checkAlarms returns the operations that eject s if one of its sums has reached its
// threshold and the service's other servers did better in the same period.
func (k *Tracker) checkAlarms(t eval.Context, s *server, baseline Baseline) []Op {
	if baseline.Weight == 0 {
		return nil
	}
	inFlightEvidence := s.ageSum(baseline, t.Now)
	switch {
	case s.failureSum >= k.config.Threshold:
		if k.confirmFailures(s, baseline) {
			return k.eject(t, s, ReasonFailures, s.failureOnset)
		}
	case s.latencySum >= k.latencyThreshold():
		if k.confirmLatency(t, s, baseline) {
			return k.eject(t, s, ReasonLatency, s.latencyOnset)
		}
	case inFlightEvidence > 0 && inFlightEvidence+s.failureSum >= k.ageThreshold():
		if k.confirmAges(t, s, baseline) {
			return k.eject(t, s, ReasonHanging, s.oldestStart(t.Now))
		}
	}
	return nil
}

// confirmFailures scores the failures of s since their onset again, against the failure
// rate of the other servers in that period. If the new sum is lower, it replaces the sum of s.
// It reports whether the sum still reaches the threshold.
func (k *Tracker) confirmFailures(s *server, baseline Baseline) bool {
	failures := baselineSamples * baseline.FailureRate
	total := baselineSamples
	k.forOthers(s, func(o *server) {
		o.eachSince(s.failureOnset, func(p sample) {
			total++
			if p.failed {
				failures++
			}
		})
	})
	baseline.FailureRate = failures / total
	sum := 0.0
	s.eachSince(s.failureOnset, func(p sample) {
		sum = max(0, sum+failureLLR(baseline, p.failed))
	})
	s.failureSum = min(s.failureSum, sum)
	return s.failureSum >= k.config.Threshold
}

// confirmLatency scores the latencies of s since their onset again, as confirmFailures
// does for failures.
func (k *Tracker) confirmLatency(t eval.Context, s *server, baseline Baseline) bool {
	baseline = k.baselineSince(t, s, baseline, s.latencyOnset)
	sum := 0.0
	s.eachSince(s.latencyOnset, func(p sample) {
		if !p.failed {
			sum = max(0, sum+latencyLLR(baseline, p.logLatency))
		}
	})
	s.latencySum = min(s.latencySum, sum)
	return s.latencySum >= k.latencyThreshold()
}

func (k *Tracker) latencyThreshold() float64 {
	return cmp.Or(k.config.LatencyThreshold, k.config.Threshold)
}

// confirmAges scores the requests in flight on s again, against the latencies that the
// other servers showed since the oldest of them began.
func (k *Tracker) confirmAges(t eval.Context, s *server, baseline Baseline) bool {
	baseline = k.baselineSince(t, s, baseline, s.oldestStart(t.Now))
	return s.ageSum(baseline, t.Now)+s.failureSum >= k.ageThreshold()
}

func (k *Tracker) ageThreshold() float64 {
	return cmp.Or(k.config.AgeThreshold, k.config.Threshold)
}

// baselineSince raises the mean of a baseline to what the other servers in service have
// shown since the given time. Their requests in flight count with their current age if that
// already exceeds the mean, so that a slowdown of the whole service shows before its
// requests finish.
func (k *Tracker) baselineSince(t eval.Context, s *server, baseline Baseline, since time.Time) Baseline {
	sum := baselineSamples * baseline.Mean
	total := baselineSamples
	k.forOthers(s, func(o *server) {
		o.eachSince(since, func(p sample) {
			if !p.failed {
				sum += p.logLatency
				total++
			}
		})
		for _, request := range o.inFlight {
			if age := logSeconds(request.age(t.Now)); age > baseline.Mean {
				sum += age
				total++
			}
		}
	})
	baseline.Mean = max(baseline.Mean, sum/total)
	return baseline
}

func (k *Tracker) forOthers(s *server, f func(*server)) {
	for _, o := range k.servers {
		if o != s && o.state == InService {
			f(o)
		}
	}
}
