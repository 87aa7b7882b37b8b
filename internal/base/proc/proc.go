// Package proc holds the process handling that the programs share.
package proc

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// StopSignals returns a context that the first SIGTERM or SIGINT cancels. The second
// signal calls abort. The returned function stops the handling of signals and cancels
// the context.
func StopSignals(ctx context.Context, abort func()) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		cancel()
		<-signals
		abort()
	}()
	return ctx, func() {
		signal.Stop(signals)
		cancel()
	}
}
