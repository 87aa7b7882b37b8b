package front

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

type (
	// Ask is what a caller says of its request in header fields.
	Ask struct {
		// ID is the caller's own name for the request; empty is none.
		ID string
		// Timeout is how long the caller waits; zero is not said.
		Timeout time.Duration
		// Once tells that the request must not repeat, whatever its route says.
		Once bool
		// Key names the request over several submissions; empty is none.
		Key string
	}

	// Dialect reads and writes the header fields by which callers and the
	// ingress speak to each other.
	Dialect interface {
		// Read returns what a caller asks for, or an error that names the field.
		Read(h http.Header) (Ask, error)
		// Keeps tells whether a field goes on to the backend server.
		Keeps(name string) bool
		// Problem adds the fields of an answer of the ingress's own: what became
		// of the request, and after which pause it may come again (zero: not
		// said).
		Problem(h http.Header, ask Ask, outcome string, again time.Duration)
	}

	// Plain is figwick's own Dialect.
	Plain struct{}
)

// Read returns what a caller asks for.
func (Plain) Read(h http.Header) (Ask, error) {
	ask := Ask{Once: strings.EqualFold(h.Get(RepeatableHeader), "false"), Key: h.Get(KeyHeader)}
	text := h.Get(TimeoutHeader)
	if text == "" {
		return ask, nil
	}
	timeout, err := time.ParseDuration(text)
	if err != nil || timeout <= 0 {
		return ask, errors.Newf("%s: %q is not a positive duration such as 1500ms", TimeoutHeader, text)
	}
	ask.Timeout = timeout
	return ask, nil
}

// Keeps tells whether a field goes on to the backend server.
func (Plain) Keeps(name string) bool {
	return name != TimeoutHeader && name != RepeatableHeader
}

// Problem adds the outcome, and the pause in whole seconds.
func (Plain) Problem(h http.Header, _ Ask, outcome string, again time.Duration) {
	h.Set(OutcomeHeader, outcome)
	if again > 0 {
		h.Set("Retry-After", strconv.Itoa(int((again+time.Second-1)/time.Second)))
	}
}
