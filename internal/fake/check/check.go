// Package check runs stateful fuzzing with fixed seeds, so that a test has the
// same verdict every run. The environment makes it longer or other:
//
//	FIGWICK_CHECKS=100000 FIGWICK_SEED=7 go test -run TestFloor ./internal/policy/floor
package check

import (
	"flag"
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
