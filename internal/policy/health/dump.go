package health

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/figwick/figwick/internal/base/ident"
)

// Report is the state of one server in a dump.
type Report struct {
	Server      ident.Backend `json:"server"`
	State       string        `json:"state"`
	Ejections   int           `json:"strikes"`
	HoldLeft    string        `json:"hold-left,omitempty"`
	FailureSum  float64       `json:"failure-sum"`
	LatencySum  float64       `json:"latency-sum"`
	Median      string        `json:"median-latency"`
	FailureRate float64       `json:"failure-rate"`
	InFlight    int           `json:"in-flight"`
	TrialScore  int           `json:"good-run"`
}

// Dump returns a report for every server, sorted by ID.
func (k *Tracker) Dump(now time.Time) []Report {
	reports := make([]Report, 0, len(k.servers))
	for _, s := range k.servers {
		reports = append(reports, s.report(now))
	}
	slices.SortFunc(reports, func(a, b Report) int { return cmp.Compare(a.Server, b.Server) })
	return reports
}

func (s *server) report(now time.Time) Report {
	r := Report{
		Server:      s.id,
		State:       s.state.String(),
		Ejections:   s.ejectionCount,
		FailureSum:  round(s.failureSum),
		LatencySum:  round(s.latencySum),
		FailureRate: round(s.failureRate),
		InFlight:    len(s.inFlight),
		TrialScore:  s.trialScore,
	}
	if s.count > 0 {
		r.Median = time.Duration(math.Exp(s.meanLog) * float64(time.Second)).Round(time.Microsecond).String()
	}
	if s.state == Ejected {
		r.HoldLeft = s.holdEnd.Sub(now).Round(time.Millisecond).String()
	}
	return r
}

func round(x float64) float64 {
	const digits = 1000
	return math.Round(x*digits) / digits
}

// String returns the name of the state as it is printed in dumps.
func (s State) String() string {
	switch s {
	case Ejected:
		return "ejected"
	case OnTrial:
		return "on-trial"
	default:
		return "in-service"
	}
}
