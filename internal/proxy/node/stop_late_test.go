package node_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/figwick/figwick/internal/fake/fleet"
	"github.com/figwick/figwick/internal/fake/server"
)

// TestStopRefusesSlowRequestsWithoutTarget guards against requests that are passed on late in a
// graceful stop and cut off, on routes without a target latency.
func TestStopRefusesSlowRequestsWithoutTarget(t *testing.T) {
	const takes = 700 * time.Millisecond
	b := startFleet(t, fleet.Config{Nodes: 2, DrainTimeout: stopDrainTimeout}, 2, server.Config{
		Handler: func(http.ResponseWriter, *http.Request) { time.Sleep(takes) },
	})
	for range 2 {
		assert.Equal(t, (<-b.send(b.order(0, "before"))).status, http.StatusOK)
	}
	c := dialCaller(t, b.Nodes[0].Callers)
	_, err := io.WriteString(c, "POST /orders HTTP/1.1\r\nHost: shop.test\r\nContent-Length: 0\r\n")
	assert.NilError(t, err)
	started := time.Now()
	stopped := make(chan error, 1)
	go func() { stopped <- b.Nodes[0].Stop() }()
	// The header is not complete before there is too little time for the request.
	for time.Since(started) < stopDrainTimeout-takes {
		time.Sleep(100 * time.Millisecond)
		_, err := io.WriteString(c, "X-Pad: 1\r\n")
		assert.NilError(t, err)
	}
	_, err = fmt.Fprintf(c, "%s: late\r\n\r\n", server.RequestHeader)
	assert.NilError(t, err)
	response, err := c.receive()
	assert.NilError(t, err, "the request ran %d times", b.runs("late"))
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, b.runs("late"), 0)
	assert.NilError(t, <-stopped)
}
