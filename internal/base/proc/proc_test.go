package proc_test

import (
	"context"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/figwick/figwick/internal/base/proc"
)

// settleTime is longer than the delivery of a signal takes.
const settleTime = 200 * time.Millisecond

func raise(t *testing.T, s syscall.Signal) {
	t.Helper()
	assert.NilError(t, syscall.Kill(syscall.Getpid(), s))
}

// TestRepeatedSIGTERMDoesNotAbort guards against requests that are cut because two
// parties stop the same process.
func TestRepeatedSIGTERMDoesNotAbort(t *testing.T) {
	abort, end := context.WithCancel(t.Context())
	ctx, stop := proc.StopSignals(t.Context(), end)
	defer stop()
	for range 5 {
		raise(t, syscall.SIGTERM)
		<-ctx.Done()
		time.Sleep(settleTime / 5)
	}
	raise(t, syscall.SIGINT)
	time.Sleep(settleTime)
	assert.NilError(t, abort.Err())
}

// TestSecondSIGINTAborts guards against a process that Ctrl-C cannot end.
func TestSecondSIGINTAborts(t *testing.T) {
	abort, end := context.WithCancel(t.Context())
	ctx, stop := proc.StopSignals(t.Context(), end)
	defer stop()
	raise(t, syscall.SIGINT)
	<-ctx.Done()
	time.Sleep(settleTime)
	assert.NilError(t, abort.Err())
	raise(t, syscall.SIGTERM)
	time.Sleep(settleTime)
	assert.NilError(t, abort.Err())
	raise(t, syscall.SIGINT)
	<-abort.Done()
}
