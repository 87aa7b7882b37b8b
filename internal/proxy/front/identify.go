package front

import (
	"net/http"
	"time"

	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/peer/wire"
	"github.com/figwick/figwick/internal/state/config"
)

const (
	// maxUnknownKeyAge is the age of the configuration's proof up to which an unknown API
	// key is wrong. Later the key may belong to a configuration that this node lacks.
	maxUnknownKeyAge = 2500 * time.Millisecond
	// unprovedRetryAfter is the Retry-After of a request that was refused because the
	// configuration is not known to be current. Nodes ask for a proof once a second.
	unprovedRetryAfter = 500 * time.Millisecond
	// undecidedRetryAfter is the Retry-After if Quotas names none.
	undecidedRetryAfter = 100 * time.Millisecond
	// keyStep is the step of a refusal because of an API key.
	keyStep = "api-key"
)

// identify finds the organisation of the caller's API key and applies its priority. It
// reports false together with the refusal if the request may not be served. The key is
// part of no message.
func (x *exchange) identify() (failureInfo, bool) {
	x.organisation = nil
	organisation, known := x.match.Table.Organisation(x.options.APIKey)
	switch {
	case !known && x.match.Public:
		return failureInfo{}, true
	case !known && !x.isProvedWithin(maxUnknownKeyAge):
		return failureInfo{
			status: http.StatusServiceUnavailable, step: keyStep, retryAfter: unprovedRetryAfter,
			detail: "the API key is not known here, but this node's configuration may be out of date",
		}, false
	case !known:
		return failureInfo{status: http.StatusUnauthorized, step: keyStep, detail: "the route needs an API key that is known"}, false
	case !x.mayUseKeys():
		return failureInfo{
			status: http.StatusServiceUnavailable, step: keyStep, retryAfter: unprovedRetryAfter,
			detail: "the API key may have been removed: this node's configuration may be out of date",
		}, false
	}
	x.organisation = organisation
	if organisation.Priority != nil {
		x.match.Priority = *organisation.Priority
	}
	return failureInfo{}, true
}

// countRefusedKey updates the metrics of requests that identify has refused.
func (x *exchange) countRefusedKey(failure failureInfo) {
	switch {
	case failure.step != keyStep:
	case failure.status == http.StatusUnauthorized:
		x.server.config.Meter.KeysRefused.Inc(1)
		x.server.usage.keysRefused.Add(1)
	default:
		x.server.config.Meter.KeysUnproved.Inc(1)
		x.server.usage.keysUnproved.Add(1)
	}
}

// isProvedWithin reports whether the configuration was the newest within the last age.
func (x *exchange) isProvedWithin(age time.Duration) bool {
	if x.server.config.Freshness == nil {
		return true
	}
	proved, known := x.server.config.Freshness.ProofAge()
	return known && proved <= age
}

func (x *exchange) mayUseKeys() bool {
	return x.server.config.Freshness == nil || x.server.config.Freshness.MayUseKeys()
}

// takeQuota takes a token of the organisation's quota. It reports false if it has refused
// the request.
func (x *exchange) takeQuota() bool {
	quotas, organisation := x.server.config.Quotas, x.organisation
	if quotas == nil || organisation == nil || organisation.Rate <= 0 {
		return true
	}
	limit := config.Limit{Rate: organisation.Rate, Burst: organisation.Burst}
	verdict := quotas.Take(x.request.Context(), organisation.Name, limit, x.match.TargetLatency)
	switch verdict.Result {
	case QuotaAdmitted:
		x.quotaToken = &verdict.Token
		return true
	case QuotaExceeded:
		x.server.config.Meter.OverQuota.Inc(1)
		x.server.usage.overQuota.Add(1)
		x.notRun(failureInfo{
			status: http.StatusTooManyRequests, step: "quota", retryAfter: max(verdict.RetryAfter, time.Millisecond),
			detail: "the organisation is over its quota",
		})
	default:
		x.server.config.Meter.QuotaUndecided.Inc(1)
		x.server.usage.undecided.Add(1)
		retryAfter := verdict.RetryAfter
		if retryAfter <= 0 {
			retryAfter = undecidedRetryAfter
		}
		x.notRun(failureInfo{
			status: http.StatusServiceUnavailable, step: "quota", retryAfter: retryAfter,
			detail: "it is not known whether the organisation is within its quota",
		})
	}
	return false
}

// returnQuota gives back the token of a request that was not run.
func (x *exchange) returnQuota() {
	if token := x.quotaToken; token != nil {
		x.quotaToken = nil
		x.server.config.Quotas.Return(x.organisation.Name, *token)
	}
}

// isWithheld reports whether a field of the caller, by its canonical name, carries an API
// key or an organisation and is therefore not passed on. It does not depend on the
// configuration: callers may have keys of a newer one than this node.
func (x *exchange) isWithheld(name string) bool {
	return x.server.config.HeaderCodec.Identifies(name)
}

// organisationName returns the name of the caller's organisation, or "" if it has none.
func (x *exchange) organisationName() string {
	if x.organisation == nil {
		return ""
	}
	return string(x.organisation.Name)
}

// identifiedCaller returns the caller's id where the service's caller header is one that
// carries an API key or an organisation: the name of the organisation, or the caller's IP
// address.
func (x *exchange) identifiedCaller() ident.Caller {
	if x.organisation == nil {
		return ident.Caller(hostOf(x.request.RemoteAddr))
	}
	return ident.Caller(x.organisation.Name)
}

// keyOwner returns the caller by which an idempotency key is recorded. It contains the
// organisation, since a caller of another organisation must not receive the stored answer.
func (x *exchange) keyOwner() ident.Caller {
	if x.organisation == nil {
		return x.callerID()
	}
	return "organisation/" + ident.Caller(x.organisation.Name) + "/" + x.callerID()
}

// forwardedTrailers returns the trailer fields for the backend server.
func (x *exchange) forwardedTrailers() []*wire.Header {
	fields := wire.FromHeader(x.request.Trailer)
	kept := fields[:0]
	for _, field := range fields {
		if !x.isWithheld(field.Name) {
			kept = append(kept, field)
		}
	}
	return kept
}
