package back_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/figwick/figwick/internal/proxy/back"
)

const (
	idHeader = "X-Id"
	// loopbackDelay is ample time for bytes to pass through the loopback
	// interface.
	loopbackDelay = 200 * time.Millisecond
)

type (
	// connHandler plays the backend server on one connection. The connection is
	// closed when it returns.
	connHandler func(c *serverConn)

	// serverConn is the backend server's end of a connection.
	serverConn struct {
		net.Conn
		reader *bufio.Reader
	}

	// testServer is a backend server and a Pool that connects to it.
	testServer struct {
		t       *testing.T
		pool    *back.Pool
		clock   *clockwork.FakeClock
		address string
		// conns counts the accepted connections.
		conns atomic.Int64
	}
)

// readRequest reads a request to its end and returns its id. It returns an empty id
// if there is none.
func (c *serverConn) readRequest() string {
	r, err := http.ReadRequest(c.reader)
	if err != nil {
		return ""
	}
	_, _ = io.Copy(io.Discard, r.Body)
	return r.Header.Get(idHeader)
}

func (c *serverConn) respond(id, body, header string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n%s\r\n%s", idHeader, id, len(body), header, body)
}

// serve starts a backend server that runs handle on each connection.
func serve(t *testing.T, handle connHandler) *testServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	f := &testServer{t: t, clock: clockwork.NewFakeClock(), address: l.Addr().String()}
	f.pool = back.NewPool(back.Config{Clock: f.clock, Matches: func(r *http.Request, a *http.Response) back.Match {
		if a.Header.Get(idHeader) == r.Header.Get(idHeader) {
			return back.Own
		}
		return back.Other
	}})
	t.Cleanup(func() {
		f.pool.Close()
		_ = l.Close()
	})
	go func() {
		for {
			raw, err := l.Accept()
			if err != nil {
				return
			}
			f.conns.Add(1)
			go func() {
				defer raw.Close()
				handle(&serverConn{Conn: raw, reader: bufio.NewReader(raw)})
			}()
		}
	}()
	return f
}

// roundTrip sends a request and returns the body of its response.
func (f *testServer) roundTrip(ctx context.Context, id string, body io.Reader) (string, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.address+"/x", body)
	assert.NilError(f.t, err)
	r.Header.Set(idHeader, id)
	response, err := f.pool.Do(ctx, f.address, r, back.Options{})
	if err != nil {
		return "", err
	}
	text, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	return string(text), err
}

// expect sends a request and checks the body of its response.
func (f *testServer) expect(id, text string) {
	f.t.Helper()
	got, err := f.roundTrip(f.t.Context(), id, strings.NewReader("body"))
	assert.NilError(f.t, err)
	assert.Equal(f.t, got, text)
}

// echo responds to each request with its id.
func echo(c *serverConn) {
	for id := c.readRequest(); id != ""; id = c.readRequest() {
		c.respond(id, "to "+id, "")
	}
}

func TestConnectionIsReused(t *testing.T) {
	f := serve(t, echo)
	for i := range 5 {
		id := fmt.Sprint(i)
		f.expect(id, "to "+id)
	}
	assert.Equal(t, f.conns.Load(), int64(1))
}

func TestConnectionIsNotReused(t *testing.T) {
	for _, c := range []struct {
		name   string
		handle connHandler
		after  time.Duration
	}{
		{"idle for longer than the Keep-Alive timeout allows", func(c *serverConn) {
			c.respond(c.readRequest(), "ok", "Keep-Alive: timeout=2\r\n")
			c.readRequest()
		}, 1600 * time.Millisecond},
		{"the response says Connection: close", func(c *serverConn) {
			c.respond(c.readRequest(), "ok", "Connection: close\r\n")
			c.readRequest()
		}, 0},
		{"the server has closed it", func(c *serverConn) { c.respond(c.readRequest(), "ok", "") }, 0},
		{"bytes have arrived after the response", func(c *serverConn) {
			c.respond(c.readRequest(), "ok", "")
			c.respond("stray", "stray", "")
			c.readRequest()
		}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := serve(t, c.handle)
			f.expect("1", "ok")
			// Let what the server does after its response arrive.
			time.Sleep(loopbackDelay)
			f.clock.Advance(c.after)
			f.expect("2", "ok")
			assert.Equal(t, f.conns.Load(), int64(2))
		})
	}
}

// TestResponseToAnotherRequest: an extra response that arrives before the expected
// one is skipped, and the connection is not reused.
func TestResponseToAnotherRequest(t *testing.T) {
	f := serve(t, func(c *serverConn) {
		id := c.readRequest()
		c.respond("earlier", "not yours", "")
		c.respond(id, "yours", "")
		c.readRequest()
	})
	f.expect("1", "yours")
	f.expect("2", "yours")
	assert.Equal(t, f.conns.Load(), int64(2))
}

// TestResponseWithoutLength: a response that ends with its connection is complete if
// the connection is closed, and an error if it is reset.
func TestResponseWithoutLength(t *testing.T) {
	for name, reset := range map[string]bool{"ended": false, "reset": true} {
		t.Run(name, func(t *testing.T) {
			f := serve(t, func(c *serverConn) {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n\r\nsome", idHeader, c.readRequest())
				if tcp, ok := c.Conn.(*net.TCPConn); ok && reset {
					time.Sleep(loopbackDelay)
					_ = tcp.SetLinger(0)
				}
			})
			text, err := f.roundTrip(t.Context(), "1", strings.NewReader("body"))
			assert.Equal(t, text, "some")
			assert.Equal(t, err != nil, reset)
		})
	}
}

// TestResponseBeforeWholeRequest: a connection is not reused if its request was not
// sent whole. The server would read the next request as the rest of the body.
func TestResponseBeforeWholeRequest(t *testing.T) {
	f := serve(t, func(c *serverConn) {
		r, err := http.ReadRequest(c.reader)
		if err != nil {
			return
		}
		c.respond(r.Header.Get(idHeader), "early", "")
		_, _ = io.Copy(io.Discard, c.reader)
	})
	body, bodyWriter := io.Pipe()
	defer bodyWriter.Close()
	text, err := f.roundTrip(t.Context(), "1", body)
	assert.NilError(t, err)
	assert.Equal(t, text, "early")
	secondBody, secondWriter := io.Pipe()
	defer secondWriter.Close()
	_, err = f.roundTrip(t.Context(), "2", secondBody)
	assert.NilError(t, err)
	assert.Equal(t, f.conns.Load(), int64(2))
}

func TestConnectFailureIsUnsent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	_ = l.Close()
	pool := back.NewPool(back.Config{Clock: clockwork.NewRealClock()})
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+l.Addr().String(), http.NoBody)
	assert.NilError(t, err)
	_, err = pool.Do(t.Context(), l.Addr().String(), r, back.Options{})
	assert.Check(t, errors.Is(err, back.ErrUnsent))
}

func TestSentWithoutResponseIsNotUnsent(t *testing.T) {
	f := serve(t, func(c *serverConn) { c.readRequest() })
	_, err := f.roundTrip(t.Context(), "1", strings.NewReader("body"))
	assert.Check(t, err != nil && !errors.Is(err, back.ErrUnsent))
}

// TestContextEndClosesConnection: the end of the context closes the connection, so
// that the backend server can stop working on the request.
func TestContextEndClosesConnection(t *testing.T) {
	gone := make(chan struct{})
	f := serve(t, func(c *serverConn) {
		c.readRequest()
		_, _ = c.reader.ReadByte()
		close(gone)
	})
	ctx, cancel := context.WithCancelCause(t.Context())
	cause := errors.New("given up")
	time.AfterFunc(50*time.Millisecond, func() { cancel(cause) })
	_, err := f.roundTrip(ctx, "1", strings.NewReader("body"))
	assert.Check(t, errors.Is(err, cause))
	<-gone
}

// TestFailingRequestBody: an error from the request body ends the exchange at once.
func TestFailingRequestBody(t *testing.T) {
	f := serve(t, func(c *serverConn) { c.readRequest() })
	body, bodyWriter := io.Pipe()
	go func() {
		_, _ = bodyWriter.Write(make([]byte, 100))
		_ = bodyWriter.CloseWithError(io.ErrUnexpectedEOF)
	}()
	_, err := f.roundTrip(t.Context(), "1", body)
	assert.Check(t, err != nil)
}
