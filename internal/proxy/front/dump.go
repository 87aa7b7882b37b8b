package front

import (
	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/policy/route"
)

type (
	// Report is the ingress's state in a dump.
	Report struct {
		Revision ident.Revision  `json:"revision"`
		InFlight int             `json:"in-flight"`
		Callers  int             `json:"limited-callers"`
		Services []ServiceReport `json:"services"`
		// Organisations is nil if the configuration names none.
		Organisations *OrganisationsReport `json:"organisations,omitempty"`
	}

	// ServiceReport is the state of one service in a Report.
	ServiceReport struct {
		Name        ident.Service    `json:"name"`
		RetryTokens float64          `json:"retry-tokens"`
		Retried     int              `json:"retried"`
		Denied      int              `json:"retries-denied"`
		Zones       route.ZoneReport `json:"zones"`
		Sidecars    []route.Report   `json:"sidecars"`
	}
)

// Dump returns the ingress's state, with the services sorted by name.
func (s *Server) Dump() Report {
	organisations := s.reportOrganisations()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.config.Clock.Now()
	r := Report{InFlight: s.InFlight(), Callers: s.limits.Len(), Organisations: organisations}
	if table := s.Table(); table != nil {
		r.Revision = table.Revision
	}
	for _, name := range sortedNames(s.services) {
		svc := s.services[name]
		r.Services = append(r.Services, ServiceReport{
			Name:        name,
			RetryTokens: svc.budget.Tokens(),
			Retried:     svc.budget.Spent,
			Denied:      svc.budget.Denied,
			Zones:       svc.picker.Zones(),
			Sidecars:    svc.picker.Dump(now),
		})
	}
	return r
}
