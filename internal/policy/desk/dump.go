package desk

import (
	"time"

	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/base/turn"
	"github.com/figwick/figwick/internal/policy/floor"
	"github.com/figwick/figwick/internal/policy/health"
	"github.com/figwick/figwick/internal/state/index"
	"github.com/figwick/figwick/internal/state/roster"
)

type (
	// Summary is one service behind this sidecar, as others are told of it.
	Summary struct {
		Service ident.Service
		Slots   int
		Marks   []index.Mark
	}

	// Report is the whole state, for a dump.
	Report struct {
		Leaving  bool            `json:"leaving"`
		Held     int             `json:"held"`
		Fences   int             `json:"fences"`
		Kept     int             `json:"kept-answer-bytes"`
		Services []ServiceReport `json:"services"`
	}

	// ServiceReport is one service of a Report.
	ServiceReport struct {
		Name    ident.Service      `json:"name"`
		Floor   int                `json:"floor"`
		Slots   int                `json:"slots"`
		Free    int                `json:"free"`
		Queued  int                `json:"queued"`
		Mean    string             `json:"mean-service-time"`
		Tokens  int                `json:"floor-tokens"`
		Spent   []ident.Backend    `json:"floor-tokens-spent"`
		Others  []floor.NodeCounts `json:"others"`
		Servers []ServerReport     `json:"backend-servers"`
	}

	// ServerReport is one backend server of a Report.
	ServerReport struct {
		health.Report
		Address     string            `json:"address"`
		Incarnation ident.Incarnation `json:"incarnation"`
		Announced   string            `json:"announced"`
		Allowed     bool              `json:"allowed"`
		Removed     bool              `json:"removed"`
		Grade       string            `json:"grade"`
		Busy        int               `json:"busy"`
		Slots       int               `json:"slots"`
	}
)

// Summaries sums up every service that has servers here.
func (d *Desk) Summaries(t turn.Turn) []Summary {
	var all []Summary
	for _, name := range d.names() {
		s := d.services[name]
		if len(s.servers) == 0 {
			continue
		}
		sum := Summary{Service: name, Slots: s.line.Load(t).Slots}
		if d.leaving {
			sum.Slots = 0
		}
		for _, id := range s.ids() {
			if mark, counts := s.servers[id].mark(); counts {
				sum.Marks = append(sum.Marks, mark)
			}
		}
		all = append(all, sum)
	}
	return all
}

// mark is what the directory is told of a server; one that does not serve yet,
// or may not, is left out.
func (v *standing) mark() (index.Mark, bool) {
	m := index.Mark{ID: v.ID, Incarnation: v.Incarnation, Standing: index.InService}
	switch {
	case !v.allowed || v.State == roster.Starting:
		return m, false
	case v.State == roster.Draining:
		m.Standing = index.Leaving
	case v.removed:
		m.Standing = index.Ejected
	}
	return m, true
}

// Standing tells how the backend server of an attempt is judged now.
func (d *Desk) Standing(id ident.Attempt) string {
	h, found := d.held[id]
	if !found || h.server == "" {
		return "none"
	}
	s := d.services[h.Service]
	v, found := s.servers[h.server]
	if !found {
		return "gone"
	}
	return s.grade(v).String()
}

// Dump reports on everything.
func (d *Desk) Dump(t turn.Turn) Report {
	r := Report{
		Leaving: d.leaving,
		Held:    len(d.held),
		Fences:  d.fences.Len(),
		Kept:    d.fences.Bytes(),
	}
	for _, name := range d.names() {
		r.Services = append(r.Services, d.services[name].report(t))
	}
	return r
}

func (s *service) report(t turn.Turn) ServiceReport {
	load := s.line.Load(t)
	r := ServiceReport{
		Name:   s.name,
		Floor:  s.floor,
		Slots:  load.Slots,
		Free:   load.Free,
		Queued: load.Queued,
		Mean:   load.Mean.Round(time.Microsecond).String(),
		Tokens: s.holder.Tokens(t.Now),
		Spent:  s.holder.Spent(),
		Others: s.others,
	}
	judged := map[ident.Backend]health.Report{}
	for _, h := range s.tracker.Dump(t.Now) {
		judged[h.Server] = h
	}
	for _, q := range s.line.Servers() {
		v, found := s.servers[q.ID]
		if !found {
			continue
		}
		r.Servers = append(r.Servers, ServerReport{
			Report:      judged[q.ID],
			Address:     v.Address,
			Incarnation: v.Incarnation,
			Announced:   string(v.State),
			Allowed:     v.allowed,
			Removed:     v.removed,
			Grade:       q.Grade.String(),
			Busy:        q.Busy,
			Slots:       q.Slots,
		})
	}
	return r
}

// String returns the reason as it stands in answers and logs.
func (r Reason) String() string {
	names := [...]string{"unknown", "busy", "late", "fenced", "duplicate", "no-backend-server", "leaving", "hopeless", "resting", "retry-budget"}
	if r < 0 || int(r) >= len(names) {
		return names[0]
	}
	return names[r]
}
