package queue

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/figwick/figwick/internal/base/eval"
	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/policy/knee"
	"github.com/figwick/figwick/internal/policy/quota"
)

// The grades of a backend server.
const (
	// Preferred servers accept any attempt.
	Preferred Grade = iota
	// Trial servers accept one attempt at a time, which must be repeatable and not a Retry.
	Trial
	// Probation servers accept one attempt at a time, of any kind but a Retry.
	Probation
	// LastResort servers accept attempts that allow it and find no free slot elsewhere.
	LastResort
	// Closed servers accept nothing.
	Closed
)

// The decisions on a submitted attempt.
const (
	// Granted attempts hold a slot.
	Granted Decision = iota
	// Waiting attempts are queued and get their slot with a later Grant.
	Waiting
	// Busy attempts are refused: no slot is free, and the queue is full or the attempt is NoWait.
	Busy
	// CannotMeetDeadline attempts are refused: they would wait beyond their deadline.
	CannotMeetDeadline
	// NoneEligible attempts are refused: there are servers, but none accepts this kind of
	// attempt now.
	NoneEligible
	// NoBackend attempts are refused: there is no backend server, or all are Closed.
	NoBackend
)

const (
	// smoothing is the weight of one sample in the mean service time.
	smoothing = 0.05
	// trialShare is how many attempts out of one thousand go to a Trial server while other
	// servers have free slots.
	trialShare = 50
	// rateWindow is the time constant of the measured arrival rates.
	rateWindow = 2 * time.Second
	// minWindowFraction limits the correction of a rate that has been measured for less
	// than the window.
	minWindowFraction = 0.1
	// minSlotShare is the smallest share of the slots assumed to be left for less urgent
	// attempts. It keeps the estimated wait finite.
	minSlotShare = 0.05
	// trialShareBase is the denominator of trialShare.
	trialShareBase = 1000
	// NestedPriority is the priority of calls on which a running request depends. That
	// request holds a slot until they are answered, so they go before all others.
	NestedPriority = -1
)

type (
	// Grade is the order of preference of a backend server.
	Grade int

	// Decision is what happens to a submitted attempt.
	Decision int

	// Entry is an attempt that needs a slot.
	Entry struct {
		Attempt    ident.Attempt
		Repeatable bool
		// AllowLastResort permits LastResort servers, and Trial and Probation servers whatever
		// the attempt's kind.
		AllowLastResort bool
		// Deadline is when the caller gives up.
		Deadline time.Time
		// Target is the time by which the response should come; zero means no target.
		Target time.Time
		// Priority is the order in the queue; the lowest is the most urgent.
		Priority int
		// NoWait entries are refused instead of queued.
		NoWait bool
		// Retry entries have failed before; they are not used to try out servers.
		Retry bool
	}

	// Grant assigns a server's slot to an attempt.
	Grant struct {
		Attempt ident.Attempt
		Server  ident.Backend
	}

	// Outcome is what one event did to the waiting attempts.
	Outcome struct {
		Grants  []Grant
		Refused []ident.Attempt
	}

	// Server is a backend server with its slots. Busy is the number of slots in use and Quota
	// the rate that the server has named; the Queue keeps both itself.
	Server struct {
		ID    ident.Backend
		Slots int
		Busy  int
		Quota quota.Quota
		// Curve says how many of the Slots are used. The Queue keeps it itself.
		Curve knee.Curve
		Grade Grade
		// LongInFlight is how many attempts a server on trial or probation has had in flight
		// for some time without a failure. It may get one more beside them.
		LongInFlight int
		// RecentlyFailed servers had a failure a moment ago. They get no NoWait attempt that
		// is a retry or not repeatable, since such an attempt must not fail again.
		RecentlyFailed bool
		// RampStart and RampEnd bound the slow start of a new server.
		RampStart time.Time
		RampEnd   time.Time
	}

	// Queue holds the slots and the waiting attempts of one service. The zero value is
	// ready for use.
	Queue struct {
		// MaxWaitingPerServer limits how many attempts wait before a new one, per server
		// that is not Closed. Less urgent attempts don't keep out a more urgent one.
		MaxWaitingPerServer int
		servers             []*Server
		waiting             []Entry
		// answered is the mean service time of the attempts that a backend server answered,
		// as Answered was told of them.
		answered time.Duration
		// mean is the mean service time of all attempts, means that of each priority.
		mean  time.Duration
		means map[int]time.Duration
		// arrivals holds the rate of accepted attempts, per second, for each priority.
		arrivals map[int]*arrivalRate
	}

	// arrivalRate is an exponentially decaying rate with the time constant rateWindow.
	arrivalRate struct {
		since time.Time
		at    time.Time
		// decayedRate is the rate as of at, before the correction for a short measurement.
		decayedRate float64
	}

	// Load is the state of a Queue in numbers. Open is the number of slots before any is
	// left unused because a server slows down. Mean is the mean service time of all
	// attempts, Answered that of the answered ones.
	Load struct {
		Slots    int
		Open     int
		Free     int
		Queued   int
		Mean     time.Duration
		Answered time.Duration
	}
)

// SetServer adds a server or replaces its settings; its busy slots and its quota are kept.
func (q *Queue) SetServer(t eval.Context, s Server) Outcome {
	if known := q.server(s.ID); known != nil {
		s.Busy, s.Quota, s.Curve = known.Busy, known.Quota, known.Curve
		*known = s
	} else {
		s.Busy, s.Quota, s.Curve = 0, quota.Quota{}, knee.Curve{}
		q.servers = append(q.servers, &s)
	}
	return q.dispatch(t)
}

// SetGrade changes the grade of a server. It does nothing if the server is unknown.
func (q *Queue) SetGrade(t eval.Context, id ident.Backend, grade Grade) Outcome {
	s := q.server(id)
	if s == nil || s.Grade == grade {
		return Outcome{}
	}
	s.Grade = grade
	return q.dispatch(t)
}

// Remove removes a server. Attempts that hold its slots continue.
func (q *Queue) Remove(id ident.Backend) {
	q.servers = slices.DeleteFunc(q.servers, func(s *Server) bool { return s.ID == id })
}

// Submit decides on a new attempt: it gets a slot, waits or is refused. The Grant is set only
// for Granted.
func (q *Queue) Submit(t eval.Context, e Entry) (Decision, Grant) {
	if len(q.waiting) == 0 || q.position(t, e) == 0 {
		if s := q.pick(t, e); s != nil {
			s.take(t)
			q.arrivalsOf(t, e.Priority).record(t.Now)
			return Granted, Grant{Attempt: e.Attempt, Server: s.ID}
		}
	}
	slots := q.slotsFor(t, e)
	if slots == 0 {
		if q.openServers() == 0 {
			return NoBackend, Grant{}
		}
		return NoneEligible, Grant{}
	}
	index := q.position(t, e)
	if e.NoWait || index >= q.MaxWaitingPerServer*q.openServers() {
		return Busy, Grant{}
	}
	if q.missesDeadline(t, e, q.workOf(q.waiting[:index])+q.mean, slots) || q.missesQuota(t, e, index) {
		return CannotMeetDeadline, Grant{}
	}
	q.arrivalsOf(t, e.Priority).record(t.Now)
	q.waiting = slices.Insert(q.waiting, index, e)
	return Waiting, Grant{}
}

// position returns an entry's index in the queue. Entries that can still meet their target
// come first, and among equals the more urgent.
func (q *Queue) position(t eval.Context, e Entry) int {
	late := q.lateness(t, e)
	index := len(q.waiting)
	for index > 0 && q.goesAfter(t, q.waiting[index-1], late, e.Priority) {
		index--
	}
	return index
}

// goesAfter reports whether a waiting entry belongs behind a new one with the given lateness
// and priority.
func (q *Queue) goesAfter(t eval.Context, waiting Entry, late, priority int) bool {
	if waitingLateness := q.lateness(t, waiting); waitingLateness != late {
		return waitingLateness > late
	}
	return waiting.Priority > priority
}

// Release frees the slot of a finished attempt of a priority. took is the attempt's service
// time; zero is not counted in the means.
func (q *Queue) Release(t eval.Context, id ident.Backend, priority int, took time.Duration) Outcome {
	if s := q.server(id); s != nil && s.Busy > 0 {
		s.Busy--
	}
	q.recordServiceTime(priority, took)
	return q.dispatch(t)
}

// Cancel removes a waiting attempt and reports whether it was in the queue.
func (q *Queue) Cancel(id ident.Attempt) bool {
	before := len(q.waiting)
	q.waiting = slices.DeleteFunc(q.waiting, func(e Entry) bool { return e.Attempt == id })
	return len(q.waiting) < before
}

// Tick refuses the attempts that have waited too long. Call it periodically.
func (q *Queue) Tick(t eval.Context) Outcome {
	return q.dispatch(t)
}

// Load returns the current load. It counts only slots of Preferred servers, which any
// attempt may use.
func (q *Queue) Load(t eval.Context) Load {
	load := Load{Queued: len(q.waiting), Mean: q.mean, Answered: q.answered}
	for _, s := range q.servers {
		if s.Grade != Preferred {
			continue
		}
		slots := s.usableSlots(t)
		load.Slots += slots
		load.Open += s.openSlots(t)
		load.Free += max(slots-s.Busy, 0)
	}
	return load
}

// Servers returns a copy of the servers, sorted by ID.
func (q *Queue) Servers() []Server {
	servers := make([]Server, len(q.servers))
	for i, s := range q.servers {
		servers[i] = *s
	}
	slices.SortFunc(servers, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	return servers
}

func (q *Queue) server(id ident.Backend) *Server {
	for _, s := range q.servers {
		if s.ID == id {
			return s
		}
	}
	return nil
}

// openServers returns the number of servers that are not Closed.
func (q *Queue) openServers() int {
	n := 0
	for _, s := range q.servers {
		if s.Grade != Closed {
			n++
		}
	}
	return n
}

func (q *Queue) slotsFor(t eval.Context, e Entry) int {
	slots := 0
	for _, s := range q.servers {
		if s.accepts(e) {
			slots += s.usableSlots(t)
		}
	}
	return slots
}

// missesDeadline estimates whether an attempt would finish after its deadline if the given
// service time is to be worked off before it.
func (q *Queue) missesDeadline(t eval.Context, e Entry, ahead time.Duration, slots int) bool {
	wait := float64(ahead) / float64(slots) / q.slotShare(t, e.Priority, slots)
	return t.Now.Add(time.Duration(wait) + q.meanOf(e.Priority)).After(e.Deadline)
}

// workOf returns the expected service time of several attempts together.
func (q *Queue) workOf(entries []Entry) time.Duration {
	work := time.Duration(0)
	for i := range entries {
		work += q.meanOf(entries[i].Priority)
	}
	return work
}

// meanOf returns the mean service time of a priority, or of all while it is not known.
func (q *Queue) meanOf(priority int) time.Duration {
	if mean, known := q.means[priority]; known {
		return mean
	}
	return q.mean
}

// slotShare returns the share of the slots left by more urgent attempts. Those that are yet
// to arrive overtake the waiting ones.
func (q *Queue) slotShare(t eval.Context, priority, slots int) float64 {
	used := 0.0
	for p, f := range q.arrivals {
		if p < priority {
			used += f.perSecond(t.Now) * q.meanOf(p).Seconds()
		}
	}
	return max(minSlotShare, 1-used/float64(slots))
}

func (q *Queue) arrivalsOf(t eval.Context, priority int) *arrivalRate {
	if q.arrivals == nil {
		q.arrivals = map[int]*arrivalRate{}
	}
	f, known := q.arrivals[priority]
	if !known {
		f = &arrivalRate{since: t.Now, at: t.Now}
		q.arrivals[priority] = f
	}
	return f
}

// perSecond returns the current rate. It is scaled up while the measurement is shorter than
// the window.
func (f *arrivalRate) perSecond(now time.Time) float64 {
	counted := 1 - math.Exp(-now.Sub(f.since).Seconds()/rateWindow.Seconds())
	return f.decayed(now) / max(minWindowFraction, counted)
}

func (f *arrivalRate) decayed(now time.Time) float64 {
	return f.decayedRate * math.Exp(-now.Sub(f.at).Seconds()/rateWindow.Seconds())
}

func (f *arrivalRate) record(now time.Time) {
	f.decayedRate = f.decayed(now) + 1/rateWindow.Seconds()
	f.at = now
}

// dispatch grants free slots to the waiting attempts and refuses those that have become too
// late. Attempts that can still meet their target go first. In overload the slots would
// otherwise all go to responses that come late.
func (q *Queue) dispatch(t eval.Context) Outcome {
	var out Outcome
	slices.SortStableFunc(q.waiting, func(a, b Entry) int {
		return cmp.Compare(q.lateness(t, a), q.lateness(t, b))
	})
	kept := q.waiting[:0]
	for _, e := range q.waiting {
		if q.comesTooLate(t, e, kept) {
			out.Refused = append(out.Refused, e.Attempt)
			continue
		}
		s := q.pick(t, e)
		if s == nil {
			kept = append(kept, e)
			continue
		}
		s.take(t)
		out.Grants = append(out.Grants, Grant{Attempt: e.Attempt, Server: s.ID})
	}
	q.waiting = kept
	return out
}

// comesTooLate reports whether a waiting attempt has no chance to be answered in time if others
// go before it.
func (q *Queue) comesTooLate(t eval.Context, e Entry, before []Entry) bool {
	slots := q.slotsFor(t, e)
	if slots == 0 || t.Now.Add(q.meanOf(e.Priority)).After(e.Deadline) {
		return true
	}
	return len(before) > 0 && q.missesDeadline(t, e, q.workOf(before), slots) || q.missesQuota(t, e, len(before))
}

// lateness returns 1 for an attempt whose response would miss its target, otherwise 0. A
// nested call is never late: the target that counts is that of the request which depends
// on it.
func (q *Queue) lateness(t eval.Context, e Entry) int {
	if e.Priority == NestedPriority || e.Target.IsZero() || t.Now.Add(q.meanOf(e.Priority)).Before(e.Target) {
		return 0
	}
	return 1
}

// pick returns the best server with a free slot for the attempt, or nil if there is none.
func (q *Queue) pick(t eval.Context, e Entry) *Server {
	var best *Server
	for _, s := range q.servers {
		if !s.accepts(e) || s.free(t) <= 0 {
			continue
		}
		if s.Grade == Trial && q.sampledForTrial(t, e) {
			return s
		}
		if best == nil || s.preferredTo(best, t) {
			best = s
		}
	}
	return best
}

// sampledForTrial selects at random the attempts that go to a Trial server, so that the risk
// is spread over many.
func (q *Queue) sampledForTrial(t eval.Context, e Entry) bool {
	return e.Repeatable && t.Random.IntN(trialShareBase) < trialShare
}

func (q *Queue) recordServiceTime(priority int, took time.Duration) {
	if took <= 0 {
		return
	}
	if q.means == nil {
		q.means = map[int]time.Duration{}
		q.mean = took
	}
	if _, known := q.means[priority]; !known {
		q.means[priority] = took
	}
	q.mean = smoothed(q.mean, took)
	q.means[priority] = smoothed(q.means[priority], took)
}

// smoothed returns a moving average with one more sample.
func smoothed(average, sample time.Duration) time.Duration {
	return average + time.Duration(smoothing*float64(sample-average))
}

func (s *Server) accepts(e Entry) bool {
	switch s.Grade {
	case Preferred:
		return !s.RecentlyFailed || !e.NoWait || e.Repeatable && !e.Retry
	case Trial:
		return e.Repeatable && !e.Retry || e.AllowLastResort
	case Probation:
		return !e.Retry || e.AllowLastResort
	case LastResort:
		return e.AllowLastResort
	default:
		return false
	}
}

// usableSlots returns how many slots may be in use now: those that are open, or fewer if the
// server slows down with more.
func (s *Server) usableSlots(t eval.Context) int {
	return min(s.openSlots(t), s.Curve.Limit(s.Slots))
}

// openSlots returns how many slots the server's state permits: fewer during the slow start,
// and on trial or probation one more than LongInFlight.
func (s *Server) openSlots(t eval.Context) int {
	if s.Grade == Trial || s.Grade == Probation {
		return min(s.Slots, 1+s.LongInFlight)
	}
	ramp := s.RampEnd.Sub(s.RampStart)
	if ramp <= 0 || !t.Now.Before(s.RampEnd) {
		return s.Slots
	}
	warm := float64(t.Now.Sub(s.RampStart)) / float64(ramp)
	return max(1, int(warm*float64(s.Slots)))
}

func (s *Server) preferredTo(other *Server, t eval.Context) bool {
	if s.Grade != other.Grade {
		return s.rank() < other.rank()
	}
	load := float64(s.Busy) / float64(s.usableSlots(t))
	otherLoad := float64(other.Busy) / float64(other.usableSlots(t))
	if load != otherLoad {
		return load < otherLoad
	}
	return t.Random.IntN(2) == 0
}

// rank orders the grades for an attempt that was not selected to try a Trial server: those
// come after all others.
func (s *Server) rank() int {
	switch s.Grade {
	case Preferred:
		return 0
	case LastResort:
		return 1
	default:
		return 2
	}
}

// String returns the name of the grade as it is printed in dumps.
func (g Grade) String() string {
	switch g {
	case Preferred:
		return "preferred"
	case Trial:
		return "trial"
	case Probation:
		return "wary"
	case LastResort:
		return "last"
	default:
		return "closed"
	}
}
