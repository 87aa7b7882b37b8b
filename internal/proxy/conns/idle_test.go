package conns

import (
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

// TestUnhandledDataKeepsConnection guards against a stop that closes a connection from which data
// has been read that the server has not come to handle, for longer than settleTime.
func TestUnhandledDataKeepsConnection(t *testing.T) {
	clock := clockwork.NewFakeClock()
	for _, state := range []http.ConnState{http.StateNew, http.StateIdle} {
		c := &conn{tracker: NewTracker(clock), state: state, lastRead: clock.Now()}
		clock.Advance(time.Minute)
		assert.Check(t, !c.idle(), "%s, the server is busy", state)
		c.reading = true
		assert.Check(t, c.idle(), "%s, the server waits", state)
	}
}
