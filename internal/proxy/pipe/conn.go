package pipe

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
)

// conn is a connection of the server. The server reads from it in one goroutine at a time.
type conn struct {
	socket
	pipeline *Pipeline
	// mutex guards the fields below.
	mutex sync.Mutex
	// delivered is the number of bytes that the server has read.
	delivered int64
	// head finds the end of the head that is being delivered. headDone reports that it
	// has been delivered whole, until the handler of its message has returned.
	head     headScanner
	headDone bool
	// bodyLeft is the part of the message's body that has not been delivered.
	bodyLeft int64
	// passing reports that all bytes are passed on, since the end of the message that the
	// server reads is not known.
	passing bool
	closed  bool
	// err is the error with which the connection has ended while it was read ahead.
	err error
	// ahead is what has been read but not delivered. charged is its capacity as counted in
	// Pipeline.held.
	ahead   []byte
	charged int

	// serving reports that a handler is running, lookAhead that messages may be started
	// behind its request.
	serving   bool
	lookAhead bool
	// scanned is how much of ahead has been examined by next, begun where the message
	// begins that is being examined.
	next    headScanner
	scanned int
	begun   int
	// base is the context of the connection's requests, without cancellation.
	base context.Context
	// readAheadOf reports that the bytes delivered last came from ahead. startedInRow is the
	// number of exchanges that were started since other bytes were delivered.
	readAheadOf  bool
	startedInRow int
	// started are the exchanges whose turn has not come, in the order of their messages.
	started []*exchange
}

// Read delivers the next bytes of the message that the server reads, but none of the
// message after it.
//
// Once the server has a whole message, it reads one byte in the background while the handler
// runs, and no other. That call reads ahead. Any other call then shows that the server sees
// another end of the message, as with the preface of HTTP/2.
func (c *conn) Read(p []byte) (int, error) {
	c.mutex.Lock()
	if c.headDone && c.bodyLeft == 0 && !c.passing && c.err == nil {
		if len(p) == 1 {
			c.mutex.Unlock()
			return 0, c.readAhead()
		}
		c.passAll()
	}
	if c.err != nil || len(p) == 0 {
		defer c.mutex.Unlock()
		return 0, c.err
	}
	c.readAheadOf = len(c.ahead) > 0
	if !c.readAheadOf {
		c.startedInRow = 0
	}
	if c.readAheadOf {
		defer c.mutex.Unlock()
		return c.deliverAhead(p), nil
	}
	if c.bodyLeft > 0 && !c.passing {
		p = p[:min(int64(len(p)), c.bodyLeft)]
	}
	c.mutex.Unlock()
	n, err := c.socket.Read(p)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	wanted := c.advance(p[:n])
	if wanted < n && !c.closed {
		c.ahead = append(c.ahead, p[wanted:n]...)
		c.charge()
	}
	return wanted, err
}

// ReadAhead reports whether the bytes that were delivered last had arrived while the request before
// was in progress.
func (c *conn) ReadAhead() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.readAheadOf
}

// deliverAhead delivers from ahead. The mutex must be held.
func (c *conn) deliverAhead(p []byte) int {
	n := c.advance(c.ahead[:min(len(p), len(c.ahead))])
	copy(p, c.ahead[:n])
	c.ahead = c.ahead[:copy(c.ahead, c.ahead[n:])]
	c.scanned = max(0, c.scanned-n)
	c.begun = max(0, c.begun-n)
	if len(c.ahead) == 0 && cap(c.ahead) > keptAheadBytes {
		c.ahead = nil
	}
	c.charge()
	return n
}

// advance returns how many of the next bytes of the stream are to be delivered now, and counts
// them as delivered. The mutex must be held.
func (c *conn) advance(next []byte) int {
	n := len(next)
	switch {
	case c.passing:
	case c.bodyLeft > 0:
		n = int(min(int64(n), c.bodyLeft))
		c.bodyLeft -= int64(n)
	default:
		n, c.headDone = c.head.scan(next)
	}
	c.delivered += int64(n)
	return n
}

// begin notes that the handler of a request has been called. It returns the request's
// exchange if that has been started before.
func (c *conn) begin(r *http.Request) *exchange {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.passing {
		return nil
	}
	c.serving = true
	c.base = context.WithoutCancel(r.Context())
	if len(c.started) > 0 {
		first := c.started[0]
		if !c.headDone || first.end != c.delivered || !first.matches(r) {
			c.passAll()
			return nil
		}
		c.started = c.started[1:]
		c.startMessages()
		return first
	}
	if !c.headDone || r.ContentLength < 0 {
		c.passAll()
		return nil
	}
	c.bodyLeft = r.ContentLength
	c.next, c.scanned, c.begun = headScanner{}, 0, 0
	c.lookAhead = isPlain(r) && c.pipeline.config.Ingress.MayStartEarly(r)
	c.startMessages()
	return nil
}

// end notes that the handler of a request has returned. The server then reads the rest of the
// body, if any, and the next message.
func (c *conn) end() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.serving = false
	c.headDone = false
}

// Pending reports whether exchanges have been started whose turn has not come.
func (c *conn) Pending() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.started) > 0
}

// HeldBytes returns the memory that the connection holds in buffers: of bytes read ahead, and of
// responses whose turn has not come.
func (c *conn) HeldBytes() int64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	held := int64(c.charged)
	for _, e := range c.started {
		held += e.recordedBytes()
	}
	return held
}

// passAll ends the look-ahead for good. What was started is canceled and served again in its
// turn. The mutex must be held.
func (c *conn) passAll() {
	c.passing = true
	c.discardStarted()
}

// discardStarted cancels the exchanges whose turn has not come. The mutex must be held.
func (c *conn) discardStarted() {
	c.lookAhead = false
	for _, e := range c.started {
		e.discard()
	}
	c.pipeline.config.Canceled.Inc(int64(len(c.started)))
	c.started = nil
}

// abandon cancels what was started on a connection that ends.
func (c *conn) abandon() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.closed = true
	c.ahead = nil
	c.charge()
	c.discardStarted()
}

// Close closes the connection.
func (c *conn) Close() error {
	c.abandon()
	return c.socket.Close()
}

// CloseWrite closes the sending side. No further response can be sent then.
func (c *conn) CloseWrite() error {
	c.abandon()
	return c.socket.CloseWrite()
}

// SetLinger sets what happens to unsent data when the connection is closed.
func (c *conn) SetLinger(seconds int) error {
	s, ok := c.socket.(interface{ SetLinger(sec int) error })
	if !ok {
		return errors.Newf("pipe: connection of type %T has no SetLinger", c.socket)
	}
	return s.SetLinger(seconds)
}

// charge counts the capacity of ahead. The mutex must be held.
func (c *conn) charge() {
	c.pipeline.held.Add(int64(cap(c.ahead) - c.charged))
	c.charged = cap(c.ahead)
}

var _ net.Conn = (*conn)(nil)
