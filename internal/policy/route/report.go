package route

import (
	"cmp"
	"slices"
	"time"
)

type (
	// Report is the state of one sidecar as the ingress sees it, for the debug dump.
	Report struct {
		Address  string  `json:"address"`
		Zone     string  `json:"zone"`
		Slots    int     `json:"slots"`
		InFlight int     `json:"under-way"`
		Load     float64 `json:"load"`
		Latency  string  `json:"latency"`
		Failures int     `json:"path-failures"`
		Avoided  bool    `json:"avoided"`
		Leaving  bool    `json:"leaving"`
	}

	// ZoneReport is how the sidecars that were picked are spread over the zones, and why.
	ZoneReport struct {
		// Own is the number of picks in the ingress's own zone. Sooner counts those outside
		// it where an attempt was expected to end sooner by more than the cost of leaving,
		// NoneInZone those for lack of a sidecar in the zone that may accept it.
		Own        int `json:"own-zone"`
		Sooner     int `json:"left-sooner-elsewhere"`
		NoneInZone int `json:"left-none-in-zone"`
		// Loads is the mean load of the sidecars of each zone as replies report it, from 0
		// to 1 and above where attempts wait.
		Loads map[string]float64 `json:"loads"`
		// Mean is the mean service time of all sidecars.
		Mean string `json:"mean-service-time"`
	}
)

// Zones returns the report on zones.
func (p *Picker) Zones() ZoneReport {
	r := p.picks
	r.Loads = make(map[string]float64, len(p.zones))
	for name, z := range p.zones {
		r.Loads[string(name)] = z.value()
	}
	r.Mean = time.Duration(p.means.value() * float64(time.Second)).Round(time.Microsecond).String()
	return r
}

// Dump returns a Report on every sidecar, sorted by address.
func (p *Picker) Dump(now time.Time) []Report {
	reports := make([]Report, 0, len(p.sidecars))
	for _, s := range p.sidecars {
		reports = append(reports, Report{
			Address:  s.Address,
			Zone:     string(s.Zone),
			Slots:    s.Slots,
			InFlight: s.inFlight,
			Load:     s.load(now),
			Latency:  s.mean.String(),
			Failures: s.failures,
			Avoided:  !s.eligible(now),
			Leaving:  s.Leaving,
		})
	}
	slices.SortFunc(reports, func(a, b Report) int { return cmp.Compare(a.Address, b.Address) })
	return reports
}
