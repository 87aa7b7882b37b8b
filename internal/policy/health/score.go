package health

import (
	"math"
	"slices"
	"time"
)

// The parameters of the hypothesis that a server is sick.
const (
	// sickFailure is the failure rate of a sick server, at least.
	sickFailure = 0.25
	// sickFailureFactor is how many times the level a sick server fails.
	sickFailureFactor = 5.0
	// leastFailure is the lowest level of failures believed.
	leastFailure = 0.002
	// mostFailure bounds the failure rate of both hypotheses.
	mostFailure = 0.95
	// leastSpread is the lowest standard deviation of log latency believed.
	leastSpread = 0.2
	// mostSpread bounds the standard deviation of log latency.
	mostSpread = 1.5
	// mostStep bounds what one latency adds to a sum.
	mostStep = 2.0
	// tailScale turns a standard deviation into the scale of a logistic tail.
	tailScale = 0.5513
	// mostAge bounds what one request in flight adds to a sum.
	mostAge = 7.0
)

// slowShift is how much the log latency of a sick server is shifted: twice as
// slow.
var slowShift = math.Log(2)

type (
	// Level is how a service does: the mean and standard deviation of the log
	// of its latency in seconds, and its failure rate. A zero Weight means that
	// nothing is known.
	Level struct {
		Mean    float64
		Spread  float64
		Failure float64
		Weight  float64
		// Sick is the failure rate of a sick server, where that is known to be
		// higher than the package's.
		Sick float64
	}

	// sample is one finished request.
	sample struct {
		at     time.Time
		failed bool
		log    float64
	}
)

func clamp(x, low, high float64) float64 {
	return min(max(x, low), high)
}

// failureRatio is the log-likelihood ratio of one result.
func failureRatio(level Level, failed bool) float64 {
	well := clamp(level.Failure, leastFailure, mostFailure)
	sick := clamp(max(sickFailure, level.Sick, sickFailureFactor*well), well, mostFailure)
	if failed {
		return math.Log(sick / well)
	}
	return math.Log((1 - sick) / (1 - well))
}

// latencyRatio is the log-likelihood ratio of one latency, bounded so that no
// single request decides.
func latencyRatio(level Level, log float64) float64 {
	spread := clamp(level.Spread, leastSpread, mostSpread)
	shift := slowShift / spread
	x := (log - level.Mean) / spread
	return clamp(shift*x-shift*shift/2, -mostStep, mostStep)
}

// ageRatio is the evidence of a request that has been in flight for an age: how
// unlikely a healthy server would have kept it so long, by a tail heavier than
// the latencies have shown.
func ageRatio(level Level, age time.Duration) float64 {
	spread := clamp(level.Spread, leastSpread, mostSpread)
	z := (logOf(age) - level.Mean) / (spread * tailScale)
	if z < 0 {
		return 0
	}
	return min(math.Log1p(math.Exp(min(z, 50))), mostAge)
}

// Relative scales a latency to a target of one second, so that requests of
// different kinds can be compared. Without a target it stays as it is.
func Relative(took, target time.Duration) time.Duration {
	if target <= 0 {
		return took
	}
	return time.Duration(float64(took) * float64(time.Second) / float64(target))
}

func logOf(took time.Duration) float64 {
	return math.Log(max(took, time.Microsecond).Seconds())
}

func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	middle := len(values) / 2
	if len(values)%2 == 1 {
		return values[middle]
	}
	return (values[middle-1] + values[middle]) / 2
}
