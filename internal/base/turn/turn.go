// Package turn holds the context value that every decision package takes.
//
// A decision package has no goroutine, wall clock or random source of its own.
// Its caller makes one Turn for each event, so that a test, a fuzzer or a
// recorded run can replay the same events with the same result:
//
//	t := turn.Turn{Now: clock.Now(), Random: random}
//	verdict := tracker.Finish(t, sample)
package turn

import (
	"math/rand/v2"
	"time"
)

type (
	// Source gives the random numbers of one decision.
	Source interface {
		Float64() float64
		IntN(n int) int
	}

	// Turn is the time and randomness of one event.
	Turn struct {
		Now    time.Time
		Random Source
	}

	// Clock is the part of a clock that only tells the time.
	Clock interface {
		Now() time.Time
	}
)

// Seeded returns a source whose numbers depend on the seed alone. It must not
// be shared by goroutines.
func Seeded(seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))
}

// Global is the process-wide source, safe for concurrent use.
type Global struct{}

// Float64 returns a number in [0, 1).
func (Global) Float64() float64 {
	return rand.Float64()
}

// IntN returns a number in [0, n).
func (Global) IntN(n int) int {
	return rand.IntN(n)
}
