package health

import (
	"cmp"
	"time"

	"github.com/figwick/figwick/internal/base/turn"
)

// judge raises an alarm where a sum has passed the threshold, and ejects where
// the others did better over the same time.
func (k *Tracker) judge(t turn.Turn, s *server, level Level) []Op {
	if level.Weight == 0 {
		return nil
	}
	ages := s.ageSum(level, t.Now)
	switch {
	case s.failureSum >= k.config.Threshold:
		if k.confirmFailures(s, level) {
			return k.eject(t, s, ForFailures, s.failureOnset)
		}
	case s.latencySum >= k.latencyThreshold():
		if k.confirmLatency(t, s, level) {
			return k.eject(t, s, ForLatency, s.latencyOnset)
		}
	case ages > 0 && ages+s.failureSum >= k.ageThreshold():
		if k.confirmAges(t, s, level) {
			return k.eject(t, s, ForHanging, s.oldest(t.Now))
		}
	}
	return nil
}

// confirmFailures scores the failures since the onset against those of the
// others in that time. A sum that does not hold is set back to what does.
func (k *Tracker) confirmFailures(s *server, level Level) bool {
	failures := pullSamples * level.Failure
	total := pullSamples
	k.others(s, func(o *server) {
		o.each(s.failureOnset, func(p sample) {
			total++
			if p.failed {
				failures++
			}
		})
	})
	level.Failure = failures / total
	sum := 0.0
	s.each(s.failureOnset, func(p sample) {
		sum = max(0, sum+failureRatio(level, p.failed))
	})
	s.failureSum = min(s.failureSum, sum)
	return s.failureSum >= k.config.Threshold
}

// confirmLatency does the same for latencies.
func (k *Tracker) confirmLatency(t turn.Turn, s *server, level Level) bool {
	level = k.levelSince(t, s, level, s.latencyOnset)
	sum := 0.0
	s.each(s.latencyOnset, func(p sample) {
		if !p.failed {
			sum = max(0, sum+latencyRatio(level, p.log))
		}
	})
	s.latencySum = min(s.latencySum, sum)
	return s.latencySum >= k.latencyThreshold()
}

func (k *Tracker) latencyThreshold() float64 {
	return cmp.Or(k.config.LatencyThreshold, k.config.Threshold)
}

// confirmAges does the same for requests in flight.
func (k *Tracker) confirmAges(t turn.Turn, s *server, level Level) bool {
	level = k.levelSince(t, s, level, s.oldest(t.Now))
	return s.ageSum(level, t.Now)+s.failureSum >= k.ageThreshold()
}

func (k *Tracker) ageThreshold() float64 {
	return cmp.Or(k.config.AgeThreshold, k.config.Threshold)
}

// levelSince moves a level to what the other servers did since a moment. Their
// requests in flight count with the age they have reached, where that is above
// the level already.
func (k *Tracker) levelSince(t turn.Turn, s *server, level Level, since time.Time) Level {
	sum := pullSamples * level.Mean
	total := pullSamples
	k.others(s, func(o *server) {
		o.each(since, func(p sample) {
			if !p.failed {
				sum += p.log
				total++
			}
		})
		for _, begun := range o.begun {
			if age := logOf(begun.age(t.Now)); age > level.Mean {
				sum += age
				total++
			}
		}
	})
	level.Mean = max(level.Mean, sum/total)
	return level
}

func (k *Tracker) others(s *server, f func(*server)) {
	for _, o := range k.servers {
		if o != s && o.state == InService {
			f(o)
		}
	}
}
