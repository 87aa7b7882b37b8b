package side

import (
	"net/http"
	"time"

	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/peer/wire"
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
	}

	// HeaderCodec reads and writes the header fields that a sidecar and its
	// backend servers exchange.
	HeaderCodec interface {
		// SetRequest adds the fields for the backend server to a request.
		SetRequest(h http.Header, o RequestInfo)
		// Matches reports whether a response belongs to a request.
		Matches(request *http.Request, response *http.Response) bool
		// Classify returns the class of a response. It may remove header fields
		// that are meant for the sidecar.
		Classify(response *http.Response) ResponseClass
	}

	// NativeHeaders is the HeaderCodec of figwick's own header fields.
	NativeHeaders struct{}
)

// SetRequest adds nothing.
func (NativeHeaders) SetRequest(http.Header, RequestInfo) {}

// Matches accepts every response.
func (NativeHeaders) Matches(*http.Request, *http.Response) bool {
	return true
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
