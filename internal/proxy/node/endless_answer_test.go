package node_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/figwick/figwick/internal/fake/fleet"
	"github.com/figwick/figwick/internal/fake/server"
)

const (
	// wholeDeadline is the deadline of the routes in wholeFile. An answer is due answerSlack later.
	wholeDeadline = 700 * time.Millisecond
	answerSlack   = 500 * time.Millisecond
)

// wholeFile adds routes to testFile whose deadline is for the whole answer.
const wholeFile = `
hosts:
  - name: whole.test
    routes:
      - {name: reads, prefix: /reads/, repeatable: true, target-latency: 300ms, deadline: 700ms, parts: [{service: shop}]}
      - {name: orders, prefix: /orders/, target-latency: 300ms, deadline: 700ms, parts: [{service: shop}]}
`

// part writes the start of a response and then more of it each time the returned function is called.
func part(w http.ResponseWriter, r *http.Request) func() {
	if r.URL.Query().Has("length") {
		w.Header().Set("Content-Length", "10000000")
	}
	if r.URL.Query().Has("close") {
		w.Header().Set("Connection", "close")
		w.Header().Set("Transfer-Encoding", "identity")
	}
	piece := strings.Repeat("x", 100<<10)
	return func() {
		_, _ = io.WriteString(w, piece)
		_ = http.NewResponseController(w).Flush()
	}
}

// TestAnswerWithoutEndEndsAtDeadline guards against callers who wait beyond their route's deadline for the
// rest of a response, and against slots that stay taken: the backend server falls silent, or never
// stops sending, after a part of it has been passed on.
func TestAnswerWithoutEndEndsAtDeadline(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/reads/silent", "/reads/endless", "/orders/silent", "/orders/endless"} {
		for _, framing := range []string{"length", "chunked", "close"} {
			for at := range 2 {
				t.Run(fmt.Sprintf("%s %s at node %d", path, framing, at+1), func(t *testing.T) {
					t.Parallel()
					released := make(chan time.Time, 10)
					b := startFleet(t, fleet.Config{Nodes: 2}, 1, server.Config{Handler: func(w http.ResponseWriter, r *http.Request) {
						more := part(w, r)
						more()
						for strings.HasSuffix(r.URL.Path, "/endless") && r.Context().Err() == nil {
							more()
							time.Sleep(10 * time.Millisecond)
						}
						<-r.Context().Done()
						released <- time.Now()
					}})
					assert.NilError(t, b.Apply(b.ctx, []byte(testFile+wholeFile)))
					ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
					defer cancel()
					r := b.request(at, http.MethodGet, path+"?"+framing, nil).WithContext(ctx)
					r.Host = "whole.test"
					sent := time.Now()
					response, err := b.client.Do(r)
					assert.NilError(t, err)
					defer response.Body.Close()
					assert.Equal(t, response.StatusCode, http.StatusOK)
					n, err := io.Copy(io.Discard, response.Body)
					took := time.Since(sent)
					assert.Check(t, n > 0)
					assert.Check(t, err != nil, "the caller takes %d bytes for the whole response", n)
					assert.Check(t, took >= wholeDeadline, "the response ended after %s", took)
					assert.Check(t, took < wholeDeadline+answerSlack, "the response ended after %s", took)
					select {
					case at := <-released:
						assert.Check(t, at.Sub(sent) < wholeDeadline+answerSlack, "the slot was free after %s", at.Sub(sent))
					case <-time.After(5 * time.Second):
						t.Error("the backend server's slot is still taken 5 s after the deadline")
					}
				})
			}
		}
	}
}

// TestCallerThatDoesNotReadEndsAtDeadline guards against a slot that stays taken, and a connection that stays
// open, beyond the deadline of a request whose caller does not read the response.
func TestCallerThatDoesNotReadEndsAtDeadline(t *testing.T) {
	t.Parallel()
	released := make(chan struct{}, 1)
	b := startFleet(t, fleet.Config{Nodes: 2}, 1, server.Config{Handler: func(w http.ResponseWriter, r *http.Request) {
		for more := part(w, r); r.Context().Err() == nil; {
			more()
		}
		released <- struct{}{}
	}})
	assert.NilError(t, b.Apply(b.ctx, []byte(testFile+wholeFile)))
	c := dialCaller(t, b.Nodes[1].Callers)
	_, err := io.WriteString(c, "GET /reads/endless HTTP/1.1\r\nHost: whole.test\r\n\r\n")
	assert.NilError(t, err)
	select {
	case <-released:
	case <-time.After(wholeDeadline + 5*time.Second):
		t.Fatal("the backend server's slot is still taken 5 s after the deadline")
	}
	assert.NilError(t, b.Until(b.ctx, func() bool { return b.Nodes[1].Node.Dump().Front.InFlight == 0 }))
}

// TestDownloadOutlastsDeadline guards against downloads that are broken off at the deadline of their service,
// which is for the head of the response.
func TestDownloadOutlastsDeadline(t *testing.T) {
	t.Parallel()
	b := start(t, 2, 1, server.Config{Handler: func(w http.ResponseWriter, r *http.Request) {
		more := part(w, r)
		for range 5 {
			more()
			time.Sleep(200 * time.Millisecond)
		}
	}})
	r := b.request(1, http.MethodGet, "/lookup", nil)
	r.Header.Set("Figwick-Timeout", "300ms")
	response, err := b.client.Do(r)
	assert.NilError(t, err)
	defer response.Body.Close()
	n, err := io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	assert.Equal(t, n, int64(5*100<<10))
}

// TestAnswerWithoutEndToHTTP10 guards against a caller of HTTP/1.0 that takes a response for whole, since it ends
// with its connection, although it was broken off at the deadline.
func TestAnswerWithoutEndToHTTP10(t *testing.T) {
	t.Parallel()
	b := startFleet(t, fleet.Config{Nodes: 2}, 1, server.Config{Handler: func(w http.ResponseWriter, r *http.Request) {
		part(w, r)()
		<-r.Context().Done()
	}})
	assert.NilError(t, b.Apply(b.ctx, []byte(testFile+wholeFile)))
	c := dialCaller(t, b.Nodes[1].Callers)
	sent := time.Now()
	_, err := io.WriteString(c, "GET /reads/silent HTTP/1.0\r\nHost: whole.test\r\n\r\n")
	assert.NilError(t, err)
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
	n, err := io.Copy(io.Discard, c.reader)
	assert.Check(t, n > 0)
	assert.Check(t, errors.Is(err, syscall.ECONNRESET), "%d bytes end with %v", n, err)
	assert.Check(t, time.Since(sent) < wholeDeadline+answerSlack, "the response ended after %s", time.Since(sent))
}

// TestEndlessAnswerLeavesNothingBehind guards against a sidecar that waits for minutes to send more of a response
// without end after its ingress has left: it keeps the slot, and the ingress keeps what it has received.
func TestEndlessAnswerLeavesNothingBehind(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/reads/endless", "/orders/endless"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			b := startFleet(t, fleet.Config{Nodes: 2}, 1, server.Config{Handler: func(w http.ResponseWriter, r *http.Request) {
				for more := part(w, r); r.Context().Err() == nil; {
					more()
				}
			}})
			assert.NilError(t, b.Apply(b.ctx, []byte(testFile+wholeFile)))
			for range slots {
				c := dialCaller(t, b.Nodes[1].Callers)
				_, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: whole.test\r\n\r\n", path)
				assert.NilError(t, err)
			}
			time.Sleep(wholeDeadline)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if held := b.Nodes[0].Node.Dump().Controller.ActiveAttempts; held > 0 {
					return poll.Continue("%d attempts are still held", held)
				}
				return poll.Success()
			}, poll.WithTimeout(5*time.Second))
		})
	}
}
