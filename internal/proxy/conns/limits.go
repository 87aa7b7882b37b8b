package conns

import (
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"time"
)

const (
	// connectionBytes is what an open connection occupies: two buffers of net/http and the stacks
	// of its goroutines. 1,500 that have sent nothing take 9 KB each.
	connectionBytes = 16 << 10
	// http2Bytes is what one with HTTP/2 occupies in addition: frames, header tables and what it
	// has received of bodies.
	http2Bytes = 128 << 10
	// headerFactor is the memory that a header occupies for each of its bytes. net/http holds
	// two strings and a slice for every field, and fields of 10 bytes are the costliest.
	headerFactor = 4
	// headerSlack is what may be read beyond the limit of a header: net/http reads up to 4 KB ahead,
	// and the ingress checks the exact size.
	headerSlack = 8 << 10
	// maxAhead is the number of requests on a connection that may arrive together with the one before.
	// The connection closes after the response to the last of these. Its responses fit into the
	// buffers of both sockets, so a client that reads none would have thousands of requests run.
	maxAhead = 32
	// sendBufferBytes bounds the socket's send buffer, which the kernel would otherwise grow to some
	// MB for a client that does not read. The kernel doubles it, which suffices for 200 Mbit/s
	// over a round trip of 8 ms.
	sendBufferBytes = 128 << 10
	// refusalTimeout bounds the sending of headerRefusal, which usually fits into the socket's buffer.
	refusalTimeout = 100 * time.Millisecond
)

// headerRefusal answers a header that is too large. The request was not run: the fields that say so belong
// to the header codecs, which have not seen it.
const headerRefusal = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// Limits bound the headers that callers send and the connections that they leave idle.
type Limits struct {
	HeaderBytes   int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
	// BodiesWait makes each wait for data during a request count as a wait for the client, for
	// servers whose handlers have no accounts of their own and end soon.
	BodiesWait bool
}

// SetLimits changes the limits, for open connections too. Sweep enforces the timeouts.
func (t *Tracker) SetLimits(l Limits) {
	t.limits.Store(&l)
}

// Sweep closes the connections that have exceeded their limits.
func (t *Tracker) Sweep() {
	limits := t.limits.Load()
	if limits == nil {
		return
	}
	t.mutex.Lock()
	open := slices.Collect(maps.Keys(t.conns))
	t.mutex.Unlock()
	now := t.clock.Now()
	for _, c := range open {
		if c.endOverdue(now, limits) {
			_ = c.Close()
		}
	}
}

// endOverdue ends the connection if it has exceeded a timeout, and reports whether it is to be closed.
// An idle one ends like in closeIfIdle. One on which nothing was read has the idle timeout, also
// before its first request: clients open some ahead of need.
func (c *conn) endOverdue(now time.Time, l *Limits) bool {
	c.mutex.Lock()
	switch {
	case c.closed || c.lingering || c.state == http.StateActive:
		c.mutex.Unlock()
		return false
	case c.headerBytes > 0 && now.Sub(c.headerSince) <= l.HeaderTimeout, c.headerBytes == 0 && now.Sub(c.idleSince) <= l.IdleTimeout:
		c.mutex.Unlock()
		return false
	case c.isHTTP2 || c.headerBytes > 0:
		c.closed = true
	}
	c.mutex.Unlock()
	return c.closeIfIdle()
}

// evict closes the connection because the process holds too much.
func (c *conn) evict() {
	c.mutex.Lock()
	c.closed = true
	c.mutex.Unlock()
	_ = c.closeFully()
}

// setAccount sets the account of a connection. The connection may have been evicted before.
func (c *conn) setAccount(a *Account) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.account = a
}

// noteState tells the account whether the connection waits for its caller. The mutex must be held.
func (c *conn) noteState(state http.ConnState) {
	switch state {
	case http.StateActive:
		switch {
		case c.isHTTP2:
		case c.headerBytes == 0 || c.wasReadAhead():
			c.ahead++
		default:
			c.ahead = 0
		}
		c.forgetHeader()
		c.account.Proceed()
	case http.StateIdle:
		c.forgetHeader()
		c.idleSince = c.tracker.clock.Now()
		c.account.Wait()
	case http.StateNew, http.StateHijacked, http.StateClosed:
	}
}

// wasReadAhead reports whether a listener below has held back the current request until the response
// to the one before.
func (c *conn) wasReadAhead() bool {
	below, ok := c.Conn.(interface{ ReadAhead() bool })
	return ok && below.ReadAhead()
}

// isLast reports whether the current request is the last that may have been sent ahead.
func (c *conn) isLast() bool {
	if c == nil {
		return false
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.ahead >= maxAhead
}

// boundSendBuffer bounds the send buffer of a socket whose client may not read.
func boundSendBuffer(c net.Conn) error {
	socket, ok := c.(interface{ SetWriteBuffer(bytes int) error })
	if !ok {
		return nil
	}
	return socket.SetWriteBuffer(sendBufferBytes)
}

// noteBodyRead notes that a Read during a request begins or has ended. The mutex must be held.
func (c *conn) noteBodyRead(begins bool) {
	l := c.tracker.limits.Load()
	if l == nil || !l.BodiesWait || c.state != http.StateActive {
		return
	}
	if begins {
		c.account.Wait()
		return
	}
	c.account.Proceed()
}

// forgetHeader ends the charge for a header. The mutex must be held.
func (c *conn) forgetHeader() {
	if c.headerBytes > 0 {
		c.account.Charge(int64(-headerFactor * c.headerBytes))
	}
	c.headerBytes = 0
}

// noteHeader notes that bytes were read while no request is active, and reports whether the header may
// go on. With HTTP/2 they may be frames of any kind, and net/http bounds the header. The mutex must
// be held.
func (c *conn) noteHeader(n int) bool {
	if c.isHTTP2 {
		return true
	}
	if c.headerBytes == 0 {
		c.headerSince = c.lastRead
		c.account.Wait()
	}
	c.headerBytes += n
	c.account.Charge(int64(headerFactor * n))
	l := c.tracker.limits.Load()
	return l == nil || c.headerBytes <= l.HeaderBytes+headerSlack
}

// refuseHeader answers a header that is too large, and returns what Read returns. The mutex must be held.
func (c *conn) refuseHeader() error {
	c.forgetHeader()
	c.closed, c.refused = true, true
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
	if _, err := io.WriteString(c.Conn, headerRefusal); err != nil {
		return err
	}
	return net.ErrClosed
}

// Write writes to the connection. While it blocks, the connection waits for its caller to read.
func (c *conn) Write(p []byte) (int, error) {
	c.mutex.Lock()
	account := c.account
	c.mutex.Unlock()
	account.Wait()
	n, err := c.Conn.Write(p)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.state == http.StateActive {
		account.Proceed()
	}
	return n, err
}
