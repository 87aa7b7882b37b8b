package front

import (
	"cmp"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/figwick/figwick/internal/base/events"
)

const (
	// OutcomeHeader carries the outcome of a request on every answer that is not
	// a backend server's response.
	OutcomeHeader = "Figwick-Outcome"
	// OutcomeNotRun says that the request was not run. It is safe to send again.
	OutcomeNotRun = "not-run"
	// OutcomeUnknown says that the request may have been run.
	OutcomeUnknown = "unknown"

	problemType = "application/problem+json"
	// keyScheme is the challenge that RFC 9110 requires in a 401. It has no registered scheme
	// for a bare key in a field of its own.
	keyScheme = "ApiKey"
)

type (
	// Problem is the body of an answer made by the ingress, as in RFC 9457.
	Problem struct {
		Type    string `json:"type"`
		Title   string `json:"title"`
		Status  int    `json:"status"`
		Detail  string `json:"detail,omitempty"`
		Outcome string `json:"figwick-outcome"`
		// Step is where in the ingress or sidecar the request failed, Peer the
		// address of the sidecar or the component that was involved.
		Step string `json:"step,omitempty"`
		Peer string `json:"peer,omitempty"`
	}

	// failureInfo describes a failure for a Problem. retryAfter is when the
	// caller may retry; zero means that no time is given.
	failureInfo struct {
		status     int
		step       string
		peer       string
		detail     string
		retryAfter time.Duration
	}
)

// notRun answers that the request was not run. It releases its idempotency key and returns
// its organisation's token. If the request may have run in any attempt, it answers that instead.
func (x *exchange) notRun(failure failureInfo) {
	if x.plan.MayHaveRun() {
		x.unknown(failure.step, failure.peer, failure.detail)
		return
	}
	x.releaseKey()
	x.returnQuota()
	x.server.config.Meter.NotRun.Inc(1)
	fields := []any{
		"request", x.options.ID, "service", x.service(),
		"status", failure.status, "step", failure.step, "peer", failure.peer, "detail", failure.detail, "attempts", x.plan.Attempts(),
		"waited", x.now().Sub(x.arrived).String(), "repeatable", x.repeatable,
	}
	if x.organisation != nil {
		fields = append(fields, "organisation", x.organisationName())
	}
	events.Emit(x.server.config.Log, events.RequestRefused, fields...)
	x.problem(OutcomeNotRun, failure)
}

// unknown answers that the request may have been run. The status is 504 after the
// deadline and 413 for a body that was too large, else 502.
func (x *exchange) unknown(step, peer, detail string) {
	x.server.config.Meter.Unknown.Inc(1)
	events.Emit(x.server.config.Log, events.OutcomeUnknown, "request", x.options.ID, "service", x.service(),
		"step", step, "peer", peer, "detail", detail, "method", x.request.Method, "host", x.request.Host,
		"attempts", x.plan.Attempts(), "waited", x.now().Sub(x.arrived).String(), "repeatable", x.repeatable,
		"cut-by-stop", x.isCutByStop())
	status := http.StatusBadGateway
	if !x.server.config.Clock.Now().Before(x.deadline) && !x.deadline.IsZero() {
		status = http.StatusGatewayTimeout
	}
	if x.lastFailure.status == http.StatusRequestEntityTooLarge {
		status = x.lastFailure.status
	}
	x.problem(OutcomeUnknown, failureInfo{status: status, step: step, peer: peer, detail: detail})
}

// service returns the name of the matched service, or "" if none has matched.
func (x *exchange) service() string {
	if x.match.Entry == nil {
		return ""
	}
	return string(x.match.Entry.Name)
}

// problem writes a Problem to the caller. It discards the header fields set so
// far.
func (x *exchange) problem(outcome string, failure failureInfo) {
	body, err := json.Marshal(Problem{
		Type:    "about:blank",
		Title:   http.StatusText(failure.status),
		Status:  failure.status,
		Detail:  failure.detail,
		Outcome: outcome,
		Step:    failure.step,
		Peer:    failure.peer,
	})
	if err != nil {
		panic(err)
	}
	h := x.writer.Header()
	clear(h)
	x.settleBody()
	h.Set("Content-Type", problemType)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if failure.status == http.StatusUnauthorized {
		h.Set("Www-Authenticate", keyScheme)
	}
	x.server.config.HeaderCodec.SetProblem(h, x.options, outcome, failure.retryAfter)
	x.writer.WriteHeader(failure.status)
	_, _ = x.writer.Write(body)
}

func sortedNames[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
