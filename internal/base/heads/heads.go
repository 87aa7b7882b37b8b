package heads

import (
	"net/http"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// maxStatus is the highest status of HTTP.
const maxStatus = 599

// ErrBroken marks a response that cannot be relied on. The request may have been run.
var ErrBroken = errors.New("heads: broken response")

// Check returns an error that matches ErrBroken if the head of a response cannot be relied on.
func Check(r *http.Response) error {
	if !IsFinal(r.StatusCode) {
		return errors.Wrapf(ErrBroken, "status %03d", r.StatusCode)
	}
	return CheckFields(r.Header)
}

// CheckFields returns an error that matches ErrBroken if the name of a field in a header or in trailers is none. A
// trailer that was announced and not sent has no values, and is not checked.
func CheckFields(h http.Header) error {
	for name, values := range h {
		if len(values) > 0 && !httpguts.ValidHeaderFieldName(name) {
			return errors.Wrapf(ErrBroken, "field with the name %q", name)
		}
	}
	return nil
}

// IsFinal reports whether a status is that of a final response. A lower one is that of an informational response
// or none.
func IsFinal(status int) bool {
	return status >= http.StatusOK && status <= maxStatus
}
