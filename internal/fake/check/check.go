// Package check runs stateful fuzzing with fixed seeds, so that a test has the
// same verdict every run. The environment makes it longer or other:
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

// Run checks a property with the fixed seed, or as the environment says.
func Run(t *testing.T, property func(t *rapid.T)) {
	t.Helper()
	set(t, "rapid.seed", "FIGWICK_SEED", defaultSeed)
	set(t, "rapid.checks", "FIGWICK_CHECKS", defaultChecks)
	set(t, "rapid.nofailfile", "", "true")
	rapid.Check(t, property)
}

func set(t *testing.T, name, variable, value string) {
	t.Helper()
	if given := os.Getenv(variable); given != "" {
		value = given
	}
	if err := flag.Set(name, value); err != nil {
		t.Fatal(err)
	}
}

// Dice draws evenly, where rapid's own generators prefer small numbers: an
// adversary has to try everything alike.
type Dice struct {
	random *rand.Rand
}

// NewDice returns dice whose seed belongs to the test case.
func NewDice(t *rapid.T) *Dice {
	return &Dice{random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), rapid.Uint64().Draw(t, "more")))}
}

// Upto returns a number from 0 to n-1.
func (d *Dice) Upto(n int) int {
	return d.random.IntN(n)
}

// Between returns a number from low to high.
func (d *Dice) Between(low, high int) int {
	return low + d.random.IntN(high-low+1)
}

// Chance reports true that often out of a hundred.
func (d *Dice) Chance(percent int) bool {
	return d.random.IntN(100) < percent
}

// Random is a source for what is under test.
func (d *Dice) Random() *rand.Rand {
	return d.random
}
