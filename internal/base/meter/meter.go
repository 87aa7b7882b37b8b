// Package meter holds the metrics that figwick reports, by tally.
//
// A Meter's fields are the metrics; docs/METRICS.md lists them. New takes any
// tally scope, so that tests use tally.NoopScope and a node reports for
// scraping by Scope.
package meter

import (
	"io"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is how often values go from the scope to the reporter.
const reportInterval = time.Second

type (
	// Meter is every metric of one node.
	Meter struct {
		scope tally.Scope

		// Answered, NotRun and Unknown count callers' requests by outcome.
		Answered tally.Counter
		NotRun   tally.Counter
		Unknown  tally.Counter
		// Limited counts requests over their caller's limit; they are in NotRun
		// too.
		Limited tally.Counter
		// Retries and Hedges count further attempts.
		Retries tally.Counter
		Hedges  tally.Counter
		// Fences counts questions for an attempt's fate, Recovered the answers
		// they brought.
		Fences    tally.Counter
		Recovered tally.Counter
		// InFlight is the callers' requests at this ingress.
		InFlight tally.Gauge
		// Latency is from a request's arrival to the end of its answer, Added
		// is that less the backend server's time.
		Latency tally.Histogram
		Added   tally.Histogram

		// Queued and Held are the attempts at this sidecar.
		Queued tally.Gauge
		Held   tally.Gauge
		// Refused counts attempts refused at this sidecar.
		Refused tally.Counter
		// Ejections, Lasts and Returns count verdicts; Detection is from the
		// first evidence to the ejection.
		Ejections tally.Counter
		Lasts     tally.Counter
		Returns   tally.Counter
		Detection tally.Histogram

		// Revision is the one in force.
		Revision tally.Gauge
		// Members is the live nodes known.
		Members tally.Gauge
		// ControlBytes counts bytes of membership and configuration messages.
		ControlBytes tally.Counter
		// StoreCalls counts calls of the platform's store, StoreErrors those
		// that failed.
		StoreCalls  tally.Counter
		StoreErrors tally.Counter
	}

	// Scope is a root scope that reports for scraping.
	Scope struct {
		tally.Scope
		Handler http.Handler
		closer  io.Closer
	}
)

// New makes the metrics of a node in a scope.
func New(scope tally.Scope) *Meter {
	times := tally.MustMakeExponentialDurationBuckets(100*time.Microsecond, 2, 18)
	waits := tally.MustMakeExponentialDurationBuckets(10*time.Millisecond, 2, 18)
	requests := func(outcome string) tally.Counter {
		return scope.Tagged(map[string]string{"outcome": outcome}).Counter("requests")
	}
	return &Meter{
		scope:        scope,
		Answered:     requests("answered"),
		NotRun:       requests("not-run"),
		Unknown:      requests("unknown"),
		Limited:      scope.Counter("limited_requests"),
		Retries:      scope.Counter("retries"),
		Hedges:       scope.Counter("hedges"),
		Fences:       scope.Counter("fences"),
		Recovered:    scope.Counter("recovered_answers"),
		InFlight:     scope.Gauge("requests_in_flight"),
		Latency:      scope.Histogram("request_seconds", times),
		Added:        scope.Histogram("added_seconds", times),
		Queued:       scope.Gauge("queued_attempts"),
		Held:         scope.Gauge("held_attempts"),
		Refused:      scope.Counter("refused_attempts"),
		Ejections:    scope.Counter("ejections"),
		Lasts:        scope.Counter("put_last"),
		Returns:      scope.Counter("returns"),
		Detection:    scope.Histogram("detection_seconds", waits),
		Revision:     scope.Gauge("config_revision"),
		Members:      scope.Gauge("members"),
		ControlBytes: scope.Counter("control_bytes"),
		StoreCalls:   scope.Counter("store_calls"),
		StoreErrors:  scope.Counter("store_errors"),
	}
}

// NewScope returns a root scope whose values can be scraped.
func NewScope() *Scope {
	reporter := prometheus.NewReporter(prometheus.Options{})
	options := tally.ScopeOptions{
		Prefix:          "figwick",
		CachedReporter:  reporter,
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}
	scope, closer := tally.NewRootScope(options, reportInterval)
	return &Scope{Scope: scope, Handler: reporter.HTTPHandler(), closer: closer}
}

// Close ends the reporting.
func (s *Scope) Close() error {
	return s.closer.Close()
}
