package back

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

const (
	// connectTimeout bounds the dialling of a backend server, which is near.
	connectTimeout = 500 * time.Millisecond
	// unackedTimeout bounds how long sent bytes may stay unacknowledged, so that
	// a connection that has gone silent ends.
	unackedTimeout = time.Second
	// idleUnsaid is how long a connection is kept whose backend server does not
	// say how long it keeps it.
	idleUnsaid = 4 * time.Second
	// idleShare is the part of a told idle timeout that is used, since the
	// backend server began to count earlier.
	idleShare = 0.75
	// mostIdle bounds the connections kept for one backend server.
	mostIdle    = 64
	bufferBytes = 4 << 10
	// sentGrace is how long a writer that has nothing more to write may take to
	// say so, in real time: it is a matter of scheduling.
	sentGrace = 20 * time.Millisecond
	// mostForeign bounds the answers of other requests that are skipped.
	mostForeign = 4
)

var (
	// ErrUnsent marks a request of which no byte has left: it was not run.
	ErrUnsent = errors.New("back: nothing was sent")
	// ErrForeign marks a connection that answers other requests only.
	ErrForeign = errors.New("back: answers belong to other requests")
)

type (
	// Config makes a Pool.
	Config struct {
		Clock clockwork.Clock
		// Dial replaces the dialling, in tests.
		Dial func(ctx context.Context, network, address string) (net.Conn, error)
		// Ours tells whether an answer belongs to a request; nil believes all.
		Ours func(request *http.Request, response *http.Response) bool
	}

	// Pool keeps connections to backend servers, by address.
	Pool struct {
		config Config
		mutex  sync.Mutex
		idle   map[string][]*conn
		dials  int
	}

	// Options is how one request is sent.
	Options struct {
		// Early is told each informational answer.
		Early func(status int, h http.Header) error
	}

	// conn is one connection, used by one request at a time.
	conn struct {
		net.Conn
		address string
		reader  *bufio.Reader
		writer  *bufio.Writer
		// written counts the bytes of the present request.
		written int64
		// refused tells that the connection took no more bytes; an answer may
		// be there all the same.
		refused bool
		keep    time.Duration
		since   time.Time
	}

	// body is an answer's body, which gives its connection back at its end.
	body struct {
		io.ReadCloser
		pool  *Pool
		conn  *conn
		sent  chan error
		stop  func() bool
		reuse bool
		ended bool
	}
)

// NewPool returns a Pool without connections.
func NewPool(config Config) *Pool {
	if config.Dial == nil {
		config.Dial = (&net.Dialer{Timeout: connectTimeout, KeepAlive: -1, Control: limitUnacked}).DialContext
	}
	if config.Ours == nil {
		config.Ours = func(*http.Request, *http.Response) bool { return true }
	}
	return &Pool{config: config, idle: map[string][]*conn{}}
}

// Do sends a request and returns the head of its answer. The context bounds the
// whole exchange. The body must be read to its end or closed.
func (p *Pool) Do(ctx context.Context, address string, r *http.Request, o Options) (*http.Response, error) {
	c, err := p.take(ctx, address)
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
		return nil, p.failure(ctx, c, sent, err)
	}
	b := &body{ReadCloser: response.Body, pool: p, conn: c, sent: sent, stop: stop, reuse: p.reusable(c, response)}
	response.Body = b
	if response.ContentLength == 0 || bodiless(r, response) {
		b.end()
	}
	return response, nil
}

// Close ends the idle connections.
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

// Forget ends the idle connections to one backend server.
func (p *Pool) Forget(address string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, c := range p.idle[address] {
		_ = c.Close()
	}
	delete(p.idle, address)
}

// Dials returns how many connections were made.
func (p *Pool) Dials() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.dials
}

func (p *Pool) take(ctx context.Context, address string) (*conn, error) {
	for {
		c := p.pop(address)
		if c == nil {
			return p.dial(ctx, address)
		}
		if p.config.Clock.Since(c.since) < c.keep && c.silent() {
			c.written = 0
			return c, nil
		}
		_ = c.Close()
	}
}

func (p *Pool) pop(address string) *conn {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
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
	c := &conn{Conn: raw, address: address, keep: idleUnsaid}
	c.reader = bufio.NewReaderSize(raw, bufferBytes)
	c.writer = bufio.NewWriterSize(writes{c}, bufferBytes)
	return c, nil
}

func (p *Pool) put(c *conn) {
	c.since = p.config.Clock.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.idle[c.address]) >= mostIdle {
		_ = c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// send writes the request. A request with a body is written beside the reading
// of the answer, which may come before the body has gone.
func (c *conn) send(r *http.Request) chan error {
	sent := make(chan error, 1)
	write := func() {
		err := r.Write(c.writer)
		if err == nil {
			err = c.writer.Flush()
		}
		if err != nil && !c.refused {
			// The body broke off, so no answer is to be waited for.
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

// receive reads up to the head of the answer that belongs to the request.
func (p *Pool) receive(c *conn, r *http.Request, o Options) (*http.Response, error) {
	for range mostForeign {
		response, err := c.head(r, o)
		if err != nil {
			return nil, err
		}
		if p.config.Ours(r, response) {
			return response, nil
		}
		// Whoever sends one answer too many may send more.
		c.keep = 0
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, errors.Wrap(err, "back: another request's answer")
		}
		if response.Close {
			return nil, ErrForeign
		}
	}
	return nil, ErrForeign
}

// head reads the head of the next final answer.
func (c *conn) head(r *http.Request, o Options) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(c.reader, r)
		if err != nil {
			return nil, errors.Wrap(err, "back: answer")
		}
		if response.StatusCode >= http.StatusOK || response.StatusCode == http.StatusSwitchingProtocols {
			return response, nil
		}
		if o.Early != nil {
			if err := o.Early(response.StatusCode, response.Header); err != nil {
				return nil, errors.Wrap(err, "back: informational answer")
			}
		}
	}
}

// failure marks an error as ErrUnsent where no byte of the request has left.
func (p *Pool) failure(ctx context.Context, c *conn, sent chan error, err error) error {
	writeErr := <-sent
	if cause := context.Cause(ctx); cause != nil {
		err = errors.CombineErrors(cause, err)
	}
	err = errors.CombineErrors(err, writeErr)
	if c.written == 0 {
		err = errors.Mark(err, ErrUnsent)
	}
	return errors.Wrapf(err, "back: exchange with %s", c.address)
}

// reusable tells whether a connection may be kept after an answer.
func (p *Pool) reusable(c *conn, response *http.Response) bool {
	if keep, said := keepAlive(response.Header); said && c.keep > 0 {
		c.keep = time.Duration(float64(keep) * idleShare)
	}
	framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	return !response.Close && framed && c.keep > 0
}

// keepAlive returns the idle timeout that an answer tells.
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

func bodiless(r *http.Request, response *http.Response) bool {
	return r.Method == http.MethodHead || response.StatusCode == http.StatusNoContent ||
		response.StatusCode == http.StatusNotModified
}

// Read reads the body and gives the connection back at its end.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.end()
	}
	return n, err
}

// Close gives up a connection whose answer was not read to its end.
func (b *body) Close() error {
	if b.ended {
		return nil
	}
	b.ended = true
	b.stop()
	return b.conn.Close()
}

func (b *body) end() {
	if b.ended {
		return
	}
	b.ended = true
	stopped := b.stop()
	if stopped && b.reuse && b.wholeSent() && b.conn.reader.Buffered() == 0 {
		b.pool.put(b.conn)
		return
	}
	_ = b.conn.Close()
}

// wholeSent tells whether the request has gone whole; what is left of it would
// be taken for the next request. The writer may be a moment behind the answer.
func (b *body) wholeSent() bool {
	timer := time.NewTimer(sentGrace)
	defer timer.Stop()
	select {
	case err := <-b.sent:
		return err == nil
	case <-timer.C:
		return false
	}
}

// silent tells whether an idle connection is open and has nothing to read.
func (c *conn) silent() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := rawOf(c.Conn)
	if err != nil {
		return true
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, failed := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(failed, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// writes counts the bytes that a connection took.
type writes struct {
	conn *conn
}

// Write writes to the connection.
func (w writes) Write(p []byte) (int, error) {
	n, err := w.conn.Write(p)
	w.conn.written += int64(n)
	w.conn.refused = w.conn.refused || err != nil
	return n, err
}
