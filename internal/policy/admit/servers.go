package admit

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/figwick/figwick/internal/base/eval"
	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/policy/floor"
	"github.com/figwick/figwick/internal/policy/health"
	"github.com/figwick/figwick/internal/policy/queue"
	"github.com/figwick/figwick/internal/policy/retry"
	"github.com/figwick/figwick/internal/state/config"
	"github.com/figwick/figwick/internal/state/roster"
)

// Configure applies a new configuration revision: which servers may serve, their
// slots, and the settings of queues, ejections and retries.
func (c *Controller) Configure(t eval.Context, table *config.Table) Ops {
	c.table = table
	var ops Ops
	for _, name := range c.serviceNames() {
		s := c.services[name]
		s.configure(table.Service(name))
		for _, id := range s.serverIDs() {
			c.updateQueue(t, s, s.servers[id], &ops)
		}
	}
	return ops
}

// Announce applies a backend server's announcement. An older server at the same
// address is removed. An error comes from package roster and says why the
// announcement is refused.
func (c *Controller) Announce(t eval.Context, a roster.Announcement) (Ops, error) {
	var ops Ops
	older, err := c.roster.Supersede(a)
	if err != nil {
		return Ops{}, err
	}
	change, err := c.roster.Announce(t.Now, a)
	if err != nil {
		return Ops{}, err
	}
	for _, o := range older {
		c.applyChange(t, o, &ops)
	}
	c.applyChange(t, change, &ops)
	return ops, nil
}

// Depart removes a backend server, whatever its incarnation, and ignores late
// announcements of it. It reports whether the server was known.
func (c *Controller) Depart(t eval.Context, id ident.Backend) (Ops, bool) {
	var ops Ops
	change, known := c.roster.Depart(t.Now, id)
	if known {
		c.applyChange(t, change, &ops)
	}
	return ops, known
}

// RestoreDeparture restores a departure that an earlier run of this node has
// acknowledged, so that late announcements of that incarnation are refused. It removes
// the server if it is present.
func (c *Controller) RestoreDeparture(t eval.Context, id ident.Backend, incarnation ident.Incarnation) Ops {
	var ops Ops
	if change, known := c.roster.RestoreDeparture(t.Now, id, incarnation); known {
		c.applyChange(t, change, &ops)
	}
	return ops
}

// Serving returns the first service by name that has serving servers here, and the
// sum of their slots. It returns none while the node is draining.
func (c *Controller) Serving() (ident.Service, int) {
	if c.leaving {
		return "", 0
	}
	for _, name := range c.serviceNames() {
		slots := 0
		for _, v := range c.services[name].servers {
			if v.countsTowardFloor() {
				slots += v.Slots
			}
		}
		if slots > 0 {
			return name, slots
		}
	}
	return "", 0
}

// Leave removes a backend server that has announced that it left. It reports
// whether the server was known with this incarnation.
func (c *Controller) Leave(t eval.Context, id ident.Backend, incarnation ident.Incarnation) (Ops, bool) {
	var ops Ops
	change, known := c.roster.Leave(id, incarnation)
	if known {
		c.applyChange(t, change, &ops)
	}
	return ops, known
}

// Moved removes a backend server that has announced itself to another node with a
// higher incarnation. It reports whether the server was known.
func (c *Controller) Moved(t eval.Context, id ident.Backend, incarnation ident.Incarnation) (Ops, bool) {
	var ops Ops
	change, known := c.roster.RemoveMoved(id, incarnation)
	if known {
		c.applyChange(t, change, &ops)
	}
	return ops, known
}

// Servers returns the announced backend servers.
func (c *Controller) Servers() []roster.Announcement {
	return c.roster.Servers()
}

// IsAnnounced reports whether an incarnation of a backend server is announced.
func (c *Controller) IsAnnounced(id ident.Backend, incarnation ident.Incarnation) bool {
	s := c.serviceOf(id)
	return s != nil && s.servers[id].Incarnation == incarnation
}

// Allowed reports whether the current configuration lets an announced server serve.
func (c *Controller) Allowed(id ident.Backend) bool {
	s := c.serviceOf(id)
	return s != nil && s.servers[id].allowed
}

// SetRemoteCounts sets how many servers a service has behind each other sidecar.
func (c *Controller) SetRemoteCounts(name ident.Service, others []floor.NodeCounts) {
	if s, found := c.services[name]; found {
		s.remoteCounts = others
	}
}

// applyChange brings a service's servers in line with a change of the roster. A new
// incarnation starts in service with a ramp-up and without a health history.
func (c *Controller) applyChange(t eval.Context, change roster.Change, ops *Ops) {
	a := change.Server
	if old := c.serviceOf(a.ID); old != nil && (change.Gone || old.name != a.Service) {
		c.removeServer(old, a.ID)
	}
	if change.Gone {
		return
	}
	s := c.service(a.Service)
	state, found := s.servers[a.ID]
	if !found || change.New {
		state = &serverState{coldSince: t.Now}
		state.coldUntil = t.Now.Add(c.coldStart(a.Service))
		s.queue.Remove(a.ID)
		s.tokens.Refund(a.ID)
		s.tracker.Remove(a.ID)
		s.tracker.Add(t, a.ID)
	}
	state.Announcement = a
	s.servers[a.ID] = state
	c.updateQueue(t, s, state, ops)
}

// removeServer removes a server. Attempts that run on it continue until Finish.
func (c *Controller) removeServer(s *service, id ident.Backend) {
	delete(s.servers, id)
	s.queue.Remove(id)
	s.tracker.Remove(id)
	s.tokens.Refund(id)
	s.tokens.SetBackends(s.countedServers())
}

// serviceOf returns the service of an announced server, or nil.
func (c *Controller) serviceOf(id ident.Backend) *service {
	for _, s := range c.services {
		if _, found := s.servers[id]; found {
			return s
		}
	}
	return nil
}

// service returns the state of a service, and creates it if necessary.
func (c *Controller) service(name ident.Service) *service {
	s, found := c.services[name]
	if found {
		return s
	}
	s = &service{
		name:    name,
		tracker: health.New(health.Config{}),
		tokens:  floor.Holder{Node: c.node, Instance: c.instance},
		servers: map[ident.Backend]*serverState{},
		prior:   c.prior,
		budget:  retry.Budget{Share: c.retryShares[name], StartFull: c.freshFleet},
	}
	s.configure(c.table.Service(name))
	c.services[name] = s
	return s
}

func (c *Controller) coldStart(name ident.Service) time.Duration {
	if e := c.table.Service(name); e != nil {
		return e.Ejection.ColdStart
	}
	return config.DefaultColdStart
}

// updateQueue updates a server's slots, grade and ramp-up in the queue, and applies
// the grants and refusals that result.
func (c *Controller) updateQueue(t eval.Context, s *service, v *serverState, ops *Ops) {
	v.allowed = c.allows(s.name, v.Announcement)
	s.tokens.SetBackends(s.countedServers())
	slots := v.Slots
	if e := c.table.Service(s.name); e != nil {
		slots = min(slots, e.Slots)
	}
	out := s.queue.SetServer(t, queue.Server{
		ID:             v.ID,
		Slots:          slots,
		Grade:          s.grade(v),
		LongInFlight:   v.provenInFlight,
		RecentlyFailed: v.recentlyFailed,
		RampStart:      v.coldSince,
		RampEnd:        v.coldUntil,
	})
	c.applyOutcome(t, s, out, ops)
}

// allows reports whether the configuration lets a server serve a service. It checks
// the server's id and address.
func (c *Controller) allows(name ident.Service, a roster.Announcement) bool {
	e := c.table.Service(name)
	if e == nil {
		return false
	}
	address, err := netip.ParseAddrPort(a.Address)
	return err == nil && e.Allows(a.ID, address.Addr())
}

// applyHealthOps carries out the ejections, trials and returns that a tracker
// requests.
func (c *Controller) applyHealthOps(t eval.Context, s *service, requested []health.Op, ops *Ops) {
	for _, op := range requested {
		v, found := s.servers[op.Server]
		if !found {
			continue
		}
		switch op.Action {
		case health.Eject:
			v.removed = s.tokens.Spend(t.Now, v.ID, s.view())
		case health.Return:
			v.removed = false
			s.tokens.Refund(v.ID)
			v.coldSince = t.Now
			v.coldUntil = t.Now.Add(c.coldStart(s.name))
		}
		ops.HealthChanges = append(ops.HealthChanges, HealthChange{Service: s.name, Op: op, Removed: v.removed})
		c.updateQueue(t, s, v, ops)
	}
}

// reconcileTokens puts servers whose floor token has become void back to last
// resort. It removes unhealthy servers that had no token, as far as tokens are
// available now, and requests tokens for the rest.
func (c *Controller) reconcileTokens(t eval.Context, s *service, ops *Ops) {
	for _, id := range s.tokens.RevokeUncovered(t.Now) {
		if v, found := s.servers[id]; found {
			v.removed = false
			c.updateQueue(t, s, v, ops)
		}
	}
	missing := 0
	for _, id := range s.serverIDs() {
		v := s.servers[id]
		state, _ := s.tracker.State(id)
		if state == health.InService || v.removed {
			continue
		}
		if !s.tokens.Spend(t.Now, id, s.view()) {
			missing++
			continue
		}
		v.removed = true
		c.updateQueue(t, s, v, ops)
	}
	s.tokens.SetTokensNeeded(missing)
}

// configure applies a service's settings. A nil entry, for a service that the
// configuration does not contain, stands for the defaults.
func (s *service) configure(e *config.Entry) {
	length, floorSize := config.DefaultQueueLength, 1
	settings := health.Config{
		Threshold: health.PrecisionThreshold,
		Hold:      config.DefaultHold,
		MaxHold:   config.DefaultMaxHold,
	}
	if e != nil {
		length = e.Queue.Length
		floorSize = e.Floor
		s.earnPercent = e.Retry.BudgetPercent
		settings.Hold = e.Ejection.Hold
		settings.MaxHold = e.Ejection.MaxHold
		if e.Ejection.Prefer == config.PreferDetection {
			settings.Threshold = health.DetectionThreshold
		}
	}
	s.queue.MaxWaitingPerServer = length
	s.floor = floorSize
	settings.Prior = s.prior
	if s.prior.Weight > 0 {
		settings.Threshold = loneThreshold
		settings.ImmediateTrial = true
		settings.EarlyTrialRefusals = loneTurnedAway
		settings.LatencyThreshold = loneLatencyThreshold
		settings.AgeThreshold = loneAgeThreshold
		settings.ReturnFailureSum = loneProbation
		settings.TrialSuccesses = loneTrialAnswers
	}
	s.tracker.Configure(settings)
}

// grade returns a server's order of preference in the queue.
func (s *service) grade(v *serverState) queue.Grade {
	if !v.allowed || v.State != roster.Serving {
		return queue.Closed
	}
	state, _ := s.tracker.State(v.ID)
	switch {
	case state == health.InService:
		return queue.Preferred
	case state == health.OnTrial && s.prior.Weight > 0 && v.trialDuration > openTrialAfter:
		return queue.Probation
	case state == health.OnTrial:
		return queue.Trial
	case v.removed:
		return queue.Closed
	default:
		return queue.LastResort
	}
}

// view returns the servers of the service, here and behind other sidecars, that
// count toward its floor.
func (s *service) view() floor.View {
	return floor.View{Others: s.remoteCounts, InService: s.inService(), Floor: s.floor}
}

// inService returns the number of servers here that are in service.
func (s *service) inService() int {
	n := 0
	for _, v := range s.servers {
		if v.countsTowardFloor() && !v.removed {
			n++
		}
	}
	return n
}

// countedServers returns the servers here that count toward the floor.
func (s *service) countedServers() []ident.Backend {
	var ids []ident.Backend
	for id, v := range s.servers {
		if v.countsTowardFloor() {
			ids = append(ids, id)
		}
	}
	return ids
}

// countsTowardFloor reports whether a server serves and is allowed to. Ejected
// servers count too.
func (v *serverState) countsTowardFloor() bool {
	return v.allowed && v.State == roster.Serving
}

// serverIDs returns the ids of the servers in a fixed order.
func (s *service) serverIDs() []ident.Backend {
	ids := make([]ident.Backend, 0, len(s.servers))
	for id := range s.servers {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, cmp.Compare[ident.Backend])
	return ids
}
