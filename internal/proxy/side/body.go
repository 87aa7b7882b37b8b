package side

import (
	"io"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/figwick/figwick/internal/peer/wire"
)

// maxBufferedBytes is how much of a request's body is buffered before the backend
// server reads it.
const maxBufferedBytes = 64 << 10

// errIngressGone marks a request whose ingress has closed the stream.
var errIngressGone = errors.New("side: ingress closed the stream")

// requestBody is the request's body for the backend server. It receives the
// frames that follow a RequestHead, and detects when the ingress closes the
// stream.
type requestBody struct {
	conn *wire.Conn
	// onIngressGone is called when the stream ends before the ingress has
	// acknowledged the response.
	onIngressGone func()
	// onAcknowledged is called when the ingress acknowledges the response.
	onAcknowledged func()
	// onReadAll is called once, when the backend server's connection has read the
	// whole body.
	onReadAll func()
	readAll   bool
	mutex     sync.Mutex
	// changed is signaled when buffered, ended or err changes.
	changed  *sync.Cond
	buffered []byte
	// ended reports that the whole body was received.
	ended   bool
	err     error
	trailer http.Header
	// acknowledged reports that the ingress has the whole response.
	acknowledged bool
}

func newRequestBody(conn *wire.Conn, empty bool, onIngressGone func()) *requestBody {
	b := &requestBody{conn: conn, onIngressGone: onIngressGone, ended: empty}
	b.changed = sync.NewCond(&b.mutex)
	return b
}

// receive handles frames until the stream ends.
func (b *requestBody) receive() {
	defer b.conn.Release()
	for {
		frame, err := b.conn.Next()
		if err == nil {
			err = b.handleFrame(frame)
		}
		if err != nil {
			b.fail(err)
			return
		}
	}
}

func (b *requestBody) handleFrame(f wire.Frame) error {
	switch f.Kind {
	case wire.KindBody:
		return b.add(f.Payload)
	case wire.KindEnd:
		end, err := wire.Decode[wire.End](f, wire.KindEnd)
		if err != nil {
			return err
		}
		b.finish(wire.ToHeader(end.Trailers))
		return nil
	case wire.KindDone:
		b.mutex.Lock()
		b.acknowledged = true
		b.mutex.Unlock()
		b.onAcknowledged()
		return nil
	default:
		return errors.Wrapf(wire.ErrFrame, "kind %d in a request", f.Kind)
	}
}

// add buffers a part of the body. It blocks while the buffer is full.
func (b *requestBody) add(p []byte) error {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for len(b.buffered) > 0 && len(b.buffered)+len(p) > maxBufferedBytes && b.err == nil {
		b.changed.Wait()
	}
	if b.err != nil {
		return b.err
	}
	if b.ended {
		return errors.Wrap(wire.ErrFrame, "body after its end")
	}
	b.buffered = append(b.buffered, p...)
	b.changed.Broadcast()
	return nil
}

func (b *requestBody) finish(trailer http.Header) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.ended = true
	b.trailer = trailer
	b.changed.Broadcast()
}

// fail ends the body with an error, and calls onIngressGone if the response was
// not acknowledged.
func (b *requestBody) fail(err error) {
	b.mutex.Lock()
	if b.err == nil {
		b.err = errors.CombineErrors(errIngressGone, err)
	}
	b.changed.Broadcast()
	acknowledged := b.acknowledged
	b.mutex.Unlock()
	if !acknowledged {
		b.onIngressGone()
	}
}

// complete reports whether the whole body was received.
func (b *requestBody) complete() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.ended
}

// truncated reports whether the stream ended before the body did. That is not a
// failure of the backend server.
func (b *requestBody) truncated() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.err != nil && !b.ended
}

// Read reads from the body. It blocks until some of it was received.
func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.readBuffered(p)
	if errors.Is(err, io.EOF) && !b.readAll {
		b.readAll = true
		b.onReadAll()
	}
	return n, err
}

func (b *requestBody) readBuffered(p []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for len(b.buffered) == 0 && !b.ended && b.err == nil {
		b.changed.Wait()
	}
	if len(b.buffered) > 0 {
		n := copy(p, b.buffered)
		b.buffered = b.buffered[:copy(b.buffered, b.buffered[n:])]
		b.changed.Broadcast()
		return n, nil
	}
	if b.ended {
		return 0, io.EOF
	}
	return 0, b.err
}

// Close unblocks a pending Read. Later reads fail with errIngressGone unless the
// whole body was received.
func (b *requestBody) Close() error {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.err == nil && !b.ended {
		b.err = errIngressGone
	}
	b.changed.Broadcast()
	return nil
}
