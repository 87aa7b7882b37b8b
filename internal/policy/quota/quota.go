package quota

import (
	"math"
	"time"
)

const (
	// MinPerSecond is the lowest rate at which requests are admitted.
	MinPerSecond = 0.25
	// burstTime is the time for which unused requests are saved up.
	burstTime = time.Second
	// roundingError is how far below a whole number the sum of many refills may be.
	roundingError = 1e-9
	// maxWait bounds the result of Wait.
	maxWait = time.Hour
)

// Quota is the rate of one backend server. The zero value admits every request. It is
// not safe for concurrent use.
type Quota struct {
	named     bool
	perSecond float64
	tokens    float64
	filledAt  time.Time
}

// Name sets the rate that the server takes, in requests per second. A negative rate
// counts as zero.
func (q *Quota) Name(now time.Time, perSecond float64) {
	if q.named {
		q.fill(now)
	} else {
		q.tokens = 0
	}
	q.named, q.filledAt = true, now
	q.perSecond = max(perSecond, MinPerSecond)
	q.tokens = min(q.tokens, q.burst())
}

// Lift ends the limit.
func (q *Quota) Lift() {
	*q = Quota{}
}

// Named reports whether a rate is in force.
func (q *Quota) Named() bool {
	return q.named
}

// PerSecond returns the rate at which requests are admitted. It is infinite if no rate
// is in force.
func (q *Quota) PerSecond() float64 {
	if !q.named {
		return math.Inf(1)
	}
	return q.perSecond
}

// Available returns how many requests are admitted at once. It is math.MaxInt if no
// rate is in force.
func (q *Quota) Available(now time.Time) int {
	if !q.named {
		return math.MaxInt
	}
	q.fill(now)
	return int(q.tokens + roundingError)
}

// Take admits one request. Callers call it only while Available is positive.
func (q *Quota) Take(now time.Time) {
	if q.named {
		q.fill(now)
		q.tokens--
	}
}

// Wait returns the time until the n-th request from now is admitted, or zero if it is
// admitted now.
func (q *Quota) Wait(now time.Time, n int) time.Duration {
	if !q.named {
		return 0
	}
	q.fill(now)
	seconds := (float64(n) - q.tokens) / q.perSecond
	return time.Duration(min(max(seconds, 0), maxWait.Seconds()) * float64(time.Second))
}

func (q *Quota) burst() float64 {
	return max(1, q.perSecond*burstTime.Seconds())
}

func (q *Quota) fill(now time.Time) {
	elapsed := now.Sub(q.filledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	q.filledAt = now
	q.tokens = min(q.burst(), q.tokens+q.perSecond*elapsed)
}
