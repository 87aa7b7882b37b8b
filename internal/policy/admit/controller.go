package admit

import (
	"cmp"
	"slices"
	"time"

	"github.com/figwick/figwick/internal/base/eval"
	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/policy/fence"
	"github.com/figwick/figwick/internal/policy/floor"
	"github.com/figwick/figwick/internal/policy/health"
	"github.com/figwick/figwick/internal/policy/nested"
	"github.com/figwick/figwick/internal/policy/queue"
	"github.com/figwick/figwick/internal/policy/retry"
	"github.com/figwick/figwick/internal/state/config"
	"github.com/figwick/figwick/internal/state/roster"
)

// The kinds of decision on an attempt.
const (
	// Granted attempts hold a slot and start now.
	Granted Kind = iota + 1
	// Waiting attempts are queued for a slot.
	Waiting
	// Refused attempts never start.
	Refused
)

// The reasons for a refusal.
const (
	// Busy: no slot is free, and the attempt may not wait, the queue is full or
	// no slot becomes free in time.
	Busy Reason = iota + 1
	// Late: the attempt did not start before its StartBefore.
	Late
	// Fenced: a fence was answered with the promise that the attempt never starts.
	Fenced
	// Duplicate: an attempt with this id arrived before.
	Duplicate
	// NoBackend: no backend server of the service here accepts any attempts.
	NoBackend
	// Leaving: this node is draining.
	Leaving
	// CannotMeetDeadline: the expected wait ends after the attempt's deadline.
	CannotMeetDeadline
	// NoneEligible: the backend servers that accept attempts accept none of this kind
	// now, because they are on trial or reserved as a last resort.
	NoneEligible
	// RetryBudgetSpent: the retry budget is used up.
	RetryBudgetSpent
)

// These constants replace the defaults of package health for a service with a
// prior baseline. Its backend server is usually the only one behind this sidecar,
// so that there are no others to compare it with.
const (
	// loneThreshold is the CUSUM threshold for failures. With the prior's rates, two
	// failures in a row reach it.
	loneThreshold = 4.9
	// loneLatencyThreshold is the CUSUM threshold for latencies. Thirty slow
	// responses in a row reach it.
	loneLatencyThreshold = 60.0
	// loneAgeThreshold is the threshold for the age of requests in flight. It is
	// higher than the requests in all slots of a backend server can reach
	// together, since requests that hang keep their slots.
	loneAgeThreshold = 60.0
	// loneProbation is the failure sum with which a server returns to service: one
	// more failure ejects it again.
	loneProbation = 2.5
	// loneTrialAnswers is the number of good responses that end a trial.
	loneTrialAnswers = 2
	// loneTurnedAway is how many attempts must be refused during an ejection hold to
	// end a lengthened hold after the base hold. So many refusals show that the other
	// sidecars have no free slots for them.
	loneTurnedAway = 3
)

type (
	// Kind says whether an arriving attempt starts, waits or is refused.
	Kind int

	// Reason says why an attempt is refused.
	Reason int

	// Attempt is one arriving attempt at a request.
	Attempt struct {
		ID      ident.Attempt
		Service ident.Service
		// Repeatable marks a request that may safely run more than once. The
		// others are fenced.
		Repeatable bool
		// LastResort allows backend servers that are unhealthy but could not be
		// ejected.
		LastResort bool
		// HasBody is set if the request has a body, which the caller may still be
		// sending. BodySent then reports when the backend server has received all of it.
		HasBody bool
		// StartBefore is the time by which it must have started.
		StartBefore time.Time
		// Deadline is when the caller stops waiting for the response.
		Deadline time.Time
		// Target is the target latency, 0 if none is set. Latencies are judged
		// relative to it.
		Target time.Duration
		// Priority orders attempts under load. 0 is the most urgent.
		Priority int
		// NoWait refuses the attempt if it would have to wait for a slot.
		NoWait bool
		// Retry is set for a retry: a backend server may already have had the request.
		Retry bool
		// RetryShare is the probability that the attempt is a call made by a run which was
		// itself a retry. It is 0 for the requests of callers.
		RetryShare float64
		// Route and Origin are the route of the request and the service on whose VM
		// it was made. They tell which attempts are calls of running requests.
		Route  nested.Route
		Origin ident.Service
	}

	// Decision is the result of Admit.
	Decision struct {
		Kind Kind
		// Reason is set if Kind is Refused.
		Reason Reason
		// Server is set if Kind is Granted.
		Server roster.Announcement
		// Pause is how long similar attempts are expected to be refused. It is 0 if
		// this is not known.
		Pause time.Duration
	}

	// Grant gives a slot to an attempt that waited. It must be sent now.
	Grant struct {
		Attempt ident.Attempt
		Server  roster.Announcement
	}

	// Refusal removes a waiting attempt, which never starts.
	Refusal struct {
		Attempt ident.Attempt
		Reason  Reason
	}

	// HealthChange is an ejection, trial or return of a backend server.
	HealthChange struct {
		Service ident.Service
		Op      health.Op
		// Removed is set if a floor token was available for the ejection. Without
		// one the server still gets attempts that allow a last resort.
		Removed bool
	}

	// Ops holds the operations that the caller must carry out after an event.
	Ops struct {
		Grants        []Grant
		Refusals      []Refusal
		HealthChanges []HealthChange
		// Expired are the backend servers whose announcement leases have expired.
		Expired []ident.Backend
	}

	// Controller is the admission controller of one sidecar. It is not safe for
	// concurrent use.
	Controller struct {
		node     ident.Node
		instance ident.Instance
		table    *config.Table
		roster   roster.Roster
		fences   fence.Table
		services map[ident.Service]*service
		active   map[ident.Attempt]*active
		leaving  bool
		// stopBy is when the process ends, zero if it is not stopping.
		stopBy time.Time
		// finishing is set by WindDown.
		finishing bool
		prior     health.Baseline
		// retryBudgetEnabled is set if retries are charged to a budget that the fleet
		// shares.
		retryBudgetEnabled bool
		freshFleet         bool
		retryShares        map[ident.Service]retry.Share
	}

	// service is the state of one service behind this sidecar.
	service struct {
		name    ident.Service
		queue   queue.Queue
		tracker *health.Tracker
		tokens  floor.Holder
		// remoteCounts is how many servers the service has behind other sidecars.
		remoteCounts []floor.NodeCounts
		// floor is the least number of servers that ejections leave in service.
		floor   int
		servers map[ident.Backend]*serverState
		prior   health.Baseline
		// budget limits the retries. It is used only if retryBudgetEnabled is set.
		budget retry.Budget
		// earnPercent is how much a first attempt adds to the budget, in percent of
		// one retry.
		earnPercent float64
		nested      nested.Tracker
	}

	// serverState is the state of one announced incarnation of a backend server.
	serverState struct {
		roster.Announcement
		// allowed is set if the configuration lets the server serve.
		allowed bool
		// removed is set if the server is ejected with a floor token.
		removed bool
		// trialDuration is how long the server has been on trial, 0 if it is not.
		trialDuration time.Duration
		// provenInFlight is the number of attempts that a server on trial has had in
		// flight for at least provenAfter.
		provenInFlight int
		recentlyFailed bool
		// coldSince and coldUntil bound the ramp-up of a new or returned server.
		coldSince time.Time
		coldUntil time.Time
		// limitNamedAt is when the server last named the rate that it takes.
		limitNamedAt time.Time
	}

	// active is an attempt that waits or holds a slot.
	active struct {
		Attempt
		// server is empty while the attempt waits.
		server ident.Backend
		// serverState is the incarnation that the slot belongs to. Results do not
		// count for a server that has restarted since.
		serverState *serverState
		// startedAt is when the attempt got its slot.
		startedAt time.Time
		// busyAtStart is the number of busy slots of its server then.
		busyAtStart int
	}
)

// New returns an empty Controller. The instance identifies this run of the node.
func New(node ident.Node, instance ident.Instance) *Controller {
	return &Controller{
		node:     node,
		instance: instance,
		services: map[ident.Service]*service{},
		active:   map[ident.Attempt]*active{},

		retryShares: map[ident.Service]retry.Share{},
	}
}

// SetPrior sets the baseline that a server is compared with while nothing is
// known of the service's other servers. It must be called before any other method.
func (c *Controller) SetPrior(prior health.Baseline) {
	c.prior = prior
}

// Admit decides whether an arriving attempt starts, waits or is refused.
func (c *Controller) Admit(t eval.Context, a Attempt) Decision {
	s, reason := c.serviceFor(t, &a)
	if reason != 0 {
		return refuse(reason)
	}
	if !a.Repeatable {
		if reason := c.admitNonRepeatable(t, a); reason != 0 {
			return refuse(reason)
		}
	}
	if !c.chargeBudget(t, s, a) {
		c.fences.Withdraw(a.ID)
		return refuse(RetryBudgetSpent)
	}
	entry := queue.Entry{
		Attempt:         a.ID,
		Repeatable:      a.Repeatable,
		AllowLastResort: a.LastResort,
		Deadline:        a.Deadline,
		Target:          a.targetTime(t),
		Priority:        s.priorityOf(&a),
		NoWait:          a.NoWait,
		Retry:           a.Retry,
	}
	decision, grant := s.queue.Submit(t, entry)
	if decision != queue.Granted && decision != queue.Waiting {
		c.refundBudget(t, s, a)
	}
	switch decision {
	case queue.Granted:
		c.active[a.ID] = &active{Attempt: a}
		c.startAttempt(t, s, grant)
		return Decision{Kind: Granted, Server: s.servers[grant.Server].Announcement}
	case queue.Waiting:
		c.active[a.ID] = &active{Attempt: a}
		return Decision{Kind: Waiting}
	case queue.NoBackend:
		c.fences.Withdraw(a.ID)
		return refuse(NoBackend)
	case queue.NoneEligible:
		c.fences.Withdraw(a.ID)
		s.tracker.CountRefusal()
		return Decision{Kind: Refused, Reason: NoneEligible, Pause: s.pause(t, a.Repeatable && !a.Retry)}
	case queue.CannotMeetDeadline:
		c.fences.Withdraw(a.ID)
		return Decision{Kind: Refused, Reason: CannotMeetDeadline, Pause: s.limitPause(t, entry)}
	default:
		c.fences.Withdraw(a.ID)
		return Decision{Kind: Refused, Reason: Busy, Pause: s.limitPause(t, entry)}
	}
}

// serviceFor returns the service of an arriving attempt, or the reason why it is refused
// without being queued.
func (c *Controller) serviceFor(t eval.Context, a *Attempt) (*service, Reason) {
	if c.leaving {
		return nil, Leaving
	}
	if !t.Now.Before(a.StartBefore) {
		return nil, Late
	}
	s, found := c.services[a.Service]
	if !found {
		return nil, NoBackend
	}
	if !a.Retry {
		s.nested.Observe(t.Now, a.Route, a.Origin)
	}
	if c.outlastsStop(t, s, a) {
		return nil, Leaving
	}
	return s, 0
}

// Drain refuses all new attempts from now on. Waiting and running attempts
// continue.
func (c *Controller) Drain() {
	c.leaving = true
}

// Idle reports whether no attempt waits or runs.
func (c *Controller) Idle() bool {
	return len(c.active) == 0
}

// ActiveAttempts returns the number of attempts that wait or run.
func (c *Controller) ActiveAttempts() int {
	return len(c.active)
}

// Tick handles the passage of time. It expires announcement leases, ends ejection
// holds, judges the age of requests in flight and refuses attempts that have waited
// too long. The node calls it every 50 ms.
func (c *Controller) Tick(t eval.Context) Ops {
	var ops Ops
	for _, change := range c.roster.Tick(t.Now) {
		ops.Expired = append(ops.Expired, change.Server.ID)
		c.applyChange(t, change, &ops)
	}
	c.refuseOutlasting(t, &ops)
	for _, name := range c.serviceNames() {
		s := c.services[name]
		c.applyHealthOps(t, s, s.tracker.Tick(t), &ops)
		c.updateTrials(t, s, &ops)
		c.reconcileTokens(t, s, &ops)
		c.applyOutcome(t, s, s.queue.Tick(t), &ops)
	}
	return ops
}

// Expire removes old entries from the fence table. It scans the whole table, so it
// is called less often than Tick.
func (c *Controller) Expire(t eval.Context) {
	c.fences.Expire(t.Now)
}

// Load returns the load on a service's slots. It is zero for an unknown service.
func (c *Controller) Load(t eval.Context, name ident.Service) queue.Load {
	s, found := c.services[name]
	if !found {
		return queue.Load{}
	}
	return s.queue.Load(t)
}

// SetRemoteBaseline sets the baseline of a service as other sidecars observe it.
func (c *Controller) SetRemoteBaseline(name ident.Service, level health.Baseline) {
	if s, found := c.services[name]; found {
		s.tracker.SetRemoteBaseline(level)
	}
}

// admitNonRepeatable registers an attempt in the fence table and returns the
// reason for a refusal, or 0.
func (c *Controller) admitNonRepeatable(t eval.Context, a Attempt) Reason {
	switch c.fences.Admit(t.Now, a.ID, a.StartBefore) {
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

// startAttempt assigns a granted slot to an attempt and starts it.
func (c *Controller) startAttempt(t eval.Context, s *service, g queue.Grant) {
	h := c.active[g.Attempt]
	if !h.Repeatable {
		c.fences.Start(t.Now, g.Attempt)
	}
	h.server = g.Server
	h.serverState = s.servers[g.Server]
	h.startedAt = t.Now
	h.busyAtStart = s.queue.Busy(g.Server)
	if !h.HasBody {
		s.tracker.Begin(t, g.Server, g.Attempt, h.Target)
	}
}

// applyOutcome turns the grants and refusals of a queue into operations. A grant
// that comes after the attempt's StartBefore is refused as late, and its slot is
// given back to the queue, which may grant it to the next attempt.
func (c *Controller) applyOutcome(t eval.Context, s *service, out queue.Outcome, ops *Ops) {
	for _, id := range out.Refused {
		c.refundBudget(t, s, c.active[id].Attempt)
		delete(c.active, id)
		c.fences.Withdraw(id)
		ops.Refusals = append(ops.Refusals, Refusal{Attempt: id, Reason: Busy})
	}
	for _, g := range out.Grants {
		if !c.mayStart(t, g.Attempt) {
			c.refundBudget(t, s, c.active[g.Attempt].Attempt)
			delete(c.active, g.Attempt)
			c.fences.Withdraw(g.Attempt)
			ops.Refusals = append(ops.Refusals, Refusal{Attempt: g.Attempt, Reason: Late})
			c.applyOutcome(t, s, s.queue.Release(t, g.Server, 0, 0), ops)
			continue
		}
		c.startAttempt(t, s, g)
		ops.Grants = append(ops.Grants, Grant{Attempt: g.Attempt, Server: s.servers[g.Server].Announcement})
	}
}

// targetTime returns when the attempt's target latency is reached, or the zero
// time if it has none.
func (a *Attempt) targetTime(t eval.Context) time.Time {
	if a.Target <= 0 {
		return time.Time{}
	}
	return t.Now.Add(a.Target)
}

// IsNested reports whether a route to a service is called by backend servers only.
func (c *Controller) IsNested(name ident.Service, route nested.Route) bool {
	s, found := c.services[name]
	return found && s.nested.IsNested(route)
}

// priorityOf returns the attempt's priority in the queue.
func (s *service) priorityOf(a *Attempt) int {
	if s.nested.IsNested(a.Route) {
		return queue.NestedPriority
	}
	return a.Priority
}

// mayStart reports whether an attempt is still within its StartBefore.
func (c *Controller) mayStart(t eval.Context, id ident.Attempt) bool {
	return t.Now.Before(c.active[id].StartBefore)
}

// serviceNames returns the names of the services in a fixed order.
func (c *Controller) serviceNames() []ident.Service {
	names := make([]ident.Service, 0, len(c.services))
	for name := range c.services {
		names = append(names, name)
	}
	slices.SortFunc(names, cmp.Compare[ident.Service])
	return names
}

func refuse(r Reason) Decision {
	return Decision{Kind: Refused, Reason: r}
}
