package conns_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/figwick/figwick/internal/proxy/conns"
)

const (
	// longTime is longer than a connection that is not idle is kept open without data.
	longTime = time.Second
	get      = "GET / HTTP/1.1\r\nHost: shop.test\r\n\r\n"
	// largeBytes is more than the client's socket takes while nobody reads from it.
	largeBytes = 1 << 20
)

// bench is a server whose connections are tracked. Its handler waits for a value from
// leave for paths other than "/".
type bench struct {
	t       *testing.T
	tracker *conns.Tracker
	server  *http.Server
	clock   *clockwork.FakeClock
	address string
	entered chan struct{}
	leave   chan struct{}
	served  chan error
}

func start(t *testing.T) *bench {
	t.Helper()
	return startWith(t, func(l net.Listener) net.Listener { return l })
}

// startWith starts a server on a listener that wrap returns.
func startWith(t *testing.T, wrap func(net.Listener) net.Listener) *bench {
	t.Helper()
	clock := clockwork.NewFakeClock()
	b := &bench{
		t: t, tracker: conns.NewTracker(clock), clock: clock,
		entered: make(chan struct{}), leave: make(chan struct{}), served: make(chan error, 1),
	}
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	b.server = &http.Server{Protocols: protocols, ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(b.handle)}
	b.tracker.Track(b.server)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	b.address = l.Addr().String()
	tracked := b.tracker.Listen(wrap(l))
	go func() { b.served <- b.server.Serve(tracked) }()
	t.Cleanup(func() { _ = b.server.Close() })
	return b
}

func (b *bench) handle(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/" {
		b.entered <- struct{}{}
		<-b.leave
	}
	if r.URL.Path == "/large" {
		_, _ = w.Write(make([]byte, largeBytes))
		return
	}
	_, _ = io.WriteString(w, "done")
	if r.URL.Path == "/aborted" {
		_ = http.NewResponseController(w).Flush()
		// The client reads the header before the reset.
		time.Sleep(50 * time.Millisecond)
		panic(http.ErrAbortHandler)
	}
}

func (b *bench) dial() (net.Conn, *bufio.Reader) {
	b.t.Helper()
	c, err := net.Dial("tcp", b.address)
	assert.NilError(b.t, err)
	b.t.Cleanup(func() { _ = c.Close() })
	assert.NilError(b.t, c.SetDeadline(time.Now().Add(time.Minute)))
	return c, bufio.NewReader(c)
}

func (b *bench) send(c net.Conn, text string) {
	b.t.Helper()
	_, err := io.WriteString(c, text)
	assert.NilError(b.t, err)
}

// receive reads one response and returns whether it is the last on its connection.
func (b *bench) receive(reader *bufio.Reader) bool {
	b.t.Helper()
	response, err := http.ReadResponse(reader, nil)
	assert.NilError(b.t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	assert.NilError(b.t, err)
	assert.Equal(b.t, string(text), "done")
	return response.Close
}

// awaitRemaining closes idle connections until the given number remains.
func (b *bench) awaitRemaining(want int) {
	b.t.Helper()
	got := 0
	for range 500 {
		if got = b.tracker.CloseIdle(); got == want {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	b.t.Fatalf("%d connections remain, want %d", got, want)
}

// TestRequestInProgressKeepsConnection guards against connections that are closed before
// the response to their request is complete.
func TestRequestInProgressKeepsConnection(t *testing.T) {
	b := start(t)
	c, reader := b.dial()
	b.send(c, get)
	assert.Check(t, !b.receive(reader))
	b.send(c, strings.Replace(get, "/", "/slow", 1))
	<-b.entered
	b.tracker.Drain()
	for range 20 {
		assert.Equal(t, b.tracker.CloseIdle(), 1)
		b.clock.Advance(longTime)
		time.Sleep(5 * time.Millisecond)
	}
	b.leave <- struct{}{}
	assert.Check(t, b.receive(reader))
	b.awaitRemaining(0)
}

// TestIdleConnectionClosesAtOnce guards against a stop that waits for callers that keep
// their connections.
func TestIdleConnectionClosesAtOnce(t *testing.T) {
	b := start(t)
	c, reader := b.dial()
	b.send(c, get)
	assert.Check(t, !b.receive(reader))
	b.awaitRemaining(0)
	_, err := reader.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
}

// TestNewConnectionHasTimeToSend guards against connections that are closed while their
// first request is on its way, and against those that never send one.
func TestNewConnectionHasTimeToSend(t *testing.T) {
	b := start(t)
	c, reader := b.dial()
	b.awaitRemaining(1)
	b.tracker.Drain()
	b.send(c, get[:10])
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, b.tracker.CloseIdle(), 1)
	b.send(c, get[10:])
	assert.Check(t, b.receive(reader))
	silent, silentReader := b.dial()
	b.awaitRemaining(1)
	b.send(silent, get[:10])
	time.Sleep(50 * time.Millisecond)
	b.clock.Advance(longTime)
	b.awaitRemaining(0)
	_, err := silentReader.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
}

// TestHTTP2EndsWithAnnouncement guards against HTTP/2 connections that are closed without
// a GOAWAY frame, after which a client cannot tell whether its request was read.
func TestHTTP2EndsWithAnnouncement(t *testing.T) {
	b := start(t)
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	client := &http.Client{Transport: &http.Transport{Protocols: protocols}}
	response, err := client.Get("http://" + b.address + "/")
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.ProtoMajor, 2)
	b.clock.Advance(longTime)
	assert.Equal(t, b.tracker.CloseIdle(), 0)
	again, err := client.Get("http://" + b.address + "/")
	assert.NilError(t, err)
	assert.NilError(t, again.Body.Close())
	assert.NilError(t, b.server.Shutdown(t.Context()))
}

// heldListener accepts connections whose reads, while hold is set, return data only after a
// value from release.
type heldListener struct {
	net.Listener
	hold          atomic.Bool
	read, release chan struct{}
}

type heldConn struct {
	net.Conn
	l *heldListener
}

func (l *heldListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &heldConn{Conn: c, l: l}, err
}

func (c *heldConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.l.hold.Load() {
		c.l.read <- struct{}{}
		<-c.l.release
	}
	return n, err
}

// TestRequestReadWhileClosingIsAnswered guards against a request that is read from a
// connection and dropped, because the connection is closed as idle at that moment.
func TestRequestReadWhileClosingIsAnswered(t *testing.T) {
	held := &heldListener{read: make(chan struct{}), release: make(chan struct{})}
	b := startWith(t, func(l net.Listener) net.Listener {
		held.Listener = l
		return held
	})
	c, reader := b.dial()
	b.send(c, get)
	assert.Check(t, !b.receive(reader))
	held.hold.Store(true)
	b.send(c, get)
	<-held.read
	held.hold.Store(false)
	b.tracker.Drain()
	b.tracker.CloseIdle()
	held.release <- struct{}{}
	assert.Check(t, b.receive(reader))
	b.awaitRemaining(0)
}
