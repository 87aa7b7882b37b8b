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
	// OutcomeHeader tells what became of a request that has no answer of a
	// backend server.
	OutcomeHeader = "Figwick-Outcome"
	// NotRun says that the request was not run.
	NotRun = "not-run"
	// Unknown says that the request may have been run.
	Unknown = "unknown"

	problemType = "application/problem+json"
)

type (
	// Problem is an answer of figwick's own, after RFC 9457.
	Problem struct {
		Type    string `json:"type"`
		Title   string `json:"title"`
		Status  int    `json:"status"`
		Detail  string `json:"detail,omitempty"`
		Outcome string `json:"figwick-outcome"`
		// Step and Peer are where the request failed.
		Step string `json:"step,omitempty"`
		Peer string `json:"peer,omitempty"`
	}

	// trouble is a Problem and when to come again.
	trouble struct {
		status int
		step   string
		peer   string
		detail string
		again  time.Duration
	}
)

// notRun answers that the request was not run.
func (x *exchange) notRun(t trouble) {
	x.forget()
	x.server.config.Meter.NotRun.Inc(1)
	events.Emit(x.server.config.Log, events.RequestRefused, "request", x.ask.ID, "service", x.service(),
		"status", t.status, "step", t.step, "peer", t.peer, "detail", t.detail, "attempts", x.plan.Attempts(),
		"waited", x.now().Sub(x.arrived).String(), "repeatable", x.repeatable)
	x.problem(NotRun, t)
}

// unknown answers that the request may have been run.
func (x *exchange) unknown(step, peer, detail string) {
	x.server.config.Meter.Unknown.Inc(1)
	events.Emit(x.server.config.Log, events.OutcomeUnknown, "request", x.ask.ID, "service", x.service(),
		"step", step, "peer", peer, "detail", detail, "method", x.request.Method, "host", x.request.Host)
	status := http.StatusBadGateway
	if !x.server.config.Clock.Now().Before(x.deadline) && !x.deadline.IsZero() {
		status = http.StatusGatewayTimeout
	}
	if x.last.status == http.StatusRequestEntityTooLarge {
		status = x.last.status
	}
	x.problem(Unknown, trouble{status: status, step: step, peer: peer, detail: detail})
}

// service is the one that the request was routed to; empty is none.
func (x *exchange) service() string {
	if x.match.Entry == nil {
		return ""
	}
	return string(x.match.Entry.Name)
}

func (x *exchange) problem(outcome string, t trouble) {
	body, err := json.Marshal(Problem{
		Type:    "about:blank",
		Title:   http.StatusText(t.status),
		Status:  t.status,
		Detail:  t.detail,
		Outcome: outcome,
		Step:    t.step,
		Peer:    t.peer,
	})
	if err != nil {
		panic(err)
	}
	h := x.writer.Header()
	clear(h)
	h.Set("Content-Type", problemType)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	x.server.config.Dialect.Problem(h, x.ask, outcome, t.again)
	x.writer.WriteHeader(t.status)
	_, _ = x.writer.Write(body)
}

func sortedNames[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
