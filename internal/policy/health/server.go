package health

import (
	"math"
	"time"

	"github.com/figwick/figwick/internal/base/ident"
)

const (
	// ringSamples is how many results of each server are kept for scoring again at an alarm.
	ringSamples = 64
	// ewmaWeight is the weight of one sample in the exponentially weighted averages.
	ewmaWeight = 0.06
	// initialSpread is the standard deviation of log latency before the first sample.
	initialSpread = 0.6
	// minSamples is how many results a server needs before it counts for the baseline.
	minSamples = 8
)

type (
	// server is the state of one backend server.
	server struct {
		id            ident.Backend
		state         State
		ejectionCount int
		holdEnd       time.Time
		// ejectedAt is when the current hold began, refusedAttempts how many attempts have
		// been refused since because all servers were held out.
		ejectedAt       time.Time
		refusedAttempts int
		healthySince    time.Time
		addedAt         time.Time

		failureSum   float64
		latencySum   float64
		failureOnset time.Time
		latencyOnset time.Time
		trialScore   int

		meanLog     float64
		variance    float64
		failureRate float64
		count       int

		ring     [ringSamples]sample
		next     int
		inFlight map[ident.Attempt]pendingRequest
	}

	// pendingRequest is a request whose response header has not arrived yet.
	pendingRequest struct {
		startedAt time.Time
		target    time.Duration
	}
)

func newServer(id ident.Backend, now time.Time) *server {
	return &server{
		id:           id,
		addedAt:      now,
		healthySince: now,
		variance:     initialSpread * initialSpread,
		inFlight:     map[ident.Attempt]pendingRequest{},
	}
}

// record adds a result to the ring and to the running averages.
func (s *server) record(p sample) {
	s.ring[s.next%ringSamples] = p
	s.next++
	s.count++
	weight := max(ewmaWeight, 1/float64(s.count))
	failed := 0.0
	if p.failed {
		failed = 1
	}
	s.failureRate += ewmaWeight * (failed - s.failureRate)
	if p.failed {
		return
	}
	delta := p.logLatency - s.meanLog
	s.meanLog += weight * delta
	s.variance += ewmaWeight * (min(delta*delta, maxSpread*maxSpread) - s.variance)
}

// eachSince calls f for the kept results that are not older than since, oldest first.
func (s *server) eachSince(since time.Time, f func(sample)) {
	first := max(0, s.next-ringSamples)
	for i := first; i < s.next; i++ {
		p := s.ring[i%ringSamples]
		if !p.at.Before(since) {
			f(p)
		}
	}
}

// updateSums adds one result to the CUSUMs.
func (s *server) updateSums(baseline Baseline, p sample) {
	s.failureSum = cusumStep(s.failureSum, failureLLR(baseline, p.failed), &s.failureOnset, p.at)
	if !p.failed {
		s.latencySum = cusumStep(s.latencySum, latencyLLR(baseline, p.logLatency), &s.latencyOnset, p.at)
	}
}

// cusumStep adds a log-likelihood ratio to a sum and keeps it from falling below zero. It
// sets onset to the given time if the sum stood at zero.
func cusumStep(sum, llr float64, onset *time.Time, at time.Time) float64 {
	if sum <= 0 {
		*onset = at
	}
	return max(0, sum+llr)
}

// ageSum returns the total evidence of the requests in flight.
func (s *server) ageSum(baseline Baseline, now time.Time) float64 {
	sum := 0.0
	for _, request := range s.inFlight {
		sum += ageEvidence(baseline, request.age(now))
	}
	return sum
}

// oldestStart returns when the oldest request in flight began, or now if there is none.
func (s *server) oldestStart(now time.Time) time.Time {
	oldest := now
	for _, request := range s.inFlight {
		if request.startedAt.Before(oldest) {
			oldest = request.startedAt
		}
	}
	return oldest
}

// age returns how long a request has been in flight, scaled to its target latency.
func (f pendingRequest) age(now time.Time) time.Duration {
	return ScaleToTarget(now.Sub(f.startedAt), f.target)
}

func (s *server) spread() float64 {
	return math.Sqrt(s.variance)
}

func (s *server) resetScores() {
	s.failureSum = 0
	s.latencySum = 0
	s.trialScore = 0
}
