package back

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/figwick/figwick/internal/base/heads"
	"github.com/figwick/figwick/internal/peer/wire"
)

const (
	// maxHeadBytes bounds the header of a response, together with the informational
	// responses before it. A larger one does not fit into a message to another node.
	maxHeadBytes = wire.MaxHeadBytes
	// maxInformational is the number of informational responses to one request. A server that
	// sends them slowly stays below maxHeadBytes until the deadline; one that reports its
	// progress twice a second may do so for 8 s.
	maxInformational = 16
	// statusLinePattern is the start of a status line. A 9 stands for any digit and a 5 for
	// one between 1 and 5; a status outside 100 to 599 has no meaning. The byte after it must
	// be a space or end the line.
	statusLinePattern = "HTTP/1.9 599"
)

var (
	// ErrInvalidResponse means that what the backend server sent is no response.
	ErrInvalidResponse = errors.New("back: invalid response")

	errHeadTooLarge = errors.Newf("back: response headers have more than %d bytes", maxHeadBytes)
)

// readHead reads up to the headers of the next response that is not informational.
func (c *conn) readHead(r *http.Request, o Options) (*http.Response, error) {
	c.readable = maxHeadBytes
	defer func() { c.readable = unlimited }()
	for range maxInformational + 1 {
		if err := c.beginScan(); err != nil {
			return nil, err
		}
		if err := c.checkStatusLine(); err != nil {
			return nil, err
		}
		response, err := http.ReadResponse(c.reader, r)
		if err != nil {
			return nil, errors.Wrap(err, "back: read response headers")
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.Wrap(ErrInvalidResponse, "status 101 to a request without Upgrade")
		}
		if o.OnInformational != nil {
			if err := o.OnInformational(response.StatusCode, response.Header); err != nil {
				return nil, errors.Wrap(err, "back: handle informational response")
			}
		}
	}
	return nil, errors.Wrapf(ErrInvalidResponse, "more than %d informational responses", maxInformational)
}

// beginScan begins the scan of the next head. The reader may hold a part of it, read together with the head before.
func (c *conn) beginScan() error {
	c.scanner = heads.Scanner{}
	ahead, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return errors.Wrap(err, "back: read response headers")
	}
	return c.scan(ahead)
}

// scan checks bytes that may belong to the head that is being read.
func (c *conn) scan(p []byte) error {
	return errors.Mark(c.scanner.Scan(p), ErrInvalidResponse)
}

// checkStatusLine checks the start of the next status line without consuming it.
// http.ReadResponse takes any three bytes that strconv.Atoi accepts for a status, and waits for
// the end of a line that cannot become a status line. The check returns at the first byte that
// does not fit, so that the exchange does not wait for more.
func (c *conn) checkStatusLine() error {
	for n := range len(statusLinePattern) + 1 {
		line, err := c.reader.Peek(n + 1)
		if errors.Is(err, io.EOF) && n > 0 {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return errors.Wrap(err, "back: read status line")
		}
		if !fitsStatusLine(n, line[n]) {
			return errors.Wrapf(ErrInvalidResponse, "status line begins with %q", line)
		}
	}
	return nil
}

// fitsStatusLine reports whether a status line may have a byte at an offset.
func fitsStatusLine(offset int, b byte) bool {
	if offset == len(statusLinePattern) {
		return b == ' ' || b == '\r' || b == '\n'
	}
	switch want := statusLinePattern[offset]; want {
	case '9':
		return '0' <= b && b <= '9'
	case '5':
		return '1' <= b && b <= '5'
	default:
		return b == want
	}
}

// limitedReader reads from a connection, at most conn.readable bytes, and scans the heads.
type limitedReader struct {
	conn *conn
}

// Read implements io.Reader.
func (l limitedReader) Read(p []byte) (int, error) {
	if l.conn.readable <= 0 {
		return 0, errHeadTooLarge
	}
	// net/http's reader ignores some of the errors of a Read, and reads on.
	if err := l.conn.scan(nil); err != nil {
		return 0, err
	}
	n, err := l.conn.Read(p[:min(len(p), l.conn.readable)])
	l.conn.readable -= n
	if err := l.conn.scan(p[:n]); err != nil {
		return 0, err
	}
	return n, err
}
