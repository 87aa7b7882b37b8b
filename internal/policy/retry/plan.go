package retry

import (
	"sync"
	"time"
)

// The outcomes of an attempt.
const (
	// Refused attempts were never started: their sidecar refused them.
	Refused Outcome = iota + 1
	// Unreached attempts were never started, because their sidecar could not
	// be reached or has shown by a fence that it did not start them.
	Unreached
	// Failed attempts were started and have an error status as their response,
	// or no complete response.
	Failed
	// Lost attempts may or may not have been started.
	Lost
	// Shed attempts reached a backend server, which rejected them without running
	// them. Trying again takes a token, as after Failed.
	Shed
	// Answered attempts have run, and their response was sent to the caller.
	Answered
)

// The possible next steps.
const (
	// TryAgain makes another attempt.
	TryAgain Step = iota + 1
	// GiveUpNotRun reports to the caller that the request was not run.
	GiveUpNotRun
	// GiveUpUnknown reports to the caller that the request may have been run.
	GiveUpUnknown
)

type (
	// Outcome is the result of an attempt.
	Outcome int

	// Step is what to do next with a request after an attempt.
	Step int

	// Plan counts the attempts at one request and decides whether another one
	// follows. Its methods are safe for concurrent use; its fields are set before.
	Plan struct {
		// Repeatable is whether the request may be run more than once.
		Repeatable bool
		// MaxAttempts is the maximum number of attempts, including the first.
		MaxAttempts int
		// MaxRefused is the maximum number of attempts that reach no backend
		// server. If it is set, these don't count towards MaxAttempts; if it is
		// zero, they do.
		MaxRefused int
		// Deadline is the time from which Next allows no further attempt.
		Deadline time.Time
		// Budget pays for retries. It is nil if the sidecars pay for them.
		Budget *Budget

		mutex sync.Mutex
		// running is the number of attempts that have begun and not ended, last the outcome of
		// the one that ended last.
		running int
		last    Outcome
		// closed reports that no further attempt can be made.
		closed       bool
		attempts     int
		refused      int
		mayHaveRun   bool
		giveUpReason string
	}
)

// Begin notes that an attempt begins. Each call needs one of End.
func (p *Plan) Begin() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.running++
}

// End notes how an attempt has ended.
func (p *Plan) End(o Outcome) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.running--
	p.attempts++
	p.last = o
	p.mayHaveRun = p.mayHaveRun || o.mayHaveRun()
	if o == Refused || o == Unreached {
		p.refused++
	}
}

// Close allows no further attempt.
func (p *Plan) Close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.closed = true
}

// Attempts returns how many attempts have ended.
func (p *Plan) Attempts() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.attempts
}

// Refused returns how many attempts reached no backend server: those that were
// Refused or Unreached.
func (p *Plan) Refused() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.refused
}

// MayHaveRun reports whether any attempt was started or may have been. Until an attempt has
// ended, it may have been.
func (p *Plan) MayHaveRun() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.mayHaveRun || p.running > 0
}

// IsRetry reports whether the next attempt is a retry: a backend server may
// already have had the request.
func (p *Plan) IsRetry() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.attempts > p.refused
}

// IsLastAttempt reports whether the next attempt is the last one that MaxAttempts
// allows.
func (p *Plan) IsLastAttempt() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.MaxRefused > 0 {
		return p.attempts-p.refused >= p.MaxAttempts-1
	}
	return p.attempts >= p.MaxAttempts-1
}

// Next returns what to do after the attempt that ended last. Before a retry it takes a
// token from the Budget.
func (p *Plan) Next(now time.Time) Step {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	switch {
	case p.MaxRefused > 0 && p.refused >= p.MaxRefused:
		p.giveUpReason = "too many sidecars refused"
	case p.exhausted():
		p.giveUpReason = "no attempt is left"
	case !now.Before(p.Deadline):
		p.giveUpReason = "deadline"
	case p.last.mayHaveRun() && !p.Repeatable:
		p.giveUpReason = "must not repeat"
	}
	if p.giveUpReason != "" {
		return p.giveUp()
	}
	if p.last == Refused || p.last == Unreached {
		return TryAgain
	}
	if p.Budget != nil && !p.Budget.Spend(now) {
		p.giveUpReason = "retry budget"
		return p.giveUp()
	}
	return TryAgain
}

// GiveUpReason returns why the last Next gave up. It is empty if it did not.
func (p *Plan) GiveUpReason() string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.giveUpReason
}

// exhausted reports whether the limits on attempts allow no further one. The mutex must be held.
func (p *Plan) exhausted() bool {
	if p.closed {
		return true
	}
	if p.MaxRefused > 0 {
		return p.refused >= p.MaxRefused || p.attempts-p.refused >= p.MaxAttempts
	}
	return p.attempts >= p.MaxAttempts
}

// giveUp returns the step that ends the request. It considers all attempts, not
// only the last one: a request that may have run in any of them may have run. The mutex must
// be held.
func (p *Plan) giveUp() Step {
	if p.mayHaveRun || p.running > 0 {
		return GiveUpUnknown
	}
	return GiveUpNotRun
}

// mayHaveRun reports whether an attempt with this outcome was started or may have been.
func (o Outcome) mayHaveRun() bool {
	return o == Failed || o == Lost || o == Answered
}
