package admit

import (
	"time"

	"github.com/figwick/figwick/internal/base/eval"
	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/policy/floor"
	"github.com/figwick/figwick/internal/policy/health"
	"github.com/figwick/figwick/internal/state/index"
	"github.com/figwick/figwick/internal/state/roster"
)

type (
	// Summary is one service behind this sidecar, as published to the directory.
	Summary struct {
		Service ident.Service
		// Slots are those that an ordinary attempt may use, 0 while the node is
		// draining. A limit learned from service times is not counted: it changes often,
		// and ingresses hear of it with every reply.
		Slots int
		// Marks are the states of the backend servers.
		Marks []index.BackendEntry
	}

	// Report is the state of a Controller, for a dump.
	Report struct {
		Leaving bool `json:"leaving"`
		// ActiveAttempts is the number of attempts that wait or run.
		ActiveAttempts int `json:"held"`
		// Fences is the number of attempts in the fence table.
		Fences int `json:"fences"`
		// KeptAnswerBytes is the total size of the kept response bodies, in bytes.
		KeptAnswerBytes int             `json:"kept-answer-bytes"`
		Services        []ServiceReport `json:"services"`
	}

	// ServiceReport is one service of a Report.
	ServiceReport struct {
		Name ident.Service `json:"name"`
		// Floor is the least number of servers that ejections leave in service.
		Floor  int    `json:"floor"`
		Slots  int    `json:"slots"`
		Free   int    `json:"free"`
		Queued int    `json:"queued"`
		Mean   string `json:"mean-service-time"`
		// Tokens is the number of valid floor tokens, spent ones included.
		Tokens int `json:"floor-tokens"`
		// Spent are the servers that hold a token.
		Spent []ident.Backend `json:"floor-tokens-spent"`
		// RemoteCounts are the counts of the service's servers behind other sidecars.
		RemoteCounts []floor.NodeCounts `json:"others"`
		Servers      []ServerReport     `json:"backend-servers"`
	}

	// ServerReport is one backend server of a Report.
	ServerReport struct {
		health.Report
		Address     string            `json:"address"`
		Incarnation ident.Incarnation `json:"incarnation"`
		// Announced is the state that the server announced.
		Announced string `json:"announced"`
		// Allowed is set if the configuration lets the server serve.
		Allowed bool `json:"allowed"`
		// Removed is set if the server is ejected with a floor token.
		Removed bool `json:"removed"`
		// Grade is the server's order of preference in the queue.
		Grade string `json:"grade"`
		Busy  int    `json:"busy"`
		Slots int    `json:"slots"`
		// UsedSlots is how many of the slots are used because the server slows down with
		// more (package knee).
		UsedSlots int `json:"used-slots"`
		// Limit is the rate in requests per second at which the server gets attempts because
		// it has named a limit. Nil means that it has named none.
		Limit *float64 `json:"limit,omitempty"`
	}
)

// Summaries returns a summary of every service that has servers here.
func (c *Controller) Summaries(t eval.Context) []Summary {
	var all []Summary
	for _, name := range c.serviceNames() {
		s := c.services[name]
		if len(s.servers) == 0 {
			continue
		}
		sum := Summary{Service: name, Slots: s.queue.Load(t).Open}
		if c.leaving {
			sum.Slots = 0
		}
		for _, id := range s.serverIDs() {
			if mark, counts := s.servers[id].mark(); counts {
				sum.Marks = append(sum.Marks, mark)
			}
		}
		all = append(all, sum)
	}
	return all
}

// mark returns the state that is published to the directory for a server. It
// returns false for a server that does not serve yet or is not allowed to.
func (v *serverState) mark() (index.BackendEntry, bool) {
	m := index.BackendEntry{ID: v.ID, Incarnation: v.Incarnation, State: index.InService}
	switch {
	case !v.allowed || v.State == roster.Starting:
		return m, false
	case v.State == roster.Draining:
		m.State = index.Leaving
	case v.removed:
		m.State = index.Ejected
	}
	return m, true
}

// ServerGrade returns the current grade of the backend server that an attempt runs
// on. It is "none" if the attempt holds no slot, and "gone" if the server has been
// removed.
func (c *Controller) ServerGrade(id ident.Attempt) string {
	h, found := c.active[id]
	if !found || h.server == "" {
		return "none"
	}
	s := c.services[h.Service]
	v, found := s.servers[h.server]
	if !found {
		return "gone"
	}
	return s.grade(v).String()
}

// Dump returns a report of the whole state.
func (c *Controller) Dump(t eval.Context) Report {
	r := Report{
		Leaving:         c.leaving,
		ActiveAttempts:  len(c.active),
		Fences:          c.fences.Len(),
		KeptAnswerBytes: c.fences.KeptBytes(),
	}
	for _, name := range c.serviceNames() {
		r.Services = append(r.Services, c.services[name].report(t))
	}
	return r
}

func (s *service) report(t eval.Context) ServiceReport {
	load := s.queue.Load(t)
	r := ServiceReport{
		Name:         s.name,
		Floor:        s.floor,
		Slots:        load.Slots,
		Free:         load.Free,
		Queued:       load.Queued,
		Mean:         load.Mean.Round(time.Microsecond).String(),
		Tokens:       s.tokens.Tokens(t.Now),
		Spent:        s.tokens.Spent(),
		RemoteCounts: s.remoteCounts,
	}
	healthOf := map[ident.Backend]health.Report{}
	for _, h := range s.tracker.Dump(t.Now) {
		healthOf[h.Server] = h
	}
	for _, q := range s.queue.Servers() {
		v, found := s.servers[q.ID]
		if !found {
			continue
		}
		var limit *float64
		if q.Quota.Named() {
			perSecond := q.Quota.PerSecond()
			limit = &perSecond
		}
		r.Servers = append(r.Servers, ServerReport{
			Report:      healthOf[q.ID],
			Address:     v.Address,
			Incarnation: v.Incarnation,
			Announced:   string(v.State),
			Allowed:     v.allowed,
			Removed:     v.removed,
			Grade:       q.Grade.String(),
			Busy:        q.Busy,
			Slots:       q.Slots,
			UsedSlots:   q.Curve.Limit(q.Slots),
			Limit:       limit,
		})
	}
	return r
}

// String returns the reason as it appears in refusals and logs.
func (r Reason) String() string {
	names := [...]string{"unknown", "busy", "late", "fenced", "duplicate", "no-backend-server", "leaving", "hopeless", "resting", "retry-budget"}
	if r < 0 || int(r) >= len(names) {
		return names[0]
	}
	return names[r]
}
