package back

import (
	"bufio"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"

	"github.com/figwick/figwick/internal/base/heads"
	"github.com/figwick/figwick/internal/base/sock"
)

const (
	// connectTimeout bounds the time to connect to a backend server. It is short
	// because the server is close by.
	connectTimeout = 500 * time.Millisecond
	// unackedTimeout bounds how long sent bytes may stay unacknowledged, so that a
	// connection to a peer that no longer responds is closed.
	unackedTimeout = time.Second
	// defaultIdleTimeout is how long an idle connection is kept if the backend
	// server sends no Keep-Alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutShare is the fraction of a Keep-Alive timeout that is used. The
	// backend server starts its timer earlier, so a connection kept for the whole
	// time could be closed by the server while a request is being sent.
	idleTimeoutShare = 0.75
	// maxIdlePerServer is the maximum number of idle connections to one backend
	// server.
	maxIdlePerServer = 64
	bufferSize       = 4 << 10
	// writerGrace is how long the end of a response waits for the goroutine that
	// writes the request to return. It is real time, not that of Config.Clock: the
	// goroutine has nothing left to write and only needs to be scheduled.
	writerGrace = 20 * time.Millisecond
	// maxMismatched is the number of responses to other requests after which an
	// exchange fails.
	maxMismatched = 4
	// lateAttemptTime is how long after its deadline a request's last attempt may begin,
	// because it was long on its way to this node.
	lateAttemptTime = time.Second
	// maxCarried is the number of requests that a connection remembers. One that has carried
	// more within their deadlines is not reused.
	maxCarried = 512
	unlimited  = math.MaxInt
)

var (
	// ErrUnsent marks a request of which no byte was sent. It was not run.
	ErrUnsent = errors.New("back: nothing was sent")
	// ErrResponseMismatch means that the connection returned only responses to
	// other requests.
	ErrResponseMismatch = errors.New("back: responses belong to other requests")
)

// The results of Config.Matches.
const (
	// Other responses belong to another request.
	Other Match = iota
	// Unidentified responses do not say to which request they belong.
	Unidentified
	// Own responses belong to the request.
	Own
)

type (
	// Match says whether a response belongs to a request.
	Match int

	// Config holds the settings of a Pool.
	Config struct {
		// Clock measures how long connections are idle.
		Clock clockwork.Clock
		// Dial opens connections, in tests. Nil selects TCP with timeouts.
		Dial func(ctx context.Context, network, address string) (net.Conn, error)
		// Matches reports whether a response belongs to a request. If nil, all do.
		Matches func(request *http.Request, response *http.Response) Match
	}

	// Pool is an HTTP/1.1 client that keeps idle connections to backend servers.
	// It is safe for concurrent use.
	Pool struct {
		config Config
		mutex  sync.Mutex
		// idle holds the idle connections by address, the last used one last.
		idle  map[string][]*conn
		dials int
	}

	// Options are the options of one request.
	Options struct {
		// Repeatable is set if the request may safely run more than once. The others get no
		// connection on which an Unidentified response has come: the server may send that
		// again, and it would be taken for the response to this request.
		Repeatable bool
		// Request identifies the request of which this is an attempt, as far as responses do. No
		// two attempts at a request get the same connection: a response to the first that the
		// server sends once more would be taken for the response to the second. Empty
		// means that the request has no other attempts.
		Request string
		// Deadline is the request's deadline. Its attempts begin before.
		Deadline time.Time
		// OnInformational, if set, is called with each informational (1xx) response
		// other than 101. An error from it ends the exchange.
		OnInformational func(status int, h http.Header) error
	}

	// conn is a connection. One request at a time uses it.
	conn struct {
		sock.Conn
		address string
		reader  *bufio.Reader
		writer  *bufio.Writer
		// bytesWritten counts the bytes written of the current request.
		bytesWritten int64
		// writeFailed is whether a write to the connection failed. A response may
		// have arrived nevertheless.
		writeFailed bool
		// readable is how many more bytes may be read.
		readable int
		// scanner checks the head that is being read. It ignores the body.
		scanner     heads.Scanner
		idleTimeout time.Duration
		idleSince   time.Time
		// unidentified is whether an Unidentified response has come.
		unidentified bool
		// carried holds the requests of which the connection has had an attempt and that may
		// have further ones.
		carried []carriedRequest
	}

	// carriedRequest is a request that has no further attempts after a time.
	carriedRequest struct {
		id    string
		until time.Time
	}

	// body is the body of a response. It returns its connection to the pool when
	// it has been read to its end.
	body struct {
		io.ReadCloser
		response *http.Response
		pool     *Pool
		conn     *conn
		// sent receives the result of writing the request.
		sent chan error
		// stopCancel keeps the end of the context from closing the connection. It
		// reports false if the context has ended already.
		stopCancel func() bool
		// reusable is whether the response permits to keep the connection.
		reusable bool
		done     bool
	}
)

// NewPool returns a Pool without connections.
func NewPool(config Config) *Pool {
	if config.Dial == nil {
		config.Dial = (&net.Dialer{Timeout: connectTimeout, KeepAlive: -1, Control: setUnackedTimeout}).DialContext
	}
	if config.Matches == nil {
		config.Matches = func(*http.Request, *http.Response) Match { return Own }
	}
	return &Pool{config: config, idle: map[string][]*conn{}}
}

// Do sends a request to an address and returns its response as soon as the headers
// have arrived. The context applies to the whole exchange, the response body
// included. The caller must read the body to its end or close it. An error is
// marked ErrUnsent if no byte of the request was sent.
func (p *Pool) Do(ctx context.Context, address string, r *http.Request, o Options) (*http.Response, error) {
	c, err := p.acquire(ctx, address, o)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	sent := c.send(r)
	response, err := p.receive(c, r, o)
	if err != nil {
		stop()
		_ = c.Close()
		if r.Body != nil {
			_ = r.Body.Close()
		}
		return nil, p.exchangeError(ctx, c, sent, err)
	}
	b := &body{
		ReadCloser: response.Body, response: response, pool: p, conn: c, sent: sent, stopCancel: stop, reusable: p.reusable(c, response),
	}
	response.Body = b
	if response.ContentLength == 0 || hasNoBody(r, response) {
		b.finish()
	}
	return response, nil
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for address, list := range p.idle {
		for _, c := range list {
			_ = c.Close()
		}
		delete(p.idle, address)
	}
}

// CloseIdle closes the idle connections to one address.
func (p *Pool) CloseIdle(address string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, c := range p.idle[address] {
		_ = c.Close()
	}
	delete(p.idle, address)
}

// Dials returns how often the Pool has dialled.
func (p *Pool) Dials() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.dials
}

// acquire returns a usable idle connection or a new one.
func (p *Pool) acquire(ctx context.Context, address string, o Options) (*conn, error) {
	for {
		c := p.popIdle(address, o)
		if c == nil {
			var err error
			if c, err = p.dial(ctx, address); err != nil {
				return nil, err
			}
			c.carry(p.config.Clock.Now(), o)
			return c, nil
		}
		if p.config.Clock.Since(c.idleSince) < c.idleTimeout && c.usable() {
			c.bytesWritten = 0
			c.carry(p.config.Clock.Now(), o)
			return c, nil
		}
		_ = c.Close()
	}
}

// popIdle removes and returns the idle connection that was used last and has carried no
// attempt at the same request. A repeatable request prefers those that the others may not use.
func (p *Pool) popIdle(address string, o Options) *conn {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	list := p.idle[address]
	best := -1
	for i, c := range list {
		if c.hasCarried(o.Request) {
			continue
		}
		if c.unidentified == o.Repeatable || o.Repeatable && (best < 0 || !list[best].unidentified) {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	c := list[best]
	p.idle[address] = slices.Delete(list, best, best+1)
	return c
}

func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	p.mutex.Lock()
	p.dials++
	p.mutex.Unlock()
	raw, err := p.config.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(errors.Mark(err, ErrUnsent), "back: connect to %s", address)
	}
	c := &conn{Conn: sock.ReportResets(raw), address: address, idleTimeout: defaultIdleTimeout}
	c.reader = bufio.NewReaderSize(limitedReader{c}, bufferSize)
	c.writer = bufio.NewWriterSize(countingWriter{c}, bufferSize)
	return c, nil
}

func (p *Pool) putIdle(c *conn) {
	c.idleSince = p.config.Clock.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.idle[c.address]) >= maxIdlePerServer {
		_ = c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// carry notes that the connection gets an attempt at a request, and forgets the requests
// that have no further attempts.
func (c *conn) carry(now time.Time, o Options) {
	c.carried = slices.DeleteFunc(c.carried, func(r carriedRequest) bool { return !now.Before(r.until) })
	if o.Request != "" {
		c.carried = append(c.carried, carriedRequest{id: o.Request, until: o.Deadline.Add(lateAttemptTime)})
	}
}

// hasCarried reports whether the connection has had an attempt at a request.
func (c *conn) hasCarried(request string) bool {
	return request != "" && slices.ContainsFunc(c.carried, func(r carriedRequest) bool { return r.id == request })
}

// send writes the request and returns a channel that receives the result. A request
// with a body is written by a goroutine of its own, since the response may arrive
// before the whole body is sent.
func (c *conn) send(r *http.Request) chan error {
	sent := make(chan error, 1)
	write := func() {
		err := r.Write(c.writer)
		if err == nil {
			err = c.writer.Flush()
		}
		if err != nil && !c.writeFailed {
			// Reading the request body failed. The backend server would wait for
			// the rest of it, so no response can be expected.
			_ = c.Close()
		}
		sent <- err
	}
	if r.Body == nil || r.Body == http.NoBody {
		write()
		return sent
	}
	go write()
	return sent
}

// receive reads up to the headers of the response that belongs to the request.
func (p *Pool) receive(c *conn, r *http.Request, o Options) (*http.Response, error) {
	for range maxMismatched {
		response, err := c.readHead(r, o)
		if err != nil {
			return nil, err
		}
		switch p.config.Matches(r, response) {
		case Own:
			return response, nil
		case Unidentified:
			c.unidentified = true
			return response, nil
		case Other:
		}
		// A server that sent one response too many may send more, so the
		// connection is not reused.
		c.idleTimeout = 0
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, errors.Wrap(err, "back: discard response to another request")
		}
		if response.Close {
			return nil, ErrResponseMismatch
		}
	}
	return nil, ErrResponseMismatch
}

// exchangeError returns the error of a failed exchange. It combines err with the
// cause of the context's end and the result of writing the request, and marks it
// ErrUnsent if no byte of the request was sent.
func (p *Pool) exchangeError(ctx context.Context, c *conn, sent chan error, err error) error {
	writeErr := <-sent
	if cause := context.Cause(ctx); cause != nil {
		err = errors.CombineErrors(cause, err)
	}
	err = errors.CombineErrors(err, writeErr)
	if c.bytesWritten == 0 {
		err = errors.Mark(err, ErrUnsent)
	}
	return errors.Wrapf(err, "back: exchange with %s", c.address)
}

// reusable reports whether a connection may be kept after a response. It also sets
// the connection's idle timeout from the response.
func (p *Pool) reusable(c *conn, response *http.Response) bool {
	if timeout, found := keepAlive(response.Header); found && c.idleTimeout > 0 {
		c.idleTimeout = time.Duration(float64(timeout) * idleTimeoutShare)
	}
	framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	return !response.Close && framed && c.idleTimeout > 0 && len(c.carried) < maxCarried
}

// keepAlive returns the timeout parameter of a Keep-Alive header.
func keepAlive(h http.Header) (time.Duration, bool) {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !found {
			continue
		}
		seconds, err := strconv.Atoi(value)
		return time.Duration(seconds) * time.Second, err == nil
	}
	return 0, false
}

// hasNoBody reports whether a response has no body by its method or status.
func hasNoBody(r *http.Request, response *http.Response) bool {
	return r.Method == http.MethodHead || response.StatusCode == http.StatusNoContent ||
		response.StatusCode == http.StatusNotModified
}

// Read reads from the body. At the end of the body it returns the connection to the
// pool, unless the trailers are invalid.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if broken := heads.CheckFields(b.response.Trailer); broken != nil {
		_ = b.Close()
		return n, errors.Wrap(errors.Mark(broken, ErrInvalidResponse), "back: read trailers")
	}
	b.finish()
	return n, err
}

// Close closes the connection if the body was not read to its end.
func (b *body) Close() error {
	if b.done {
		return nil
	}
	b.done = true
	b.stopCancel()
	return b.conn.Close()
}

// finish returns the connection to the pool if it can be reused, and closes it if
// not.
func (b *body) finish() {
	if b.done {
		return
	}
	b.done = true
	stopped := b.stopCancel()
	if stopped && b.reusable && b.fullySent() && b.conn.reader.Buffered() == 0 {
		b.pool.putIdle(b.conn)
		return
	}
	_ = b.conn.Close()
}

// fullySent reports whether the whole request was sent. If a part of its body is
// missing, the backend server would read the next request as that part. The
// goroutine that writes may return shortly after the response has been read, so
// fullySent waits for it for up to writerGrace.
func (b *body) fullySent() bool {
	timer := time.NewTimer(writerGrace)
	defer timer.Stop()
	select {
	case err := <-b.sent:
		return err == nil
	case <-timer.C:
		return false
	}
}

// usable reports whether an idle connection is open and has no unread bytes. A
// connection that is not a socket counts as usable if no bytes are buffered.
func (c *conn) usable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, recvErr := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = errors.Is(recvErr, unix.EAGAIN)
		return true
	})
	return err == nil && empty
}

// countingWriter writes to a connection, counts the bytes and records failures.
type countingWriter struct {
	conn *conn
}

// Write implements io.Writer.
func (w countingWriter) Write(p []byte) (int, error) {
	n, err := w.conn.Write(p)
	w.conn.bytesWritten += int64(n)
	w.conn.writeFailed = w.conn.writeFailed || err != nil
	return n, err
}
