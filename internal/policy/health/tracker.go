package health

import (
	"cmp"
	"slices"
	"time"

	"github.com/figwick/figwick/internal/base/eval"
	"github.com/figwick/figwick/internal/base/ident"
)

// The outcomes of a request at a backend server.
const (
	// OK is a complete response that is not a server error.
	OK Outcome = iota
	// Failed is a server error, a lost connection or a truncated response.
	Failed
	// TimedOut is a request without a complete response at its deadline.
	TimedOut
	// Shed is a refusal by the server because of load. It is no evidence of a fault.
	Shed
	// Canceled is a request that its caller gave up.
	Canceled
)

// The states of a server.
const (
	// InService servers get requests as usual.
	InService State = iota
	// Ejected servers are held out and get no requests.
	Ejected
	// OnTrial servers get a small share of the requests.
	OnTrial
)

// The operations that a Tracker asks for.
const (
	// Eject takes a server out of service.
	Eject Action = iota + 1
	// StartTrial lets a small share of the repeatable requests through to a server.
	StartTrial
	// Return puts a server back into service.
	Return
)

// The reasons for an ejection.
const (
	// ReasonFailures means too many failures.
	ReasonFailures Reason = "failures"
	// ReasonLatency means that responses were too slow.
	ReasonLatency Reason = "latency"
	// ReasonHanging means that requests have been in flight for too long.
	ReasonHanging Reason = "hanging"
	// ReasonTrial means a failed, slow or hanging request while on trial.
	ReasonTrial Reason = "trial"
)

const (
	// DetectionThreshold is the alarm threshold of a service that prefers fast detection.
	DetectionThreshold = 14.0
	// PrecisionThreshold is the alarm threshold of a service that prefers few false ejections.
	PrecisionThreshold = 20.0
	// DefaultTrialSuccesses is the trial score at which a server returns to service.
	DefaultTrialSuccesses = 12
	// decayFactor is how many ejection holds a server must stay in service for its
	// ejection count to fall by one.
	decayFactor = 6
	// baselineSamples is the weight, in samples, of the running baseline when it is
	// combined with what the other servers did during an alarm.
	baselineSamples = 3.0
	// timeoutEvidence is the age evidence from which a request without a response
	// counts as a failure, whether it timed out or its caller canceled it.
	timeoutEvidence = 3.0
	// recentFailureWindow is how long RecentlyFailed reports a failure: long enough for
	// another request to show whether the server still fails.
	recentFailureWindow = 400 * time.Millisecond
	// maxEjectionCount limits the ejection count, which doubles the hold.
	maxEjectionCount = 16
)

type (
	// Outcome is how a request ended.
	Outcome int

	// State is the state of a server.
	State int

	// Action is the kind of an Op.
	Action int

	// Reason is why a server is ejected.
	Reason string

	// Result is the result of one finished request. Took is the time until the response
	// header, or until the request ended if no header came.
	Result struct {
		Outcome Outcome
		Took    time.Duration
	}

	// Op is one change that a Tracker asks its caller to make.
	Op struct {
		Action Action
		Server ident.Backend
		Reason Reason
		// Onset is when the evidence for an ejection began.
		Onset time.Time
	}

	// Config sets thresholds and hold times. Threshold is the failure sum at which an alarm
	// is raised. Hold is the first ejection hold; it doubles with each repeat up to MaxHold.
	Config struct {
		Threshold float64
		Hold      time.Duration
		MaxHold   time.Duration
		// LatencyThreshold is the latency sum at which an alarm is raised; zero means
		// Threshold.
		LatencyThreshold float64
		// ImmediateTrial starts the trial without a hold after a server's first ejection, or
		// the first since its ejection count fell back to zero. A very slow response on trial
		// then only lowers the trial score instead of ejecting the server again.
		ImmediateTrial bool
		// EarlyTrialRefusals is how many attempts refused during a hold show that the
		// server's slots are needed. The hold then ends after Hold, however long it was set.
		// Zero means never.
		EarlyTrialRefusals int
		// AgeThreshold is the sum of age evidence and failure sum at which requests in flight
		// raise an alarm; zero means Threshold.
		AgeThreshold float64
		// ReturnFailureSum is the failure sum that a server starts with when it returns to
		// service. Good responses reduce it.
		ReturnFailureSum float64
		// TrialSuccesses is the trial score at which a server returns to service: a good
		// response adds one, a slow one subtracts one. Zero means DefaultTrialSuccesses.
		TrialSuccesses int
		// Prior is the baseline assumed while nothing is known of other servers. If its
		// Weight is zero, a server without others is not judged.
		Prior Baseline
	}

	// Tracker detects unhealthy servers of one service. It is not safe for concurrent use.
	Tracker struct {
		config  Config
		servers []*server
		remote  Baseline
	}
)

// New returns a Tracker without servers.
func New(config Config) *Tracker {
	return &Tracker{config: config}
}

// Configure replaces the configuration; all collected state is kept.
func (k *Tracker) Configure(config Config) {
	k.config = config
}

// Add starts tracking a server. It does nothing if the server is tracked already.
func (k *Tracker) Add(t eval.Context, id ident.Backend) {
	if k.find(id) == nil {
		k.servers = append(k.servers, newServer(id, t.Now))
	}
}

// Remove stops tracking a server and discards its state.
func (k *Tracker) Remove(id ident.Backend) {
	k.servers = slices.DeleteFunc(k.servers, func(s *server) bool { return s.id == id })
}

// Begin records that a request was sent to a server. If target is not zero, the request's
// age is judged relative to this target latency.
func (k *Tracker) Begin(t eval.Context, id ident.Backend, attempt ident.Attempt, target time.Duration) {
	if s := k.find(id); s != nil {
		s.inFlight[attempt] = pendingRequest{startedAt: t.Now, target: target}
	}
}

// HeaderReceived records that a request's response header has arrived. Its age is no
// evidence from then on, since the caller may be slow to read the body.
func (k *Tracker) HeaderReceived(id ident.Backend, attempt ident.Attempt) {
	if s := k.find(id); s != nil {
		delete(s.inFlight, attempt)
	}
}

// Finish records the result of a request and returns the operations that follow from it.
func (k *Tracker) Finish(t eval.Context, id ident.Backend, attempt ident.Attempt, r Result) []Op {
	s := k.find(id)
	if s == nil {
		return nil
	}
	_, awaitedHeader := s.inFlight[attempt]
	delete(s.inFlight, attempt)
	baseline := k.baseline(s)
	if !isEvidence(baseline, r, awaitedHeader) {
		return nil
	}
	p := sample{at: t.Now, failed: r.Outcome != OK, logLatency: logSeconds(r.Took)}
	first := s.count == 0
	s.record(p)
	if first && baseline.Weight == 0 {
		return nil
	}
	if s.state != InService {
		return k.scoreTrial(t, s, baseline, p)
	}
	s.updateSums(baseline, p)
	return k.checkAlarms(t, s, baseline)
}

// isEvidence reports whether a result counts for the score. A request that timed out or was
// canceled counts only if it still awaited its header and its age is strong evidence.
func isEvidence(baseline Baseline, r Result, awaitedHeader bool) bool {
	switch r.Outcome {
	case OK, Failed:
		return true
	case TimedOut, Canceled:
		return awaitedHeader && baseline.Weight > 0 && ageEvidence(baseline, r.Took) >= timeoutEvidence
	default:
		return false
	}
}

// Tick checks the ages of requests in flight and starts the trials whose holds have ended.
// Call it periodically.
func (k *Tracker) Tick(t eval.Context) []Op {
	var ops []Op
	for _, s := range k.servers {
		switch s.state {
		case InService:
			k.decayEjections(t, s)
			ops = append(ops, k.checkAlarms(t, s, k.baseline(s))...)
		case Ejected:
			if k.holdOver(t, s) {
				s.state = OnTrial
				s.holdEnd = t.Now
				s.trialScore = 0
				ops = append(ops, Op{Action: StartTrial, Server: s.id})
			}
		case OnTrial:
			ops = append(ops, k.checkTrialAges(t, s)...)
		}
	}
	return ops
}

// TimeOnTrial returns how long a server has been on trial, or zero if it is not.
func (k *Tracker) TimeOnTrial(t eval.Context, id ident.Backend) time.Duration {
	s := k.find(id)
	if s == nil || s.state != OnTrial {
		return 0
	}
	return t.Now.Sub(s.holdEnd)
}

// RecentlyFailed reports whether a server is in service and its last result was a failure
// within recentFailureWindow.
func (k *Tracker) RecentlyFailed(t eval.Context, id ident.Backend) bool {
	s := k.find(id)
	if s == nil || s.state != InService || s.next == 0 {
		return false
	}
	last := s.ring[(s.next-1)%ringSamples]
	return last.failed && t.Now.Sub(last.at) < recentFailureWindow
}

// InFlightOlderThan returns how many of a server's requests have waited for their response
// header for at least age.
func (k *Tracker) InFlightOlderThan(t eval.Context, id ident.Backend, age time.Duration) int {
	s := k.find(id)
	if s == nil {
		return 0
	}
	n := 0
	for _, request := range s.inFlight {
		if t.Now.Sub(request.startedAt) >= age {
			n++
		}
	}
	return n
}

// State returns a server's state and how close its sums are to an alarm, from 0 to 1. An
// unknown server is InService.
func (k *Tracker) State(id ident.Backend) (State, float64) {
	s := k.find(id)
	if s == nil {
		return InService, 0
	}
	return s.state, clamp(max(s.failureSum, s.latencySum)/k.config.Threshold, 0, 1)
}

// Counts returns how many servers are in service and how many are ejected or on trial.
func (k *Tracker) Counts() (inService, out int) {
	for _, s := range k.servers {
		if s.state == InService {
			inService++
		} else {
			out++
		}
	}
	return inService, out
}

func (k *Tracker) find(id ident.Backend) *server {
	for _, s := range k.servers {
		if s.id == id {
			return s
		}
	}
	return nil
}

func (k *Tracker) eject(t eval.Context, s *server, reason Reason, onset time.Time) []Op {
	s.state = Ejected
	s.ejectedAt = t.Now
	s.refusedAttempts = 0
	s.holdEnd = t.Now.Add(k.holdFor(s.ejectionCount))
	if k.config.ImmediateTrial && s.ejectionCount == 0 {
		s.holdEnd = t.Now
	}
	s.ejectionCount = min(s.ejectionCount+1, maxEjectionCount)
	s.resetScores()
	return []Op{{Action: Eject, Server: s.id, Reason: reason, Onset: onset}}
}

// scoreTrial counts a result towards the trial of s. It ejects s at the first failure, and
// also at a very slow response unless Config.ImmediateTrial is set.
func (k *Tracker) scoreTrial(t eval.Context, s *server, baseline Baseline, p sample) []Op {
	if s.state != OnTrial {
		return nil
	}
	if p.failed || baseline.Weight > 0 && !k.config.ImmediateTrial && latencyLLR(baseline, p.logLatency) >= maxLatencyStep {
		return k.eject(t, s, ReasonTrial, p.at)
	}
	if baseline.Weight > 0 && latencyLLR(baseline, p.logLatency) > 0 {
		s.trialScore--
	} else {
		s.trialScore++
	}
	if s.trialScore < cmp.Or(k.config.TrialSuccesses, DefaultTrialSuccesses) {
		return nil
	}
	return k.returnToService(t, s)
}

func (k *Tracker) returnToService(t eval.Context, s *server) []Op {
	s.state = InService
	s.healthySince = t.Now
	s.resetScores()
	s.failureSum = k.config.ReturnFailureSum
	s.failureOnset = t.Now
	return []Op{{Action: Return, Server: s.id}}
}

func (k *Tracker) checkTrialAges(t eval.Context, s *server) []Op {
	baseline := k.baseline(s)
	if baseline.Weight == 0 || s.ageSum(baseline, t.Now) < maxAgeEvidence {
		return nil
	}
	return k.eject(t, s, ReasonTrial, s.oldestStart(t.Now))
}

// decayEjections lowers the ejection count of a server that has long been in service.
func (k *Tracker) decayEjections(t eval.Context, s *server) {
	if s.ejectionCount == 0 {
		return
	}
	if t.Now.Sub(s.healthySince) < decayFactor*k.holdFor(s.ejectionCount) {
		return
	}
	s.ejectionCount--
	s.healthySince = t.Now
}
