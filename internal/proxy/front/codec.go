package front

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

type (
	// RequestOptions are the per-request options that a caller sets in header
	// fields.
	RequestOptions struct {
		// ID is the caller's id for the request. Empty means none.
		ID string
		// Timeout is how long the caller waits. Zero means that it is not set.
		Timeout time.Duration
		// NonRepeatable marks the request as not repeatable, even if its route
		// is.
		NonRepeatable bool
		// Key is the idempotency key. Empty means none.
		Key string
		// APIKey is the secret that identifies the caller's organisation. Empty means none.
		APIKey string
	}

	// HeaderCodec reads and writes the header fields that callers and the ingress
	// exchange.
	HeaderCodec interface {
		// Read returns the caller's options, or an error that names the invalid
		// field. The options are used for the answer also when there is an error.
		Read(h http.Header) (RequestOptions, error)
		// Forwards reports whether a field is passed on to the backend server.
		// Names have canonical form.
		Forwards(name string) bool
		// Identifies reports whether a field carries an API key or the name of an
		// organisation. Such a field of a caller is never passed on. Names have canonical
		// form.
		Identifies(name string) bool
		// SetProblem adds the fields of an answer made by the ingress: the
		// outcome of the request and the time after which the caller may retry.
		// Zero means that no time is given.
		SetProblem(h http.Header, options RequestOptions, outcome string, retryAfter time.Duration)
	}

	// NativeHeaders is the HeaderCodec of figwick's own header fields.
	NativeHeaders struct{}
)

// Read returns the caller's options.
func (NativeHeaders) Read(h http.Header) (RequestOptions, error) {
	options := RequestOptions{
		NonRepeatable: strings.EqualFold(h.Get(RepeatableHeader), "false"), Key: h.Get(KeyHeader),
		APIKey: OnlyValue(h, APIKeyHeader),
	}
	text := h.Get(TimeoutHeader)
	if text == "" {
		return options, nil
	}
	timeout, err := time.ParseDuration(text)
	if err != nil || timeout <= 0 {
		return options, errors.Newf("%s: %q is not a positive duration such as 1500ms", TimeoutHeader, text)
	}
	options.Timeout = timeout
	return options, nil
}

// Forwards reports whether a field is passed on to the backend server.
func (NativeHeaders) Forwards(name string) bool {
	return name != TimeoutHeader && name != RepeatableHeader
}

// Identifies reports whether a field carries an API key or the name of an organisation.
func (NativeHeaders) Identifies(name string) bool {
	return name == APIKeyHeader || name == OrganisationHeader
}

// OnlyValue returns the value of a header field, or "" if the request has none or several
// of it: with several API keys it would not be clear whose request it is.
func OnlyValue(h http.Header, name string) string {
	values := h.Values(name)
	if len(values) != 1 {
		return ""
	}
	return values[0]
}

// SetProblem sets the outcome, and Retry-After in whole seconds.
func (NativeHeaders) SetProblem(h http.Header, _ RequestOptions, outcome string, retryAfter time.Duration) {
	h.Set(OutcomeHeader, outcome)
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int((retryAfter+time.Second-1)/time.Second)))
	}
}
