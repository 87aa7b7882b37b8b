package main

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"
)

func TestSettingsListEveryFault(t *testing.T) {
	s := settings{
		callersListen:  "nowhere",
		peersListen:    "127.0.0.1:7401",
		backendsListen: "127.0.0.1:7402",
		adminListen:    "10.0.0.1:7403",
		storeURL:       "ftp://store",
		join:           []string{"host:1"},
		drainTimeout:   time.Millisecond,
		logLevel:       "loud",
	}
	err := s.check()
	for _, flag := range []string{
		"--id", "--zone", "--callers-listen", "--admin-listen", "--store-url", "--join", "--drain-timeout", "--log-level",
	} {
		assert.Check(t, is.ErrorContains(err, flag))
	}
	assert.Equal(t, exitCode(err), codeUsage)
}
