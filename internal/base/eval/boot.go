package eval

import "time"

type (
	// BootTime is a time on a clock that counts from the start of the machine and goes on
	// while the machine is suspended. It has no meaning on another machine.
	BootTime time.Duration

	// BootClock returns the current BootTime.
	BootClock interface {
		Now() BootTime
	}
)

// Sub returns the time from u to b.
func (b BootTime) Sub(u BootTime) time.Duration {
	return time.Duration(b - u)
}

// Add returns the time d after b.
func (b BootTime) Add(d time.Duration) BootTime {
	return b + BootTime(d)
}
