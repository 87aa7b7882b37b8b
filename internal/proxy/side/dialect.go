package side

import (
	"net/http"
	"time"

	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/peer/wire"
)

// What an answer of a backend server says.
const (
	// Whole answers are the backend server's, whatever their status.
	Whole Reading = iota
	// NotRun answers vouch that the request was not run.
	NotRun
	// Absent answers vouch that it was not run because another backend server
	// has the address.
	Absent
	// Unproven answers cannot be passed on as the backend server's.
	Unproven
)

type (
	// Reading is what an answer of a backend server says.
	Reading int

	// Order is what a backend server is told of a request.
	Order struct {
		Server ident.Backend
		// Left is the time left to the deadline.
		Left time.Duration
		// Origin is the service on whose VM the request began.
		Origin ident.Service
	}

	// Dialect reads and writes the header fields by which a sidecar and its
	// backend servers speak to each other.
	Dialect interface {
		// Ask adds what a backend server is told of a request.
		Ask(h http.Header, o Order)
		// Ours tells whether an answer belongs to a request.
		Ours(request *http.Request, response *http.Response) bool
		// Read tells what an answer says, and removes what ends here.
		Read(response *http.Response) Reading
	}

	// Plain is figwick's own Dialect.
	Plain struct{}
)

// Ask adds nothing.
func (Plain) Ask(http.Header, Order) {}

// Ours believes every answer.
func (Plain) Ours(*http.Request, *http.Response) bool {
	return true
}

// Read tells whether a backend server refused the request for load and vouches
// that it did not run it.
func (Plain) Read(r *http.Response) Reading {
	outcome := r.Header.Get(outcomeHeader)
	r.Header.Del(outcomeHeader)
	if r.StatusCode == http.StatusServiceUnavailable && outcome == outcomeNotRun {
		return NotRun
	}
	return Whole
}

// reasonOf is the refusal that an answer which vouches for it leads to.
func (r Reading) reasonOf() wire.Reason {
	if r == Absent {
		return wire.Reason_REASON_NO_BACKEND
	}
	return wire.Reason_REASON_BUSY
}
