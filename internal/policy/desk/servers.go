package desk

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/base/turn"
	"github.com/figwick/figwick/internal/policy/floor"
	"github.com/figwick/figwick/internal/policy/health"
	"github.com/figwick/figwick/internal/policy/queue"
	"github.com/figwick/figwick/internal/policy/retry"
	"github.com/figwick/figwick/internal/state/config"
	"github.com/figwick/figwick/internal/state/roster"
)

// Configure takes a new revision: what it allows, its slots and trades.
func (d *Desk) Configure(t turn.Turn, table *config.Table) Ops {
	d.table = table
	var ops Ops
	for _, name := range d.names() {
		s := d.services[name]
		s.configure(table.Service(name))
		for _, id := range s.ids() {
			d.place(t, s, s.servers[id], &ops)
		}
	}
	return ops
}

// Announce takes a backend server's announcement.
func (d *Desk) Announce(t turn.Turn, a roster.Announcement) (Ops, error) {
	var ops Ops
	older, err := d.roster.Supersede(a)
	if err != nil {
		return Ops{}, err
	}
	change, err := d.roster.Announce(t.Now, a)
	if err != nil {
		return Ops{}, err
	}
	for _, o := range older {
		d.change(t, o, &ops)
	}
	d.change(t, change, &ops)
	return ops, nil
}

// Depart forgets a backend server for good, whatever its incarnation.
func (d *Desk) Depart(t turn.Turn, id ident.Backend) (Ops, bool) {
	var ops Ops
	change, known := d.roster.Depart(t.Now, id)
	if known {
		d.change(t, change, &ops)
	}
	return ops, known
}

// Recall takes what an earlier run of the node has acknowledged: a server left.
func (d *Desk) Recall(t turn.Turn, id ident.Backend, incarnation ident.Incarnation) {
	d.roster.Recall(t.Now, id, incarnation)
}

// Serving returns the service that has servers here which take work, and their
// slots. Of several services it is the first by name.
func (d *Desk) Serving() (ident.Service, int) {
	if d.leaving {
		return "", 0
	}
	for _, name := range d.names() {
		slots := 0
		for _, v := range d.services[name].servers {
			if v.counts() {
				slots += v.Slots
			}
		}
		if slots > 0 {
			return name, slots
		}
	}
	return "", 0
}

// Leave forgets a backend server that says it has gone.
func (d *Desk) Leave(t turn.Turn, id ident.Backend, incarnation ident.Incarnation) (Ops, bool) {
	var ops Ops
	change, known := d.roster.Leave(id, incarnation)
	if known {
		d.change(t, change, &ops)
	}
	return ops, known
}

// Moved forgets a backend server that another node has with a higher
// incarnation.
func (d *Desk) Moved(t turn.Turn, id ident.Backend, incarnation ident.Incarnation) (Ops, bool) {
	var ops Ops
	change, known := d.roster.Moved(id, incarnation)
	if known {
		d.change(t, change, &ops)
	}
	return ops, known
}

// Servers returns the announced backend servers.
func (d *Desk) Servers() []roster.Announcement {
	return d.roster.Servers()
}

// Knows reports whether an incarnation of a backend server is announced.
func (d *Desk) Knows(id ident.Backend, incarnation ident.Incarnation) bool {
	s := d.serviceOf(id)
	return s != nil && s.servers[id].Incarnation == incarnation
}

// Allowed reports whether the file in force lets an announced server serve.
func (d *Desk) Allowed(id ident.Backend) bool {
	s := d.serviceOf(id)
	return s != nil && s.servers[id].allowed
}

// SetOthers tells what a service has behind other sidecars.
func (d *Desk) SetOthers(name ident.Service, others []floor.NodeCounts) {
	if s, found := d.services[name]; found {
		s.others = others
	}
}

func (d *Desk) change(t turn.Turn, c roster.Change, ops *Ops) {
	a := c.Server
	if old := d.serviceOf(a.ID); old != nil && (c.Gone || old.name != a.Service) {
		d.drop(old, a.ID)
	}
	if c.Gone {
		return
	}
	s := d.service(a.Service)
	known, found := s.servers[a.ID]
	if !found || c.New {
		known = &standing{coldSince: t.Now}
		known.coldUntil = t.Now.Add(d.coldStart(a.Service))
		s.line.Remove(a.ID)
		s.holder.Refund(a.ID)
		s.tracker.Remove(a.ID)
		s.tracker.Add(t, a.ID)
	}
	known.Announcement = a
	s.servers[a.ID] = known
	d.place(t, s, known, ops)
}

// drop forgets a server. Attempts that run on it go on until Finish.
func (d *Desk) drop(s *service, id ident.Backend) {
	delete(s.servers, id)
	s.line.Remove(id)
	s.tracker.Remove(id)
	s.holder.Refund(id)
	s.holder.SetBackends(s.counted())
}

func (d *Desk) serviceOf(id ident.Backend) *service {
	for _, s := range d.services {
		if _, found := s.servers[id]; found {
			return s
		}
	}
	return nil
}

func (d *Desk) service(name ident.Service) *service {
	s, found := d.services[name]
	if found {
		return s
	}
	s = &service{
		name:    name,
		tracker: health.New(health.Config{}),
		holder:  floor.Holder{Node: d.node, Instance: d.instance},
		servers: map[ident.Backend]*standing{},
		prior:   d.prior,
		budget:  retry.Budget{Share: d.shares[name], Fresh: d.fresh},
	}
	s.configure(d.table.Service(name))
	d.services[name] = s
	return s
}

func (d *Desk) coldStart(name ident.Service) time.Duration {
	if e := d.table.Service(name); e != nil {
		return e.Ejection.ColdStart
	}
	return config.DefaultColdStart
}

// place brings the line in step with where a server stands.
func (d *Desk) place(t turn.Turn, s *service, v *standing, ops *Ops) {
	v.allowed = d.allows(s.name, v.Announcement)
	s.holder.SetBackends(s.counted())
	slots := v.Slots
	if e := d.table.Service(s.name); e != nil {
		slots = min(slots, e.Slots)
	}
	out := s.line.SetServer(t, queue.Server{
		ID:             v.ID,
		Slots:          slots,
		Grade:          s.grade(v),
		LongInFlight:   v.proving,
		RecentlyFailed: v.doubtful,
		RampStart:      v.coldSince,
		RampEnd:        v.coldUntil,
	})
	d.outcome(t, s, out, ops)
}

func (d *Desk) allows(name ident.Service, a roster.Announcement) bool {
	e := d.table.Service(name)
	if e == nil {
		return false
	}
	address, err := netip.ParseAddrPort(a.Address)
	return err == nil && e.Allows(a.ID, address.Addr())
}

// follow carries out what a tracker asks for.
func (d *Desk) follow(t turn.Turn, s *service, asked []health.Op, ops *Ops) {
	for _, op := range asked {
		v, found := s.servers[op.Server]
		if !found {
			continue
		}
		switch op.Action {
		case health.Eject:
			v.removed = s.holder.Spend(t.Now, v.ID, s.view())
		case health.Return:
			v.removed = false
			s.holder.Refund(v.ID)
			v.coldSince = t.Now
			v.coldUntil = t.Now.Add(d.coldStart(s.name))
		}
		ops.Verdicts = append(ops.Verdicts, Verdict{Service: s.name, Op: op, Removed: v.removed})
		d.place(t, s, v, ops)
	}
}

// cover ends ejections that have lost their token, and ejects the sick servers
// that had none where there is one now.
func (d *Desk) cover(t turn.Turn, s *service, ops *Ops) {
	for _, id := range s.holder.RevokeUncovered(t.Now) {
		if v, found := s.servers[id]; found {
			v.removed = false
			d.place(t, s, v, ops)
		}
	}
	need := 0
	for _, id := range s.ids() {
		v := s.servers[id]
		state, _ := s.tracker.State(id)
		if state == health.InService || v.removed {
			continue
		}
		if !s.holder.Spend(t.Now, id, s.view()) {
			need++
			continue
		}
		v.removed = true
		d.place(t, s, v, ops)
	}
	s.holder.SetTokensNeeded(need)
}

func (s *service) configure(e *config.Entry) {
	length, floorAt := config.DefaultQueueLength, 1
	trade := health.Config{
		Threshold: health.PrecisionThreshold,
		Hold:      config.DefaultHold,
		MaxHold:   config.DefaultMaxHold,
	}
	if e != nil {
		length = e.Queue.Length
		floorAt = e.Floor
		s.earned = e.Retry.BudgetPercent
		trade.Hold = e.Ejection.Hold
		trade.MaxHold = e.Ejection.MaxHold
		if e.Ejection.Prefer == config.PreferDetection {
			trade.Threshold = health.DetectionThreshold
		}
	}
	s.line.MaxWaitingPerServer = length
	s.floor = floorAt
	trade.Prior = s.prior
	if s.prior.Weight > 0 {
		trade.Threshold = loneThreshold
		trade.ImmediateTrial = true
		trade.EarlyTrialRefusals = loneWanted
		trade.LatencyThreshold = loneLatencyThreshold
		trade.AgeThreshold = loneAgeThreshold
		trade.ReturnFailureSum = loneProbation
		trade.TrialSuccesses = loneTrialAnswers
	}
	s.tracker.Configure(trade)
}

func (s *service) grade(v *standing) queue.Grade {
	if !v.allowed || v.State != roster.Serving {
		return queue.Closed
	}
	state, _ := s.tracker.State(v.ID)
	switch {
	case state == health.InService:
		return queue.Preferred
	case state == health.OnTrial && s.prior.Weight > 0 && v.trialFor > wideTrialAfter:
		return queue.Probation
	case state == health.OnTrial:
		return queue.Trial
	case v.removed:
		return queue.Closed
	default:
		return queue.LastResort
	}
}

// view joins what stands here with what is known of the others.
func (s *service) view() floor.View {
	return floor.View{Others: s.others, InService: s.inService(), Floor: s.floor}
}

// inService counts the servers here that take work.
func (s *service) inService() int {
	n := 0
	for _, v := range s.servers {
		if v.counts() && !v.removed {
			n++
		}
	}
	return n
}

// counted returns the servers that count for the budget.
func (s *service) counted() []ident.Backend {
	var ids []ident.Backend
	for id, v := range s.servers {
		if v.counts() {
			ids = append(ids, id)
		}
	}
	return ids
}

func (v *standing) counts() bool {
	return v.allowed && v.State == roster.Serving
}

func (s *service) ids() []ident.Backend {
	ids := make([]ident.Backend, 0, len(s.servers))
	for id := range s.servers {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, cmp.Compare[ident.Backend])
	return ids
}
