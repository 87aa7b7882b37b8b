// Package boot reads the machine's boot-time clock.
//
// time.Time carries a reading of CLOCK_MONOTONIC, which stops while the machine is
// suspended. CLOCK_BOOTTIME goes on, so that an age taken from it includes a suspension.
// Ages that a guarantee depends on are taken from this clock:
//
//	clock, err := boot.NewClock()
//	sent := clock.Now()
package boot

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/figwick/figwick/internal/base/eval"
)

type (
	// Clock is the machine's boot-time clock. It implements eval.BootClock and is safe
	// for concurrent use.
	Clock struct{}

	// Fake is a clock for tests that only Advance moves. The zero value is ready to use.
	// It is safe for concurrent use.
	Fake struct {
		now atomic.Int64
	}
)

// NewClock returns the machine's clock, or an error if the kernel has none.
func NewClock() (Clock, error) {
	_, err := read()
	return Clock{}, err
}

// Now returns the current time. It panics if the kernel refuses a clock that it had at
// NewClock.
func (Clock) Now() eval.BootTime {
	now, err := read()
	if err != nil {
		panic(fmt.Sprintf("boot: the clock that was read at the start is gone: %v", err))
	}
	return now
}

func read() (eval.BootTime, error) {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return 0, errors.Wrap(err, "boot: read CLOCK_BOOTTIME")
	}
	return eval.BootTime(now.Nano()), nil
}

// Now returns the time that Advance has set.
func (f *Fake) Now() eval.BootTime {
	return eval.BootTime(f.now.Load())
}

// Advance moves the clock.
func (f *Fake) Advance(d time.Duration) {
	f.now.Add(int64(d))
}
