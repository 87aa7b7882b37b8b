package front

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/figwick/figwick/internal/base/eval"
	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/peer/wire"
	"github.com/figwick/figwick/internal/policy/limit"
	"github.com/figwick/figwick/internal/policy/retry"
)

// accept validates the request, matches it to a service and applies the caller's
// limit. It reports false if it has answered the request itself.
func (x *exchange) accept() bool {
	r := x.request
	// The options are read first, since every answer carries the caller's request
	// id, also that to an invalid request.
	options, err := x.server.config.HeaderCodec.Read(r.Header)
	x.options = options
	if err != nil {
		x.notRun(failureInfo{status: http.StatusBadRequest, step: "accept", detail: err.Error()})
		return false
	}
	if r.Method == http.MethodConnect || isUpgrade(r) {
		x.notRun(failureInfo{status: http.StatusNotImplemented, step: "accept", detail: "CONNECT and Upgrade are not served"})
		return false
	}
	if table := x.server.Table(); table != nil {
		if size := headerSize(r); size > table.Intake.MaxHeaderBytes {
			x.notRun(failureInfo{
				status: http.StatusRequestHeaderFieldsTooLarge, step: "accept",
				detail: fmt.Sprintf("the header has %d bytes, more than %d", size, table.Intake.MaxHeaderBytes),
			})
			return false
		}
	}
	if failure, ok := x.findRoute(); !ok {
		x.countRefusedKey(failure)
		x.notRun(failure)
		return false
	}
	x.applyOptions()
	if x.refuseOutlasting() {
		return false
	}
	if r.ContentLength > x.match.MaxBodyBytes {
		x.notRun(failureInfo{
			status: http.StatusRequestEntityTooLarge, step: "accept",
			detail: fmt.Sprintf("the body has more than %d bytes", x.match.MaxBodyBytes),
		})
		return false
	}
	if !x.openAccount() {
		return false
	}
	x.preparePlan()
	return x.checkLimit() && x.takeQuota()
}

// findRoute matches the request to a service and, if the configuration names
// organisations, the caller's key to its organisation. It reports false together with the
// refusal if it can't.
func (x *exchange) findRoute() (failureInfo, bool) {
	r := x.request
	for {
		table := x.server.Table()
		if table == nil {
			return failureInfo{
				status: http.StatusServiceUnavailable, step: "accept", retryAfter: overloadRetryAfter,
				detail: "this node has no configuration yet",
			}, false
		}
		match, found := table.Match(r.Host, r.Method, targetPath(r), x.server.config.Random.Float64())
		if !found {
			return failureInfo{status: http.StatusNotFound, step: "route", detail: fmt.Sprintf("no service for host %q", r.Host)}, false
		}
		x.match = match
		if !table.HasOrganisations() {
			return failureInfo{}, true
		}
		failure, ok := x.identify()
		// The proof that identify has relied on may be that of a newer table.
		if x.server.Table() == table {
			return failure, ok
		}
	}
}

// settleBody ends the reading of the caller's body for attempts before the response begins, so that
// the response does not wait for it. With HTTP/2 both are independent.
func (x *exchange) settleBody() {
	switch {
	case x.request.ProtoMajor != 1:
	case x.body != nil:
		if !x.body.settle() {
			x.closeAfterResponse()
		}
	case x.request.ContentLength != 0:
		// No attempt has been made, so that nothing is under way that the deadline could cancel.
		_ = http.NewResponseController(x.writer).SetReadDeadline(time.Now().Add(bodyRestTime))
	}
}

// closeAfterResponse makes the response the last on its connection. net/http sends it while the
// request's body is still being read.
func (x *exchange) closeAfterResponse() {
	x.writer.Header().Set("Connection", "close")
	if err := http.NewResponseController(x.writer).EnableFullDuplex(); err != nil {
		x.server.config.Log.Warn("the response waits for the rest of the request", "request", x.options.ID, "error", err)
	}
}

// targetPath returns the request's path in the form in which the request line has
// it, without decoding.
func targetPath(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		target, _, _ := strings.Cut(r.RequestURI, "?")
		return target
	}
	return r.URL.EscapedPath()
}

// applyOptions combines the caller's options with the route's settings.
func (x *exchange) applyOptions() {
	options := x.options
	x.repeatable = x.match.Repeatable && !options.NonRepeatable
	timeout := x.match.Deadline
	if options.Timeout > 0 {
		timeout = min(timeout, max(options.Timeout-x.server.config.DeadlineMargin, options.Timeout/2))
	}
	x.deadline = x.arrived.Add(timeout)
	x.headers = x.forwardedHeaders()
}

// preparePlan sets up the plan of attempts and adds the request's share to the
// retry budget.
func (x *exchange) preparePlan() {
	x.server.withService(x.match.Entry.Name, func(t eval.Context, svc *service) {
		svc.lastRequest = t.Now
		svc.budget.Earn(t.Now, x.match.Entry.Retry.BudgetPercent)
		x.plan = retry.Plan{
			Repeatable:  x.repeatable,
			MaxAttempts: x.match.Attempts,
			Deadline:    x.deadline,
		}
		if !x.server.config.SidecarRetryBudget {
			x.plan.Budget = &svc.budget
		}
		if x.server.config.NoWaitTries > 0 {
			x.plan.MaxRefused = maxRefused
			x.noWait = true
		}
	})
}

// checkLimit applies the caller's rate limit. It reports false if it has answered
// the request with 429.
func (x *exchange) checkLimit() bool {
	e := x.match.Entry
	caller := x.callerID()
	rate, limited := x.match.Table.Limit(e, caller)
	if !limited {
		return true
	}
	allowed := false
	var retryAfter time.Duration
	x.server.WithLimits(func(now time.Time, local *limit.Limiter) {
		key := limit.Key{Service: e.Name, Caller: caller}
		allowed, retryAfter = local.Allow(now, key, limit.Rate{PerSecond: rate.Rate, Burst: rate.Burst})
	})
	if allowed {
		return true
	}
	x.server.config.Meter.Limited.Inc(1)
	x.notRun(failureInfo{
		status: http.StatusTooManyRequests, step: "limit", retryAfter: max(retryAfter, time.Millisecond),
		detail: fmt.Sprintf("caller %q is over its limit of %g requests a second", caller, rate.Rate),
	})
	return false
}

// callerID returns the caller's id from the service's caller header. Without one
// it is the caller's IP address.
func (x *exchange) callerID() ident.Caller {
	if name := x.match.Entry.Limits.CallerHeader; name != "" {
		if x.isWithheld(http.CanonicalHeaderKey(name)) {
			return x.identifiedCaller()
		}
		if id := x.request.Header.Get(name); id != "" {
			return ident.Caller(id)
		}
	}
	return ident.Caller(hostOf(x.request.RemoteAddr))
}

// forwardedHeaders returns the header fields for the backend server: the caller's
// fields except those meant for the ingress, with the caller's address appended
// to X-Forwarded-For.
func (x *exchange) forwardedHeaders() []*wire.Header {
	h := x.request.Header
	fields := wire.FromHeader(h)
	kept := fields[:0]
	for _, field := range fields {
		if field.Name == "Expect" || field.Name == "X-Forwarded-For" ||
			!x.server.config.HeaderCodec.Forwards(field.Name) || x.isWithheld(field.Name) {
			continue
		}
		kept = append(kept, field)
	}
	if h.Get("Te") == "trailers" {
		kept = append(kept, &wire.Header{Name: "Te", Value: []byte("trailers")})
	}
	forwardedFor := append(append([]string{}, h["X-Forwarded-For"]...), hostOf(x.request.RemoteAddr))
	return append(kept, &wire.Header{Name: "X-Forwarded-For", Value: []byte(strings.Join(forwardedFor, ", "))})
}

// hostOf returns the host of an address, or the whole address if it has no port.
func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

func isUpgrade(r *http.Request) bool {
	return r.Header.Get("Upgrade") != "" || r.Method == http.MethodConnect
}
