// Package turn defines the explicit time and randomness that every decision package
// receives as a parameter.
//
// A decision package has no goroutine, clock or random source of its own. Its caller
// makes one Turn for each event. A test, a fuzzer or a recorded run can therefore
// replay the same events with the same result:
//
//	t := turn.Turn{Now: clock.Now(), Random: random}
//	verdict := tracker.Finish(t, sample)
package turn

import (
	"math/rand/v2"
	"time"
)

type (
	// Source is a source of random numbers. *rand.Rand implements it.
	Source interface {
		Float64() float64
		IntN(n int) int
	}

	// Turn is the time of one event and the source of its random numbers.
	Turn struct {
		Now    time.Time
		Random Source
	}

	// Clock returns the current time. clockwork.Clock implements it.
	Clock interface {
		Now() time.Time
	}
)

// Seeded returns a source whose numbers depend only on the seed. It is not safe for
// concurrent use.
func Seeded(seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))
}

// Global is the process-wide random source of math/rand/v2. It is safe for
// concurrent use.
type Global struct{}

// Float64 returns a number in [0, 1).
func (Global) Float64() float64 {
	return rand.Float64()
}

// IntN returns a number in [0, n).
func (Global) IntN(n int) int {
	return rand.IntN(n)
}
