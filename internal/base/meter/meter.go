// Package meter defines the metrics that figwick reports through tally.
//
// The fields of a Meter are the metrics. docs/METRICS.md lists them. New accepts any
// tally scope: tests use tally.NoopScope, and a node uses a Scope, which exposes the
// metrics to Prometheus.
package meter

import (
	"io"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is the interval at which the scope passes values to the reporter.
const reportInterval = time.Second

type (
	// Meter holds all metrics of one node.
	Meter struct {
		scope tally.Scope

		// Answered, NotRun and Unknown count callers' requests by outcome: a response
		// was sent, the request was certainly not run, or it may have been run.
		Answered tally.Counter
		NotRun   tally.Counter
		Unknown  tally.Counter
		// Limited counts requests over their caller's rate limit. NotRun includes
		// them.
		Limited tally.Counter
		// KeysRefused counts requests without a known API key on a route that needs one,
		// KeysUnproved those that were refused because the configuration is not known to
		// be current. NotRun includes both.
		KeysRefused  tally.Counter
		KeysUnproved tally.Counter
		// OverQuota counts requests over their organisation's quota, QuotaUndecided those
		// refused because it was not known. NotRun includes both.
		OverQuota      tally.Counter
		QuotaUndecided tally.Counter
		// QuotaCalls counts this ingress's calls to grantors of quotas.
		QuotaCalls tally.Counter
		// QuotaAccounts is the number of organisations whose quota this node grants.
		QuotaAccounts tally.Gauge
		// Retries and Hedges count the attempts after the first one of a request.
		Retries tally.Counter
		Hedges  tally.Counter
		// ZoneCrossingAttempts counts attempts at sidecars in other availability zones,
		// ZoneCrossingBytes the bytes of their bodies, in both directions.
		ZoneCrossingAttempts tally.Counter
		ZoneCrossingBytes    tally.Counter
		// Fences counts fences that this ingress sent to ask for an attempt's fate,
		// Recovered the responses that they retrieved.
		Fences    tally.Counter
		Recovered tally.Counter
		// InFlight is the number of callers' requests in flight at this ingress.
		InFlight tally.Gauge
		// Early counts pipelined requests that were started before their turn, EarlyCanceled
		// those of them that were canceled because their connection ended.
		Early         tally.Counter
		EarlyCanceled tally.Counter
		// PipelineBytes is the memory held for pipelined requests.
		PipelineBytes tally.Gauge
		// Latency is the time from a request's arrival to the end of its response,
		// AddedLatency the same less the time that the backend server took.
		Latency      tally.Histogram
		AddedLatency tally.Histogram

		// Queued is the number of attempts that wait for a slot at this sidecar,
		// Active the number of those that wait or run.
		Queued tally.Gauge
		Active tally.Gauge
		// Refused counts attempts refused at this sidecar.
		Refused tally.Counter
		// Ejections counts ejected backend servers, PutLast unhealthy ones that were
		// put last in preference since the floor allowed no ejection, and Returns those
		// that are back in service. Detection is the time from the first evidence to
		// the ejection or to being put last.
		Ejections tally.Counter
		PutLast   tally.Counter
		Returns   tally.Counter
		Detection tally.Histogram

		// Revision is the revision of the active configuration.
		Revision tally.Gauge
		// Organisations and APIKeys are their numbers in the active configuration.
		Organisations tally.Gauge
		APIKeys       tally.Gauge
		// ProofAge is the time in seconds since the active configuration is known to have been
		// the newest, Unproved counts requests refused because this is too long.
		ProofAge tally.Gauge
		Unproved tally.Counter
		// Members is the number of live nodes known to this node.
		Members tally.Gauge
		// ControlBytes counts the bytes of control messages between nodes, such as
		// membership, directory and configuration messages.
		ControlBytes tally.Counter
		// StreamPanics counts the peers' streams that a panic of their handler has ended.
		StreamPanics tally.Counter
		// StoreCalls counts calls to the platform's store, StoreErrors those that
		// failed.
		StoreCalls  tally.Counter
		StoreErrors tally.Counter
		// StoreEra is the store's era, which rises when the store comes back from an
		// older copy.
		StoreEra tally.Gauge
	}

	// IntakeMeter holds the metrics of the budget of some HTTP listeners.
	IntakeMeter struct {
		// Bytes is the memory that connections and requests are charged with, Connections the
		// number of open connections.
		Bytes       tally.Gauge
		Connections tally.Gauge
		// Refused counts connections and requests for which there was no room, Closed those
		// ended to make room.
		Refused tally.Counter
		Closed  tally.Counter
	}

	// Scope is a root scope whose metrics Prometheus can scrape. Close it after use.
	Scope struct {
		tally.Scope
		// Handler serves the metrics in the Prometheus text format.
		Handler http.Handler
		closer  io.Closer
	}
)

// New registers the metrics of a node in a scope.
func New(scope tally.Scope) *Meter {
	latencyBuckets := tally.MustMakeExponentialDurationBuckets(100*time.Microsecond, 2, 18)
	detectionBuckets := tally.MustMakeExponentialDurationBuckets(10*time.Millisecond, 2, 18)
	requests := func(outcome string) tally.Counter {
		return scope.Tagged(map[string]string{"outcome": outcome}).Counter("requests")
	}
	return &Meter{
		scope:                scope,
		Answered:             requests("answered"),
		NotRun:               requests("not-run"),
		Unknown:              requests("unknown"),
		Limited:              scope.Counter("limited_requests"),
		KeysRefused:          scope.Counter("refused_keys"),
		KeysUnproved:         scope.Counter("unproved_keys"),
		OverQuota:            scope.Counter("over_quota"),
		QuotaUndecided:       scope.Counter("undecided_quota"),
		QuotaCalls:           scope.Counter("quota_calls"),
		QuotaAccounts:        scope.Gauge("quota_accounts"),
		Retries:              scope.Counter("retries"),
		Hedges:               scope.Counter("hedges"),
		Fences:               scope.Counter("fences"),
		Recovered:            scope.Counter("recovered_answers"),
		InFlight:             scope.Gauge("requests_in_flight"),
		Latency:              scope.Histogram("request_seconds", latencyBuckets),
		AddedLatency:         scope.Histogram("added_seconds", latencyBuckets),
		Queued:               scope.Gauge("queued_attempts"),
		Active:               scope.Gauge("held_attempts"),
		Refused:              scope.Counter("refused_attempts"),
		Ejections:            scope.Counter("ejections"),
		PutLast:              scope.Counter("put_last"),
		Returns:              scope.Counter("returns"),
		Detection:            scope.Histogram("detection_seconds", detectionBuckets),
		Revision:             scope.Gauge("config_revision"),
		Organisations:        scope.Gauge("organisations"),
		APIKeys:              scope.Gauge("organisation_keys"),
		Members:              scope.Gauge("members"),
		ControlBytes:         scope.Counter("control_bytes"),
		StreamPanics:         scope.Counter("stream_panics"),
		StoreCalls:           scope.Counter("store_calls"),
		StoreErrors:          scope.Counter("store_errors"),
		StoreEra:             scope.Gauge("store_era"),
		ProofAge:             scope.Gauge("config_proof_age_seconds"),
		Unproved:             scope.Counter("unproved_requests"),
		Early:                scope.Counter("early_requests"),
		EarlyCanceled:        scope.Counter("canceled_early_requests"),
		PipelineBytes:        scope.Gauge("pipeline_bytes"),
		ZoneCrossingAttempts: scope.Counter("zone_crossing_attempts"),
		ZoneCrossingBytes:    scope.Counter("zone_crossing_bytes"),
	}
}

// Intake returns the metrics of the budget of the listeners that the name stands for.
func (m *Meter) Intake(listeners string) IntakeMeter {
	scope := m.scope.Tagged(map[string]string{"listeners": listeners})
	return IntakeMeter{
		Bytes:       scope.Gauge("intake_bytes"),
		Connections: scope.Gauge("intake_connections"),
		Refused:     scope.Counter("intake_refused"),
		Closed:      scope.Counter("intake_closed"),
	}
}

// NewScope returns a root scope with a Prometheus reporter and the prefix figwick.
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

// Close stops the reporting.
func (s *Scope) Close() error {
	return s.closer.Close()
}
