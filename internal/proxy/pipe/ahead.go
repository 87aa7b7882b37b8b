package pipe

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
	"golang.org/x/sys/unix"
)

const (
	// maxAheadBytes bounds what is read ahead on one connection. A message that is longer
	// starts in its turn.
	maxAheadBytes = 16 << 10
	// keptAheadBytes is the largest buffer that an idle connection keeps. Most clients
	// send nothing ahead, and then it never grows.
	keptAheadBytes = 512
	// maxStartedInRow is the number of messages in a row that are started early. A caller that
	// sends without reading then has the rest in turn, until package conns closes the connection.
	maxStartedInRow = 16
	// parseBufferBytes is the size of the buffer for parsing a head. It bounds no line.
	parseBufferBytes = 512
)

// connectionFields are the header fields of messages that start in their turn, since they
// concern the connection or announce a body.
var connectionFields = []string{
	"Connection", "Content-Length", "Expect", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// headScanner finds the end of a message's head, as net/http does: an empty line, where lines
// end with LF or CRLF. Empty lines before the message do not end it.
type headScanner struct {
	// length is that of the line so far, last its last byte.
	length int
	last   byte
	// hasLine reports that there was a line that is not empty.
	hasLine bool
}

// scan returns how many of the bytes belong to the head, and whether it ends with them. It is
// then ready for the next head.
func (s *headScanner) scan(p []byte) (n int, ended bool) {
	for n < len(p) {
		i := bytes.IndexByte(p[n:], '\n')
		if i < 0 {
			s.add(p[n:])
			return len(p), false
		}
		s.add(p[n : n+i])
		n += i + 1
		empty := s.length == 0 || s.length == 1 && s.last == '\r'
		s.length = 0
		if empty && s.hasLine {
			*s = headScanner{}
			return n, true
		}
		s.hasLine = s.hasLine || !empty
	}
	return n, false
}

func (s *headScanner) add(p []byte) {
	if len(p) > 0 {
		s.length += len(p)
		s.last = p[len(p)-1]
	}
}

// readAhead reads ahead and starts messages until the read deadline, which the server sets
// when the handler has returned, or the end of the connection. It returns the error.
func (c *conn) readAhead() error {
	for {
		room := c.room()
		var n int
		var err error
		if len(room) > 0 {
			n, err = c.socket.Read(room)
		} else {
			err = c.awaitHangup()
		}
		if ended := c.addAhead(room[:n], err); ended {
			return err
		}
	}
}

// room returns the space in ahead for the next read. It is empty if ahead is full.
func (c *conn) room() []byte {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	used := len(c.ahead)
	if used == cap(c.ahead) && used < maxAheadBytes && !c.pipeline.isFull() {
		size := min(max(keptAheadBytes, 2*used), maxAheadBytes)
		grown := make([]byte, used, size)
		copy(grown, c.ahead)
		c.ahead = grown
		c.charge()
	}
	return c.ahead[used:cap(c.ahead)]
}

// addAhead adds what has been read and reports whether the reading ahead ends with the error.
func (c *conn) addAhead(p []byte, err error) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.closed {
		c.ahead = append(c.ahead, p...)
		c.charge()
	}
	var timeout net.Error
	switch {
	case err == nil:
		c.startMessages()
		return false
	case errors.As(err, &timeout) && timeout.Timeout():
		c.startMessages()
	default:
		// Nobody waits for the responses any more.
		c.err = err
		c.ahead = nil
		c.charge()
		c.discardStarted()
	}
	return true
}

// awaitHangup waits until the client has closed the connection, although data is left to be
// read. It returns the error that a read would return without that data.
func (c *conn) awaitHangup() error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	err = raw.Read(func(fd uintptr) bool {
		events := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(events, 0)
		return n > 0 || err != nil && !errors.Is(err, unix.EINTR)
	})
	if err != nil {
		return err
	}
	return io.EOF
}

// startMessages starts the messages in ahead that qualify. The mutex must be held.
func (c *conn) startMessages() {
	for c.serving && c.lookAhead && !c.closed && c.startedInRow < maxStartedInRow && len(c.started)+1 < c.pipeline.config.Depth() && !c.pipeline.isFull() {
		n, whole := c.next.scan(c.ahead[c.scanned:])
		c.scanned += n
		if !whole {
			return
		}
		r := parse(c.ahead[c.begun:c.scanned])
		if r == nil || !c.pipeline.config.Ingress.MayStartEarly(r) {
			c.lookAhead = false
			return
		}
		c.begun = c.scanned
		r.RemoteAddr = c.RemoteAddr().String()
		c.start(r)
	}
}

// start starts the exchange of the message that ends at scanned. The mutex must be held.
func (c *conn) start(r *http.Request) {
	ctx, cancel := context.WithCancel(c.base)
	e := &exchange{
		recorder: newRecorder(ctx, c.pipeline),
		request:  r.WithContext(ctx),
		end:      c.delivered + int64(c.scanned),
		cancel:   cancel,
		done:     make(chan struct{}),
	}
	c.started = append(c.started, e)
	c.startedInRow++
	c.pipeline.config.Started.Inc(1)
	go e.run(c.pipeline.config.Ingress)
}

// parse returns the request of a message that consists of a head, or nil if it is not a plain
// one.
func parse(head []byte) *http.Request {
	r, err := http.ReadRequest(bufio.NewReaderSize(bytes.NewReader(head), parseBufferBytes))
	if err != nil || !isPlain(r) || !isValid(r) {
		return nil
	}
	return r
}

// isValid reports whether the server accepts a request that http.ReadRequest has. The server
// checks more.
func isValid(r *http.Request) bool {
	for name, values := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return false
		}
		if slices.ContainsFunc(values, func(v string) bool { return !httpguts.ValidHeaderFieldValue(v) }) {
			return false
		}
	}
	return httpguts.ValidHostHeader(r.Host)
}

// isPlain reports whether the framing of a request leaves no question, so that the server
// reads the same request and its connection goes on after it.
func isPlain(r *http.Request) bool {
	return (r.Method == http.MethodGet || r.Method == http.MethodHead) &&
		r.ProtoMajor == 1 && r.ProtoMinor == 1 &&
		r.Host != "" && strings.HasPrefix(r.RequestURI, "/") &&
		r.ContentLength == 0 && len(r.TransferEncoding) == 0 && !r.Close &&
		!slices.ContainsFunc(connectionFields, func(name string) bool { return isConnectionField(r, name) })
}

// isConnectionField reports whether a request has a header field, other than one that
// says what is true without it.
func isConnectionField(r *http.Request, name string) bool {
	values, set := r.Header[name]
	if name == "Connection" && len(values) == 1 && strings.EqualFold(values[0], "keep-alive") {
		return false
	}
	return set
}
