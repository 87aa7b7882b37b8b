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
	// arrival is ample time for bytes to cross the loopback.
	arrival = 200 * time.Millisecond
)

type (
	// script is what a backend server does with one connection.
	script func(c *peer)

	// peer is the far end of one connection.
	peer struct {
		net.Conn
		reader *bufio.Reader
	}

	fixture struct {
		t       *testing.T
		pool    *back.Pool
		clock   *clockwork.FakeClock
		address string
		conns   atomic.Int64
	}
)

// request reads one request to its end and returns its id.
func (c *peer) request() string {
	r, err := http.ReadRequest(c.reader)
	if err != nil {
		return ""
	}
	_, _ = io.Copy(io.Discard, r.Body)
	return r.Header.Get(idHeader)
}

func (c *peer) answer(id, body, header string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n%s\r\n%s", idHeader, id, len(body), header, body)
}

// serve starts a backend server that plays a script on each connection.
func serve(t *testing.T, play script) *fixture {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	f := &fixture{t: t, clock: clockwork.NewFakeClock(), address: l.Addr().String()}
	f.pool = back.NewPool(back.Config{Clock: f.clock, Ours: func(r *http.Request, a *http.Response) bool {
		return a.Header.Get(idHeader) == r.Header.Get(idHeader)
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
				play(&peer{Conn: raw, reader: bufio.NewReader(raw)})
			}()
		}
	}()
	return f
}

func (f *fixture) do(ctx context.Context, id string, body io.Reader) (string, error) {
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

func (f *fixture) want(id, text string) {
	f.t.Helper()
	got, err := f.do(f.t.Context(), id, strings.NewReader("body"))
	assert.NilError(f.t, err)
	assert.Equal(f.t, got, text)
}

// echo answers each request by its id.
func echo(c *peer) {
	for id := c.request(); id != ""; id = c.request() {
		c.answer(id, "to "+id, "")
	}
}

func TestAConnectionIsKept(t *testing.T) {
	f := serve(t, echo)
	for i := range 5 {
		id := fmt.Sprint(i)
		f.want(id, "to "+id)
	}
	assert.Equal(t, f.conns.Load(), int64(1))
}

func TestAConnectionIsNotKept(t *testing.T) {
	for _, c := range []struct {
		name  string
		play  script
		after time.Duration
	}{
		{"idle for longer than is told", func(c *peer) {
			c.answer(c.request(), "ok", "Keep-Alive: timeout=2\r\n")
			c.request()
		}, 1600 * time.Millisecond},
		{"the answer closes it", func(c *peer) {
			c.answer(c.request(), "ok", "Connection: close\r\n")
			c.request()
		}, 0},
		{"the far end has closed it", func(c *peer) { c.answer(c.request(), "ok", "") }, 0},
		{"more bytes than the answer has come", func(c *peer) {
			c.answer(c.request(), "ok", "")
			c.answer("stray", "stray", "")
			c.request()
		}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := serve(t, c.play)
			f.want("1", "ok")
			// What the far end does after its answer has to arrive.
			time.Sleep(arrival)
			f.clock.Advance(c.after)
			f.want("2", "ok")
			assert.Equal(t, f.conns.Load(), int64(2))
		})
	}
}

// TestAnswerOfAnotherRequest: an extra answer that comes where the next one is
// expected is not taken for it.
func TestAnswerOfAnotherRequest(t *testing.T) {
	f := serve(t, func(c *peer) {
		id := c.request()
		c.answer("earlier", "not yours", "")
		c.answer(id, "yours", "")
		c.request()
	})
	f.want("1", "yours")
	f.want("2", "yours")
	assert.Equal(t, f.conns.Load(), int64(2))
}

func TestAnswerWithoutLength(t *testing.T) {
	for name, reset := range map[string]bool{"ended": false, "reset": true} {
		t.Run(name, func(t *testing.T) {
			f := serve(t, func(c *peer) {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n\r\nsome", idHeader, c.request())
				if tcp, ok := c.Conn.(*net.TCPConn); ok && reset {
					time.Sleep(arrival)
					_ = tcp.SetLinger(0)
				}
			})
			text, err := f.do(t.Context(), "1", strings.NewReader("body"))
			assert.Equal(t, text, "some")
			assert.Equal(t, err != nil, reset)
		})
	}
}

// TestEarlyAnswer: a connection whose request has not gone whole is not used
// again: what follows would be taken for the rest of the body.
func TestEarlyAnswer(t *testing.T) {
	f := serve(t, func(c *peer) {
		r, err := http.ReadRequest(c.reader)
		if err != nil {
			return
		}
		c.answer(r.Header.Get(idHeader), "early", "")
		_, _ = io.Copy(io.Discard, c.reader)
	})
	body, feed := io.Pipe()
	defer feed.Close()
	text, err := f.do(t.Context(), "1", body)
	assert.NilError(t, err)
	assert.Equal(t, text, "early")
	again, feedAgain := io.Pipe()
	defer feedAgain.Close()
	_, err = f.do(t.Context(), "2", again)
	assert.NilError(t, err)
	assert.Equal(t, f.conns.Load(), int64(2))
}

func TestNothingSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	_ = l.Close()
	pool := back.NewPool(back.Config{Clock: clockwork.NewRealClock()})
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+l.Addr().String(), http.NoBody)
	assert.NilError(t, err)
	_, err = pool.Do(t.Context(), l.Addr().String(), r, back.Options{})
	assert.Check(t, errors.Is(err, back.ErrUnsent))
}

func TestSentAndNotAnswered(t *testing.T) {
	f := serve(t, func(c *peer) { c.request() })
	_, err := f.do(t.Context(), "1", strings.NewReader("body"))
	assert.Check(t, err != nil && !errors.Is(err, back.ErrUnsent))
}

// TestCancel: the end of the context ends the connection, so that the backend
// server can stop.
func TestCancel(t *testing.T) {
	gone := make(chan struct{})
	f := serve(t, func(c *peer) {
		c.request()
		_, _ = c.reader.ReadByte()
		close(gone)
	})
	ctx, cancel := context.WithCancelCause(t.Context())
	cause := errors.New("given up")
	time.AfterFunc(50*time.Millisecond, func() { cancel(cause) })
	_, err := f.do(ctx, "1", strings.NewReader("body"))
	assert.Check(t, errors.Is(err, cause))
	<-gone
}

// TestBodyBreaksOff: a body that fails ends the exchange at once.
func TestBodyBreaksOff(t *testing.T) {
	f := serve(t, func(c *peer) { c.request() })
	body, feed := io.Pipe()
	go func() {
		_, _ = feed.Write(make([]byte, 100))
		_ = feed.CloseWithError(io.ErrUnexpectedEOF)
	}()
	_, err := f.do(t.Context(), "1", body)
	assert.Check(t, err != nil)
}
