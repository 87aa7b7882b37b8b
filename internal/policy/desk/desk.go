package desk

import (
	"cmp"
	"slices"
	"time"

	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/base/turn"
	"github.com/figwick/figwick/internal/policy/fence"
	"github.com/figwick/figwick/internal/policy/floor"
	"github.com/figwick/figwick/internal/policy/health"
	"github.com/figwick/figwick/internal/policy/queue"
	"github.com/figwick/figwick/internal/policy/retry"
	"github.com/figwick/figwick/internal/state/config"
	"github.com/figwick/figwick/internal/state/roster"
)

// The kinds of decision on an attempt.
const (
	Granted Kind = iota + 1
	Waiting
	Refused
)

// The reasons for a refusal.
const (
	Busy Reason = iota + 1
	Late
	Fenced
	Duplicate
	NoBackend
	Leaving
	Hopeless
	Resting
	Spent
)

const (
	// loneThreshold is the sum of failures at which a server that is judged by a
	// prior level raises an alarm: two in a row, with the prior's rates.
	loneThreshold = 4.9
	// loneLatencyThreshold is the same for latencies: thirty slow answers in a row.
	loneLatencyThreshold = 60.0
	// loneAgeThreshold is the same for requests without an answer: more than the slots of a
	// backend server can bring together, since those that hang hold their slots.
	loneAgeThreshold = 60.0
	// loneProbation is what such a server returns with: one failure more ejects
	// it again.
	loneProbation = 2.5
	// loneTrialAnswers is how many good answers end its trial.
	loneTrialAnswers = 2
	// loneWanted is how many attempts that such a server's hold has turned away
	// show that others have no room for them.
	loneWanted = 3
)

type (
	// Kind is what happens to an attempt that comes.
	Kind int

	// Reason tells why an attempt is refused.
	Reason int

	// Attempt is one attempt that comes.
	Attempt struct {
		ID         ident.Attempt
		Service    ident.Service
		Repeatable bool
		LastResort bool
		// HasBody tells that the caller may still be sending: Sent says when the
		// backend server has it all.
		HasBody bool
		// StartBefore is the last moment at which it may start.
		StartBefore time.Time
		// Deadline is when its answer is of no more use.
		Deadline time.Time
		// Target is how long after its start an answer is of full use; zero is
		// not set. Latencies are judged relative to it.
		Target time.Duration
		// Priority is its rank under load; 0 goes first.
		Priority int
		// Direct asks to be refused rather than to wait.
		Direct bool
		// Again tells that a backend server has had the request before.
		Again bool
	}

	// Decision is the answer to an attempt that comes.
	Decision struct {
		Kind   Kind
		Reason Reason
		Server roster.Announcement
		// Pause is how long such attempts will be refused, as far as is known.
		Pause time.Duration
	}

	// Grant starts an attempt that waited.
	Grant struct {
		Attempt ident.Attempt
		Server  roster.Announcement
	}

	// Refusal ends the waiting of an attempt that will not start.
	Refusal struct {
		Attempt ident.Attempt
		Reason  Reason
	}

	// Verdict is a change of a backend server's standing.
	Verdict struct {
		Service ident.Service
		Op      health.Op
		// Removed tells that an ejection had a token; without one the server is
		// put last.
		Removed bool
	}

	// Ops is what follows from one event.
	Ops struct {
		Grants   []Grant
		Refusals []Refusal
		Verdicts []Verdict
		// Silent are the backend servers that no longer renew.
		Silent []ident.Backend
	}

	// Desk is one sidecar's decision state. It is not safe for concurrent use.
	Desk struct {
		node     ident.Node
		instance ident.Instance
		table    *config.Table
		roster   roster.Roster
		fences   fence.Table
		services map[ident.Service]*service
		held     map[ident.Attempt]*held
		leaving  bool
		prior    health.Baseline
		// shared tells that the fleet shares a bound on second sends.
		shared bool
		fresh  bool
		shares map[ident.Service]retry.Share
	}

	service struct {
		name    ident.Service
		line    queue.Queue
		tracker *health.Tracker
		holder  floor.Holder
		others  []floor.NodeCounts
		floor   int
		servers map[ident.Backend]*standing
		prior   health.Baseline
		// budget pays for second sends; it is kept where the fleet shares a bound.
		budget retry.Budget
		// earned is what a request adds to it, in percent.
		earned float64
	}

	standing struct {
		roster.Announcement
		allowed bool
		removed bool
		// trialFor is how long the server has been on trial.
		trialFor time.Duration
		// proving is how many attempts it has had for provenAfter.
		proving   int
		doubtful  bool
		coldSince time.Time
		coldUntil time.Time
	}

	// held is an attempt that waits or holds a slot.
	held struct {
		Attempt
		server ident.Backend
		// standing is the server as it was granted: a restarted one is another.
		standing *standing
	}
)

// New returns an empty Desk for one run of a node.
func New(node ident.Node, instance ident.Instance) *Desk {
	return &Desk{
		node:     node,
		instance: instance,
		services: map[ident.Service]*service{},
		held:     map[ident.Attempt]*held{},
	}
}

// Believe sets the level that lone servers are judged by while nothing is known
// of others. It is called before anything else.
func (d *Desk) Believe(prior health.Baseline) {
	d.prior = prior
}

// Admit decides on an attempt that comes.
func (d *Desk) Admit(t turn.Turn, a Attempt) Decision {
	if d.leaving {
		return refuse(Leaving)
	}
	if !t.Now.Before(a.StartBefore) {
		return refuse(Late)
	}
	s, found := d.services[a.Service]
	if !found {
		return refuse(NoBackend)
	}
	if !a.Repeatable {
		if reason := d.admitOnce(t, a); reason != 0 {
			return refuse(reason)
		}
	}
	if !d.pay(t, s, a) {
		d.fences.Withdraw(a.ID)
		return refuse(Spent)
	}
	decision, grant := s.line.Submit(t, queue.Entry{
		Attempt:         a.ID,
		Repeatable:      a.Repeatable,
		AllowLastResort: a.LastResort,
		Deadline:        a.Deadline,
		Target:          a.useful(t),
		Priority:        a.Priority,
		NoWait:          a.Direct,
		Retry:           a.Again,
	})
	if decision != queue.Granted && decision != queue.Waiting {
		d.unpay(s, a)
	}
	switch decision {
	case queue.Granted:
		d.held[a.ID] = &held{Attempt: a}
		d.begin(t, s, grant)
		return Decision{Kind: Granted, Server: s.servers[grant.Server].Announcement}
	case queue.Waiting:
		d.held[a.ID] = &held{Attempt: a}
		return Decision{Kind: Waiting}
	case queue.NoBackend:
		d.fences.Withdraw(a.ID)
		return refuse(NoBackend)
	case queue.NoneEligible:
		d.fences.Withdraw(a.ID)
		s.tracker.CountRefusal()
		return Decision{Kind: Refused, Reason: Resting, Pause: s.pause(t, a.Repeatable && !a.Again)}
	case queue.CannotMeetDeadline:
		d.fences.Withdraw(a.ID)
		return refuse(Hopeless)
	default:
		d.fences.Withdraw(a.ID)
		return refuse(Busy)
	}
}

// Finish takes the result of an attempt that was granted a slot. The answer is
// kept for a lost reply where it is not nil.
func (d *Desk) Finish(t turn.Turn, id ident.Attempt, r health.Result, answer *fence.Answer) Ops {
	h, found := d.held[id]
	if !found || h.server == "" {
		return Ops{}
	}
	delete(d.held, id)
	if !h.Repeatable {
		d.fences.Finish(t.Now, id, answer)
	}
	s := d.services[h.Service]
	var ops Ops
	if s.servers[h.server] != h.standing {
		return ops
	}
	judged := r
	judged.Took = health.ScaleToTarget(r.Took, h.Target)
	d.follow(t, s, s.tracker.Finish(t, h.server, id, judged), &ops)
	d.doubt(t, s, h.standing, &ops)
	took := r.Took
	if r.Outcome == health.Canceled {
		took = 0
	}
	d.outcome(t, s, s.line.Release(t, h.server, took), &ops)
	return ops
}

// Sent notes that a backend server has an attempt's whole body: from there on
// its age is evidence. Before that, the caller may be the slow one.
func (d *Desk) Sent(t turn.Turn, id ident.Attempt) {
	h, found := d.held[id]
	if !found || h.server == "" || !h.HasBody {
		return
	}
	s := d.services[h.Service]
	if s.servers[h.server] == h.standing {
		s.tracker.Begin(t, h.server, id, h.Target)
	}
}

// Headed notes that the head of an attempt's answer has come.
func (d *Desk) Headed(id ident.Attempt) {
	h, found := d.held[id]
	if found && h.server != "" {
		d.services[h.Service].tracker.HeaderReceived(h.server, id)
	}
}

// Unstarted takes back a grant of which no byte reached the backend server:
// the attempt was not run.
func (d *Desk) Unstarted(t turn.Turn, id ident.Attempt, r health.Result) Ops {
	d.fences.Unstart(id)
	return d.Finish(t, id, r, nil)
}

// Shed takes back a grant whose backend server refused the request for load and
// vouches that it did not run it.
func (d *Desk) Shed(t turn.Turn, id ident.Attempt) Ops {
	d.fences.Unstart(id)
	return d.Finish(t, id, health.Result{Outcome: health.Shed}, nil)
}

// Cancel ends the waiting of an attempt whose caller has gone. One that holds a
// slot goes on until Finish.
func (d *Desk) Cancel(id ident.Attempt) {
	h, found := d.held[id]
	if !found || h.server != "" {
		return
	}
	delete(d.held, id)
	s := d.services[h.Service]
	s.line.Cancel(id)
	d.unpay(s, h.Attempt)
	d.fences.Withdraw(id)
}

// Fence tells the fate of an attempt; one that has not started never will.
func (d *Desk) Fence(t turn.Turn, id ident.Attempt, startBefore time.Time) (fence.Fate, *fence.Answer, Ops) {
	fate, answer := d.fences.Fence(t.Now, id, startBefore)
	h, found := d.held[id]
	if fate != fence.NotStarted || !found || h.server != "" {
		return fate, answer, Ops{}
	}
	delete(d.held, id)
	s := d.services[h.Service]
	s.line.Cancel(id)
	d.unpay(s, h.Attempt)
	return fate, answer, Ops{Refusals: []Refusal{{Attempt: id, Reason: Fenced}}}
}

// Release drops the kept answer of an attempt that its ingress has.
func (d *Desk) Release(id ident.Attempt) {
	d.fences.Release(id)
}

// Drain refuses all new attempts from now on. What waits or runs goes on.
func (d *Desk) Drain() {
	d.leaving = true
}

// Idle reports whether nothing waits or runs.
func (d *Desk) Idle() bool {
	return len(d.held) == 0
}

// Held returns how many attempts wait or run.
func (d *Desk) Held() int {
	return len(d.held)
}

// Tick moves time on: leases, holds, ages, waiting attempts.
func (d *Desk) Tick(t turn.Turn) Ops {
	var ops Ops
	for _, change := range d.roster.Tick(t.Now) {
		ops.Silent = append(ops.Silent, change.Server.ID)
		d.change(t, change, &ops)
	}
	for _, name := range d.names() {
		s := d.services[name]
		d.follow(t, s, s.tracker.Tick(t), &ops)
		d.widen(t, s, &ops)
		d.cover(t, s, &ops)
		d.outcome(t, s, s.line.Tick(t), &ops)
	}
	return ops
}

// Expire forgets old fences. It is dear, so it has a slower beat than Tick.
func (d *Desk) Expire(t turn.Turn) {
	d.fences.Expire(t.Now)
}

// Load sums up the slots of a service.
func (d *Desk) Load(t turn.Turn, name ident.Service) queue.Load {
	s, found := d.services[name]
	if !found {
		return queue.Load{}
	}
	return s.line.Load(t)
}

// Hear takes the level of a service behind other sidecars.
func (d *Desk) Hear(name ident.Service, level health.Baseline) {
	if s, found := d.services[name]; found {
		s.tracker.SetRemoteBaseline(level)
	}
}

func (d *Desk) admitOnce(t turn.Turn, a Attempt) Reason {
	switch d.fences.Admit(t.Now, a.ID, a.StartBefore) {
	case fence.Admitted:
		return 0
	case fence.Fenced:
		return Fenced
	case fence.Duplicate:
		return Duplicate
	default:
		return Late
	}
}

// begin gives a slot to an attempt and starts it.
func (d *Desk) begin(t turn.Turn, s *service, g queue.Grant) {
	h := d.held[g.Attempt]
	if !h.Repeatable {
		d.fences.Start(t.Now, g.Attempt)
	}
	h.server = g.Server
	h.standing = s.servers[g.Server]
	if !h.HasBody {
		s.tracker.Begin(t, g.Server, g.Attempt, h.Target)
	}
}

// outcome turns what a line did into operations. An attempt that may no longer
// start gives its slot back, which may serve the next.
func (d *Desk) outcome(t turn.Turn, s *service, out queue.Outcome, ops *Ops) {
	for _, id := range out.Refused {
		d.unpay(s, d.held[id].Attempt)
		delete(d.held, id)
		d.fences.Withdraw(id)
		ops.Refusals = append(ops.Refusals, Refusal{Attempt: id, Reason: Busy})
	}
	for _, g := range out.Grants {
		if !d.mayStart(t, g.Attempt) {
			d.unpay(s, d.held[g.Attempt].Attempt)
			delete(d.held, g.Attempt)
			d.fences.Withdraw(g.Attempt)
			ops.Refusals = append(ops.Refusals, Refusal{Attempt: g.Attempt, Reason: Late})
			d.outcome(t, s, s.line.Release(t, g.Server, 0), ops)
			continue
		}
		d.begin(t, s, g)
		ops.Grants = append(ops.Grants, Grant{Attempt: g.Attempt, Server: s.servers[g.Server].Announcement})
	}
}

// useful is until when the attempt's answer is of full use.
func (a *Attempt) useful(t turn.Turn) time.Time {
	if a.Target <= 0 {
		return time.Time{}
	}
	return t.Now.Add(a.Target)
}

func (d *Desk) mayStart(t turn.Turn, id ident.Attempt) bool {
	return t.Now.Before(d.held[id].StartBefore)
}

func (d *Desk) names() []ident.Service {
	names := make([]ident.Service, 0, len(d.services))
	for name := range d.services {
		names = append(names, name)
	}
	slices.SortFunc(names, cmp.Compare[ident.Service])
	return names
}

func refuse(r Reason) Decision {
	return Decision{Kind: Refused, Reason: r}
}
