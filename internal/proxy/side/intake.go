package side

import (
	"io"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/figwick/figwick/internal/peer/wire"
)

// intakeBytes is how much of a request's body is held before the backend server
// takes it.
const intakeBytes = 64 << 10

// errLost marks a request whose ingress has closed the stream.
var errLost = errors.New("side: ingress closed the stream")

// intake receives the frames that follow a RequestHead. It is the request's
// body, and notices when the ingress goes away.
type intake struct {
	conn *wire.Conn
	lost func()
	done func()
	// read is called once, when the whole body has been read.
	read    func()
	wasRead bool
	mutex   sync.Mutex
	moved   *sync.Cond
	held    []byte
	ended   bool
	err     error
	trailer http.Header
	// acked tells that the ingress has the whole answer.
	acked bool
}

func newIntake(conn *wire.Conn, empty bool, lost func()) *intake {
	i := &intake{conn: conn, lost: lost, ended: empty}
	i.moved = sync.NewCond(&i.mutex)
	return i
}

// run receives until the stream ends.
func (i *intake) run() {
	defer i.conn.Release()
	for {
		frame, err := i.conn.Next()
		if err == nil {
			err = i.take(frame)
		}
		if err != nil {
			i.fail(err)
			return
		}
	}
}

func (i *intake) take(f wire.Frame) error {
	switch f.Kind {
	case wire.KindBody:
		return i.put(f.Payload)
	case wire.KindEnd:
		end, err := wire.Decode[wire.End](f, wire.KindEnd)
		if err != nil {
			return err
		}
		i.finish(wire.ToHeader(end.Trailers))
		return nil
	case wire.KindDone:
		i.mutex.Lock()
		i.acked = true
		i.mutex.Unlock()
		i.done()
		return nil
	default:
		return errors.Wrapf(wire.ErrFrame, "kind %d in a request", f.Kind)
	}
}

func (i *intake) put(p []byte) error {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	for len(i.held) > 0 && len(i.held)+len(p) > intakeBytes && i.err == nil {
		i.moved.Wait()
	}
	if i.err != nil {
		return i.err
	}
	if i.ended {
		return errors.Wrap(wire.ErrFrame, "body after its end")
	}
	i.held = append(i.held, p...)
	i.moved.Broadcast()
	return nil
}

func (i *intake) finish(trailer http.Header) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.ended = true
	i.trailer = trailer
	i.moved.Broadcast()
}

func (i *intake) fail(err error) {
	i.mutex.Lock()
	if i.err == nil {
		i.err = errors.CombineErrors(errLost, err)
	}
	i.moved.Broadcast()
	acked := i.acked
	i.mutex.Unlock()
	if !acked {
		i.lost()
	}
}

// whole reports whether the body has come to its end.
func (i *intake) whole() bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.ended
}

// broken reports whether the body broke off before its end, which is no fault of
// the backend server's.
func (i *intake) broken() bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.err != nil && !i.ended
}

// Read returns the body as it comes.
func (i *intake) Read(p []byte) (int, error) {
	n, err := i.next(p)
	if errors.Is(err, io.EOF) && !i.wasRead {
		i.wasRead = true
		i.read()
	}
	return n, err
}

func (i *intake) next(p []byte) (int, error) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	for len(i.held) == 0 && !i.ended && i.err == nil {
		i.moved.Wait()
	}
	if len(i.held) > 0 {
		n := copy(p, i.held)
		i.held = i.held[:copy(i.held, i.held[n:])]
		i.moved.Broadcast()
		return n, nil
	}
	if i.ended {
		return 0, io.EOF
	}
	return 0, i.err
}

// Close ends the wait of a Read that is under way.
func (i *intake) Close() error {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.err == nil && !i.ended {
		i.err = errLost
	}
	i.moved.Broadcast()
	return nil
}
