// Package eval holds the evaluation context that every decision package takes: the
// time and the random source for one event.
//
// A decision package has no goroutine, clock or random source of its own. Its caller
// makes one Context for each event. A test, a fuzzer or a recorded run can therefore
// replay the same events with the same result:
//
//	t := eval.Context{Now: clock.Now(), Random: random}
//	ops := tracker.Finish(t, id, attempt, result)
package eval

import (
	"math/rand/v2"
	"time"
)

type (
	// Random is a source of random numbers. *rand.Rand implements it.
	Random interface {
		Float64() float64
		IntN(n int) int
	}

	// Context is the time of one event and the source of its random numbers.
	Context struct {
		Now    time.Time
		Random Random
	}

	// Clock returns the current time. clockwork.Clock implements it.
	Clock interface {
		Now() time.Time
	}
)

// NewRandom returns a source whose numbers depend only on the seed. It is not safe for
// concurrent use.
func NewRandom(seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))
}

// GlobalRandom is the process-wide random source of math/rand/v2. It is safe for
// concurrent use.
type GlobalRandom struct{}

// Float64 returns a number in [0, 1).
func (GlobalRandom) Float64() float64 {
	return rand.Float64()
}

// IntN returns a number in [0, n).
func (GlobalRandom) IntN(n int) int {
	return rand.IntN(n)
}
