package health

import (
	"math"
	"slices"
	"time"
)

// The parameters of the hypothesis that a server is unhealthy.
const (
	// unhealthyFailureRate is the lowest failure rate assumed of an unhealthy server.
	unhealthyFailureRate = 0.25
	// unhealthyFailureFactor is how many times the baseline's failure rate an unhealthy
	// server is assumed to have.
	unhealthyFailureFactor = 5.0
	// minFailureRate is the lower bound of the baseline's failure rate.
	minFailureRate = 0.002
	// maxFailureRate is the upper bound of the failure rate under both hypotheses.
	maxFailureRate = 0.95
	// minSpread is the lower bound of the standard deviation of log latency.
	minSpread = 0.2
	// maxSpread is the upper bound of the standard deviation of log latency.
	maxSpread = 1.5
	// maxLatencyStep limits how far one latency moves a sum, in either direction.
	maxLatencyStep = 2.0
	// tailScale converts a standard deviation into the scale of a logistic distribution.
	tailScale = 0.5513
	// maxAgeEvidence limits the evidence of one request in flight.
	maxAgeEvidence = 7.0
)

// slowShift is how far the mean log latency of an unhealthy server is assumed to be
// above the baseline: twice as slow.
var slowShift = math.Log(2)

type (
	// Baseline describes the normal behaviour of a service's servers: mean and standard
	// deviation (Spread) of the natural logarithm of the latency in seconds, and the failure
	// rate. Weight is the number of servers that it is drawn from; zero means unknown.
	Baseline struct {
		Mean        float64
		Spread      float64
		FailureRate float64
		Weight      float64
		// UnhealthyFailureRate raises the failure rate assumed of an unhealthy server above
		// the package's minimum, if it is higher.
		UnhealthyFailureRate float64
	}

	// sample is the result of one finished request.
	sample struct {
		at         time.Time
		failed     bool
		logLatency float64
	}
)

func clamp(x, low, high float64) float64 {
	return min(max(x, low), high)
}

// failureLLR returns the log-likelihood ratio of one result, unhealthy against healthy.
func failureLLR(baseline Baseline, failed bool) float64 {
	healthy := clamp(baseline.FailureRate, minFailureRate, maxFailureRate)
	unhealthy := clamp(max(unhealthyFailureRate, baseline.UnhealthyFailureRate, unhealthyFailureFactor*healthy), healthy, maxFailureRate)
	if failed {
		return math.Log(unhealthy / healthy)
	}
	return math.Log((1 - unhealthy) / (1 - healthy))
}

// latencyLLR returns the log-likelihood ratio of one log latency, unhealthy against healthy.
// It is limited to maxLatencyStep so that no single request decides.
func latencyLLR(baseline Baseline, logLatency float64) float64 {
	spread := clamp(baseline.Spread, minSpread, maxSpread)
	shift := slowShift / spread
	x := (logLatency - baseline.Mean) / spread
	return clamp(shift*x-shift*shift/2, -maxLatencyStep, maxLatencyStep)
}

// ageEvidence returns the evidence against a server that has kept a request in flight for
// age: the negative logarithm of the probability that a healthy server takes that long. The
// assumed tail is heavier than the log-normal latencies, and is logistic in log latency.
func ageEvidence(baseline Baseline, age time.Duration) float64 {
	spread := clamp(baseline.Spread, minSpread, maxSpread)
	z := (logSeconds(age) - baseline.Mean) / (spread * tailScale)
	if z < 0 {
		return 0
	}
	return min(math.Log1p(math.Exp(min(z, 50))), maxAgeEvidence)
}

// ScaleToTarget scales a latency so that a request's target latency becomes one second, which
// makes requests of different kinds comparable. Without a target it returns took unchanged.
func ScaleToTarget(took, target time.Duration) time.Duration {
	if target <= 0 {
		return took
	}
	return time.Duration(float64(took) * float64(time.Second) / float64(target))
}

func logSeconds(took time.Duration) float64 {
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
