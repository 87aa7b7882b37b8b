// Package check runs property-based tests (pgregory.net/rapid) with a fixed seed,
// so that every run of a test tries the same cases. Environment variables change
// the number of cases and the seed:
//
//	FIGWICK_CHECKS=100000 FIGWICK_SEED=7 go test -run TestFloor ./internal/policy/floor
package check

import (
	"flag"
	"math/rand/v2"
	"os"
	"testing"

	"pgregory.net/rapid"
)

const (
	defaultSeed   = "1"
	defaultChecks = "300"
)

// Run checks a property with rapid, using seed 1 and 300 cases unless
// FIGWICK_SEED or FIGWICK_CHECKS is set. It writes no rapid failure files: a
// failing case is repeated by running with the same seed and number of cases.
// Run sets rapid's global flags, which later calls of rapid.Check also use.
func Run(t *testing.T, property func(t *rapid.T)) {
	t.Helper()
	setFlag(t, "rapid.seed", "FIGWICK_SEED", defaultSeed)
	setFlag(t, "rapid.checks", "FIGWICK_CHECKS", defaultChecks)
	setFlag(t, "rapid.nofailfile", "", "true")
	rapid.Check(t, property)
}

// setFlag sets a flag of rapid to the value of an environment variable, or to value
// if the variable is empty.
func setFlag(t *testing.T, name, envVar, value string) {
	t.Helper()
	if given := os.Getenv(envVar); given != "" {
		value = given
	}
	if err := flag.Set(name, value); err != nil {
		t.Fatal(err)
	}
}

// UniformRand draws uniformly distributed random numbers. Rapid's own generators
// prefer small numbers, but tests that inject faults or choose operations have to
// try all of them equally often. Rapid cannot shrink the numbers drawn here.
type UniformRand struct {
	random *rand.Rand
}

// NewUniformRand returns a source that is seeded from rapid's test case, so that
// it repeats with the case.
func NewUniformRand(t *rapid.T) *UniformRand {
	return &UniformRand{random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), rapid.Uint64().Draw(t, "more")))}
}

// IntN returns a number from 0 to n-1. It panics if n is not positive.
func (d *UniformRand) IntN(n int) int {
	return d.random.IntN(n)
}

// Between returns a number from low to high, both included. It panics if high is
// less than low.
func (d *UniformRand) Between(low, high int) int {
	return low + d.random.IntN(high-low+1)
}

// Chance returns true with the given probability in percent.
func (d *UniformRand) Chance(percent int) bool {
	return d.random.IntN(100) < percent
}

// Random returns the underlying generator, to be passed to the code under test.
// Draws from it advance the same sequence as the methods of UniformRand.
func (d *UniformRand) Random() *rand.Rand {
	return d.random
}
