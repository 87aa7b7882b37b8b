package node_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/figwick/figwick/internal/fake/server"
)

// TestEarlyResponseKeepsBodyWhole guards against a backend server that answers before it
// has read the whole body, and then gets other bytes or a false end in place of the rest.
func TestEarlyResponseKeepsBodyWhole(t *testing.T) {
	type received struct {
		body []byte
		err  error
	}
	const firstPart = "first part."
	got := make(chan received, 1)
	b := start(t, 2, 1, server.Config{Handler: func(w http.ResponseWriter, r *http.Request) {
		assert.Check(t, http.NewResponseController(w).EnableFullDuplex())
		first := make([]byte, len(firstPart))
		_, _ = io.ReadFull(r.Body, first)
		_, _ = w.Write(make([]byte, 200<<10))
		_ = http.NewResponseController(w).Flush()
		rest, err := io.ReadAll(r.Body)
		got <- received{append(first, rest...), err}
	}})
	c := dialCaller(t, b.Nodes[1].Callers)
	_, err := fmt.Fprintf(c, "POST /orders HTTP/1.1\r\nHost: shop.test\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(firstPart), firstPart)
	assert.NilError(t, err)
	time.Sleep(300 * time.Millisecond)
	sent := []byte(firstPart)
	for i := range 20 {
		part := fmt.Sprintf("part %4d.", i)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(part), part); err != nil {
			break
		}
		sent = append(sent, part...)
		time.Sleep(2 * time.Millisecond)
	}
	_, _ = io.WriteString(c, "0\r\n\r\n")
	r := <-got
	assert.Check(t, bytes.HasPrefix(sent, r.body), "sent %q, the backend server got %q", sent, r.body)
	assert.Check(t, r.err != nil || bytes.Equal(sent, r.body), "sent %q, the backend server got %q as a whole", sent, r.body)
}
