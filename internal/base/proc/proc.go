// Package proc holds the process handling that the programs share.
package proc

import (
	"context"
	"os"
	"os/signal"
	"sync"
	"syscall"
)

const (
	// abortInterrupts is the number of SIGINTs that end the process at once.
	abortInterrupts = 2
	// pendingSignals is the number of signals that may arrive before one is handled.
	pendingSignals = 16
)

// StopSignals returns a context that the first SIGTERM or SIGINT cancels. The second
// SIGINT calls abort. Further SIGTERMs have no effect: several parties may each stop
// a process, and requests in flight must not be cut by that. The returned function
// stops the handling of signals and cancels the context.
func StopSignals(ctx context.Context, abort func()) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	signals := make(chan os.Signal, pendingSignals)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	done := make(chan struct{})
	go func() {
		interrupts := 0
		for {
			select {
			case s := <-signals:
				cancel()
				if s != syscall.SIGINT {
					continue
				}
				if interrupts++; interrupts == abortInterrupts {
					abort()
				}
			case <-done:
				return
			}
		}
	}()
	return ctx, sync.OnceFunc(func() {
		signal.Stop(signals)
		close(done)
		cancel()
	})
}
