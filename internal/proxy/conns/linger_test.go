package conns_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestPipelinedRequestKeepsResponse guards against responses that are lost because their
// connection is closed with unread data: TCP then resets it and drops what it has not sent.
func TestPipelinedRequestKeepsResponse(t *testing.T) {
	b := start(t)
	c, reader := b.dial()
	b.send(c, "GET /large HTTP/1.1\r\nHost: shop.test\r\n\r\n")
	<-b.entered
	b.send(c, get)
	b.tracker.Drain()
	b.leave <- struct{}{}
	time.Sleep(200 * time.Millisecond)
	response, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	defer response.Body.Close()
	n, err := io.Copy(io.Discard, response.Body)
	assert.NilError(t, err, "after %d bytes", n)
	assert.Equal(t, n, int64(largeBytes))
	assert.Check(t, response.Close)
	b.awaitRemaining(0)
}
