package side

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/peer/wire"
	"github.com/figwick/figwick/internal/policy/admit"
	"github.com/figwick/figwick/internal/proxy/back"
)

// The classes of a backend server's response.
const (
	// Valid responses come from the expected backend server, whatever their
	// status.
	Valid ResponseClass = iota
	// NotRun responses assert that the request was not run.
	NotRun
	// WrongServer responses assert that it was not run because another backend
	// server has the address.
	WrongServer
	// Unverified responses cannot be passed on as the backend server's.
	Unverified
)

type (
	// ResponseClass says how the sidecar treats a backend server's response.
	ResponseClass int

	// RequestInfo is what a HeaderCodec may add to a request for a backend
	// server.
	RequestInfo struct {
		Server ident.Backend
		// TimeLeft is the time left until the deadline.
		TimeLeft time.Duration
		// Origin is the service on whose VM the request was made. Empty means
		// none.
		Origin ident.Service
		// Organisation is the one to which the caller's API key belongs. Empty means
		// none.
		Organisation ident.Organisation
	}

	// HeaderCodec reads and writes the header fields that a sidecar and its
	// backend servers exchange.
	HeaderCodec interface {
		// SetRequest adds the fields for the backend server to a request.
		SetRequest(h http.Header, o RequestInfo)
		// Identifies reports whether a field of a caller carries an API key or the name of
		// an organisation. Such a field is removed from a request before SetRequest, also
		// from its trailers. Names have canonical form.
		Identifies(name string) bool
		// Matches reports whether a response belongs to a request.
		Matches(request *http.Request, response *http.Response) back.Match
		// Notice returns what the backend server says of itself in a response. It may
		// remove header fields that are meant for the sidecar.
		Notice(response *http.Response) admit.Notice
		// Classify returns the class of a response. It may remove header fields
		// that are meant for the sidecar.
		Classify(response *http.Response) ResponseClass
	}

	// NativeHeaders is the HeaderCodec of figwick's own header fields.
	NativeHeaders struct{}
)

// SetRequest sets "Figwick-Organisation" if the request has an organisation.
func (NativeHeaders) SetRequest(h http.Header, info RequestInfo) {
	if info.Organisation != "" {
		h.Set(organisationHeader, string(info.Organisation))
	}
}

// Identifies reports whether a field carries an API key or the name of an organisation.
func (NativeHeaders) Identifies(name string) bool {
	return name == apiKeyHeader || name == organisationHeader
}

// Matches accepts every response.
func (NativeHeaders) Matches(*http.Request, *http.Response) back.Match {
	return back.Own
}

// Notice reads "Figwick-Rate-Limit", the requests per second that the backend server
// takes, and "Figwick-Leaving: 1". It removes both fields.
func (NativeHeaders) Notice(r *http.Response) admit.Notice {
	n := admit.Notice{
		Leaving: slices.Contains(r.Header.Values(leavingHeader), "1"),
		Limit:   ParseLimit(r.Header.Values(rateLimitHeader)),
	}
	r.Header.Del(leavingHeader)
	r.Header.Del(rateLimitHeader)
	return n
}

// ParseLimit returns the limit in the values of a header field: a decimal number such as
// 12 or 0.5, in requests per second. Of several numbers the lowest counts. The limit is
// unreadable if any value is something else, such as a negative number or an exponent.
func ParseLimit(values []string) admit.Limit {
	var limit admit.Limit
	for _, text := range values {
		perSecond, ok := parseDecimal(text)
		if !ok {
			return admit.Limit{Unreadable: true}
		}
		if !limit.Named || perSecond < limit.PerSecond {
			limit = admit.Limit{Named: true, PerSecond: perSecond}
		}
	}
	return limit
}

// parseDecimal parses digits with at most one decimal point.
func parseDecimal(text string) (float64, bool) {
	for _, c := range text {
		if c != '.' && (c < '0' || c > '9') {
			return 0, false
		}
	}
	number, err := strconv.ParseFloat(text, 64)
	return number, err == nil
}

// Classify returns NotRun for a 503 with "Figwick-Outcome: not-run", by which a
// backend server refuses a request because of load. It removes that field.
func (NativeHeaders) Classify(r *http.Response) ResponseClass {
	outcome := r.Header.Get(outcomeHeader)
	r.Header.Del(outcomeHeader)
	if r.StatusCode == http.StatusServiceUnavailable && outcome == outcomeNotRun {
		return NotRun
	}
	return Valid
}

// refusalReason returns the reason of the refusal that a NotRun or WrongServer
// response leads to.
func (r ResponseClass) refusalReason() wire.Reason {
	if r == WrongServer {
		return wire.Reason_REASON_NO_BACKEND
	}
	return wire.Reason_REASON_BUSY
}
