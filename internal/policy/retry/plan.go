package retry

import "time"

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
	// Outcome is the result of an attempt that did not succeed.
	Outcome int

	// Step is what to do next with a request after an attempt.
	Step int

	// Plan counts the attempts at one request and decides whether another one
	// follows. It is not safe for concurrent use.
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

		attempts     int
		refused      int
		mayHaveRun   bool
		giveUpReason string
	}
)

// Attempts returns how many attempts were made.
func (p *Plan) Attempts() int {
	return p.attempts
}

// Refused returns how many attempts reached no backend server: those that were
// Refused or Unreached.
func (p *Plan) Refused() int {
	return p.refused
}

// MayHaveRun reports whether any attempt was started or may have been.
func (p *Plan) MayHaveRun() bool {
	return p.mayHaveRun
}

// IsRetry reports whether the next attempt is a retry: a backend server may
// already have had the request.
func (p *Plan) IsRetry() bool {
	return p.attempts > p.refused
}

// IsLastAttempt reports whether the next attempt is the last one that MaxAttempts
// allows.
func (p *Plan) IsLastAttempt() bool {
	if p.MaxRefused > 0 {
		return p.attempts-p.refused >= p.MaxAttempts-1
	}
	return p.attempts >= p.MaxAttempts-1
}

// Next records the outcome of an attempt and returns what to do next. Before a
// retry it takes a token from the Budget.
func (p *Plan) Next(now time.Time, o Outcome) Step {
	attemptMayHaveRun := p.count(o)
	switch {
	case p.MaxRefused > 0 && p.refused >= p.MaxRefused:
		p.giveUpReason = "too many sidecars refused"
	case p.exhausted():
		p.giveUpReason = "no attempt is left"
	case !now.Before(p.Deadline):
		p.giveUpReason = "deadline"
	case attemptMayHaveRun && !p.Repeatable:
		p.giveUpReason = "must not repeat"
	}
	if p.giveUpReason != "" {
		return p.giveUp()
	}
	if !attemptMayHaveRun && o != Shed {
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
	return p.giveUpReason
}

// exhausted reports whether the limits on attempts allow no further one.
func (p *Plan) exhausted() bool {
	if p.MaxRefused > 0 {
		return p.refused >= p.MaxRefused || p.attempts-p.refused >= p.MaxAttempts
	}
	return p.attempts >= p.MaxAttempts
}

// giveUp returns the step that ends the request. It considers all attempts, not
// only the last one: a request that may have run in any of them may have run.
func (p *Plan) giveUp() Step {
	if p.mayHaveRun {
		return GiveUpUnknown
	}
	return GiveUpNotRun
}

// Record records the outcome of an attempt while another attempt at the same
// request is still running, as in a hedge. It decides nothing.
func (p *Plan) Record(o Outcome) {
	p.count(o)
}

// count counts an attempt and reports whether it may have run.
func (p *Plan) count(o Outcome) bool {
	p.attempts++
	attemptMayHaveRun := o == Failed || o == Lost
	p.mayHaveRun = p.mayHaveRun || attemptMayHaveRun
	if !attemptMayHaveRun && o != Shed {
		p.refused++
	}
	return attemptMayHaveRun
}

// GiveUp returns the step that ends the request without another attempt.
func (p *Plan) GiveUp() Step {
	return p.giveUp()
}
