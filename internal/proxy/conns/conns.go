// Package conns tracks the connections of an HTTP server, so that a graceful stop
// closes only those on which no request is in progress. It also enforces limits that
// may change while connections are open, and holds connections and requests to the
// budget of package policy/intake.
//
// http.Server's own Shutdown and SetKeepAlivesEnabled close connections whose state is
// StateIdle. A connection stays in that state until the header of its next request has
// been parsed, so they also close connections from which a request has been read, and
// Shutdown drops such a request without an answer. HTTP/2 connections are left to
// Shutdown, which announces their end to the client first.
package conns

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/figwick/figwick/internal/policy/intake"
)

// settleTime is how long a connection that is new or has an incomplete header must be
// without incoming data before it is closed.
const settleTime = 300 * time.Millisecond

// preface is the start of the bytes that a client sends first on an HTTP/2 connection.
var preface = []byte("PRI ")

type (
	// Tracker tracks the connections of one http.Server. It is safe for concurrent use.
	Tracker struct {
		clock    clockwork.Clock
		draining atomic.Bool
		mutex    sync.Mutex
		conns    map[*conn]struct{}
		// guard holds the connections to the process's budget. Nil sets no bound.
		guard atomic.Pointer[Guard]
		// limits are nil until SetLimits is called.
		limits atomic.Pointer[Limits]
	}

	listener struct {
		net.Listener
		tracker *Tracker
	}

	conn struct {
		net.Conn
		tracker *Tracker
		// mutex guards the fields below.
		mutex sync.Mutex
		// state is the last state that http.Server reported.
		state http.ConnState
		// reading reports that a Read is waiting for data.
		reading bool
		// untouched reports that nothing has been read since the state became
		// StateIdle.
		untouched bool
		// lastRead is when data was last read, or when the connection was accepted.
		lastRead time.Time
		// deadline is the read deadline that the server has set.
		deadline time.Time
		// interrupted reports that the Read that waits was told to return.
		interrupted bool
		isHTTP2     bool
		closed      bool
		// answered reports that the handler of the last request has returned.
		answered bool
		// untilClose reports that the end of the connection may be the end of a
		// response to the last request, which is of HTTP/1.0.
		untilClose bool
		// lingering reports that only the sending side has been closed.
		lingering bool
		account   *Account
		// headerBytes counts what was read of a header that is not complete, headerSince is when
		// its first byte was read.
		headerBytes int
		headerSince time.Time
		// ahead counts the requests in a row that had arrived before the response to the one before.
		ahead int
		// refused reports that a header was too large and has its answer.
		refused bool
		// idleSince is when the connection was accepted or its last response was complete.
		idleSince time.Time
	}

	// connKey is the key of the conn in the context of its requests.
	connKey struct{}

	// closingWriter adds "Connection: close" to responses while the tracker drains, and to the
	// last one on a connection with too many requests ahead.
	closingWriter struct {
		http.ResponseWriter
		conn      *conn
		tracker   *Tracker
		committed bool
	}
)

// NewTracker returns a Tracker without connections.
func NewTracker(clock clockwork.Clock) *Tracker {
	return &Tracker{clock: clock, conns: map[*conn]struct{}{}}
}

// SetGuard sets the guard for new connections. It may be nil.
func (t *Tracker) SetGuard(g *Guard) {
	t.guard.Store(g)
}

// Track prepares a server. It must then serve on listeners from Listen only.
func (t *Tracker) Track(s *http.Server) {
	handler := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connKey{}).(*conn)
		c.setAnswered(false, r)
		writer := &closingWriter{ResponseWriter: w, tracker: t, conn: c}
		handler.ServeHTTP(writer, r)
		writer.commit()
		c.setAnswered(true, r)
	})
	s.ConnState = setState
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
}

// Listen returns a listener whose connections are tracked. When it is closed, its Accept
// returns http.ErrServerClosed.
func (t *Tracker) Listen(l net.Listener) net.Listener {
	return &listener{Listener: l, tracker: t}
}

// Drain makes each further response the last on its connection.
func (t *Tracker) Drain() {
	t.draining.Store(true)
}

// CloseIdle closes the HTTP/1 connections on which no request is in progress and returns
// the number of HTTP/1 connections that were still open.
func (t *Tracker) CloseIdle() int {
	t.mutex.Lock()
	open := make([]*conn, 0, len(t.conns))
	for c := range t.conns {
		open = append(open, c)
	}
	t.mutex.Unlock()
	remaining := 0
	for _, c := range open {
		switch {
		case c.closeIfIdle():
			_ = c.Close()
		case !c.usesHTTP2():
			remaining++
		}
	}
	return remaining
}

// Accept returns the next connection. It closes those for which the guard has no room.
func (l *listener) Accept() (net.Conn, error) {
	t := l.tracker
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			if t.draining.Load() {
				return nil, http.ErrServerClosed
			}
			return nil, err
		}
		now := t.clock.Now()
		c := &conn{Conn: raw, tracker: t, lastRead: now, idleSince: now}
		guard := t.guard.Load()
		account, opened := guard.Open(intake.Connection, connectionBytes, c.evict)
		if !opened {
			_ = raw.Close()
			continue
		}
		if guard != nil {
			guard.noteSocket(boundSendBuffer(raw))
		}
		t.mutex.Lock()
		t.conns[c] = struct{}{}
		t.mutex.Unlock()
		c.setAccount(account)
		return c, nil
	}
}

// setState is the http.Server's ConnState.
func setState(raw net.Conn, state http.ConnState) {
	c, ok := raw.(*conn)
	if !ok {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.state = state
	c.untouched = state == http.StateIdle
	c.noteState(state)
}

// Read reads from the connection. A connection that was to be closed stays open if Read has
// read the start of a request. What arrives after a part of one, while the connection is
// being closed, is dropped.
func (c *conn) Read(p []byte) (int, error) {
	c.mutex.Lock()
	c.reading = true
	c.noteBodyRead(true)
	c.mutex.Unlock()
	n, err := c.Conn.Read(p)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.reading = false
	c.noteBodyRead(false)
	if c.closed {
		return 0, net.ErrClosed
	}
	if c.interrupted && n > 0 {
		c.interrupted = false
		if err := c.Conn.SetReadDeadline(c.deadline); err != nil {
			return n, err
		}
	}
	if n > 0 {
		if c.state == http.StateNew && bytes.HasPrefix(p[:n], preface) {
			c.isHTTP2 = true
			c.account.Charge(http2Bytes)
		}
		c.untouched = false
		c.lastRead = c.tracker.clock.Now()
		if c.state != http.StateActive && !c.noteHeader(n) {
			return 0, c.refuseHeader()
		}
	}
	return n, err
}

// setAnswered notes the last request and whether its handler has returned.
func (c *conn) setAnswered(answered bool, r *http.Request) {
	if c == nil {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.answered = answered
	c.untilClose = !r.ProtoAtLeast(1, 1)
}

// SetReadDeadline sets the read deadline.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.deadline = t
	return c.Conn.SetReadDeadline(t)
}

// NetConn returns the connection from the listener that is tracked.
func (c *conn) NetConn() net.Conn {
	return c.Conn
}

// pending reports whether requests have been started behind the one that is being answered. Their
// responses follow on the connection.
func (c *conn) pending() bool {
	if c == nil {
		return false
	}
	pipelined, ok := c.Conn.(interface{ Pending() bool })
	return ok && pipelined.Pending()
}

// closeIfIdle ends the connection if no request is in progress on it, and reports whether it
// is to be closed. It is not if the server waits for the next request: then Read is told to
// return, upon which the server closes the connection, unless a request has arrived.
func (c *conn) closeIfIdle() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch {
	case c.lingering || c.closed || !c.idle():
	case c.untouched:
		c.interrupted = true
		_ = c.Conn.SetReadDeadline(time.Unix(0, 0))
	default:
		c.closed = true
	}
	return c.closed
}

// idle reports whether the server waits for a request. The mutex must be held.
//
// A Read that waits shows that the server has handled the data from earlier reads, except
// with HTTP/2, where it reads while handlers run.
func (c *conn) idle() bool {
	if c.isHTTP2 || c.state == http.StateActive || !c.reading {
		return false
	}
	return c.untouched || c.tracker.clock.Since(c.lastRead) >= settleTime
}

func (c *conn) usesHTTP2() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.isHTTP2
}

// Close closes the connection. After a response it first closes only the sending side,
// and does the rest in the background. It resets the connection if the client would
// take what it has received of a response for the whole.
func (c *conn) Close() error {
	c.mutex.Lock()
	if c.lingering {
		c.mutex.Unlock()
		return nil
	}
	c.closed = true
	c.lingering = !c.isHTTP2 && (c.state == http.StateActive && c.answered || c.refused)
	lingering := c.lingering
	c.account.Wait()
	cut := c.untilClose && c.state == http.StateActive && !c.answered
	c.mutex.Unlock()
	if socket, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok && cut {
		_ = socket.SetLinger(0)
	}
	if lingering && c.CloseWrite() == nil {
		go c.linger()
		return nil
	}
	return c.closeFully()
}

func (c *conn) closeFully() error {
	c.mutex.Lock()
	account := c.account
	c.mutex.Unlock()
	account.Close()
	c.tracker.mutex.Lock()
	delete(c.tracker.conns, c)
	c.tracker.mutex.Unlock()
	return c.Conn.Close()
}

// CloseWrite closes the sending side. http.Server uses it to let the client read a
// response whose request it has not read entirely.
func (c *conn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return net.ErrClosed
	}
	return half.CloseWrite()
}

// WriteHeader writes the header of the response.
func (w *closingWriter) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.commit()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body.
func (w *closingWriter) Write(p []byte) (int, error) {
	w.commit()
	return w.ResponseWriter.Write(p)
}

// Unwrap returns the server's own writer, for http.ResponseController.
func (w *closingWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

// commit completes the header of the response.
func (w *closingWriter) commit() {
	if !w.committed && !w.conn.pending() && (w.tracker.draining.Load() || w.conn.isLast()) {
		w.Header().Set("Connection", "close")
	}
	w.committed = true
}
