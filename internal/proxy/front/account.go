package front

import (
	"net/http"

	"github.com/figwick/figwick/internal/peer/wire"
	"github.com/figwick/figwick/internal/policy/intake"
)

const (
	// exchangeBytes is what a request without a body occupies: the exchange, its goroutines, the
	// stream to the sidecar and the buffers of both.
	exchangeBytes = 16 << 10
	// headerFactor is the memory that the fields of a request occupy for each of their bytes. They
	// are held as http.Header and as the message to the sidecar.
	headerFactor = 4
	// fieldBytes and lineBytes are the bytes of a field and of the request line beside their
	// texts, fieldOverhead the memory that a field occupies beside its text.
	fieldBytes    = 4
	lineBytes     = 12
	fieldOverhead = 64
)

// openAccount charges the process's budget for the request before anything is sent on. If there is no
// room, it answers with 503 and reports false.
func (x *exchange) openAccount() bool {
	account, opened := x.server.config.Guard.Open(intake.Request, requestBytes(x.request), func() {
		if body := x.bodyRef.Load(); body != nil {
			body.evict()
		}
	})
	if !opened {
		x.notRun(failureInfo{
			status: http.StatusServiceUnavailable, step: "intake", retryAfter: overloadRetryAfter,
			detail: "the node holds too much for its callers",
		})
		return false
	}
	x.account = account
	x.account.Proceed()
	return true
}

// requestBytes returns what a request will occupy at most. Of its body that is the replay copy, the same
// at the sidecar, and a frame on each side.
func requestBytes(r *http.Request) int64 {
	n := int64(exchangeBytes + headerFactor*headerSize(r))
	for _, values := range r.Header {
		n += int64(fieldOverhead * len(values))
	}
	if r.ContentLength != 0 {
		n += 2 * (heldBytes(r.ContentLength) + wire.MaxBodyFrameBytes)
	}
	return n
}

// heldBytes returns how much of a body is held at most. A negative length is not known.
func heldBytes(length int64) int64 {
	if length < 0 {
		return maxHeldBytes
	}
	return min(length, maxHeldBytes)
}

// headerSize returns the size of a request's header in HTTP/1.1.
func headerSize(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + lineBytes + len("Host") + len(r.Host) + fieldBytes
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + fieldBytes
		}
	}
	return n
}
