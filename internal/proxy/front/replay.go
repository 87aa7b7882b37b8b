package front

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/figwick/figwick/internal/proxy/conns"
)

const (
	// maxReplayBytes is how much of a body is kept to be sent again. It also
	// bounds what is sent before the sidecar has a slot for the attempt.
	maxReplayBytes = 64 << 10
	// bodyReadTimeout bounds one read of the caller's body.
	bodyReadTimeout = 30 * time.Second
	// bodyRestTime is how long the response waits for the rest of the caller's body,
	// which must be read before the connection can be used again.
	bodyRestTime = 100 * time.Millisecond
)

// past is a deadline that ends a read or write in progress.
var past = time.Unix(1, 0)

var (
	// errCallerBody marks a body that its caller did not send whole.
	errCallerBody = errors.New("front: caller did not send its whole body")
	// errAnswering ends the reading of a body whose caller is being answered.
	errAnswering = errors.New("front: the caller is being answered")
)

// replayableBody is a request's body. It keeps the first maxReplayBytes, so that
// another attempt can send them again. It is safe for concurrent use.
type replayableBody struct {
	// mutex is held while the caller's connection is read, so that there is one reader at a time.
	mutex sync.Mutex
	// body is the request's body, nil if it is empty, and limit the maximum size that is read of
	// it for attempts.
	body    io.ReadCloser
	limit   int64
	control *http.ResponseController
	// isHTTP1 reports that the connection has one request at a time, which must be read to its end
	// before the next. With HTTP/2 body and response are independent.
	isHTTP1 bool
	// asksFirst reports that the caller waits for 100 Continue before it sends the body.
	asksFirst bool
	// controlMutex guards closed, after which control must not be used: with HTTP/2 it panics
	// once the handler has returned, and an attempt may still be reading the body then.
	controlMutex sync.Mutex
	closed       bool
	// account is told when a read waits for the caller.
	account *conns.Account
	// evicted is set when the process holds too much and ends the exchange with the caller.
	evicted atomic.Bool
	// writing reports that a write of the response waits for the caller.
	writing atomic.Bool
	// timeLeft returns the time until the request must be answered.
	timeLeft func() time.Duration
	length   int64
	prefix   []byte
	// offset is how many bytes of prefix the current attempt has read.
	offset int
	// overflowed reports that bytes were read beyond those kept in prefix. The
	// body cannot be sent again.
	overflowed bool
	// ended reports that the whole body was read for attempts.
	ended atomic.Bool
	// begun reports that the body is being read, or was. count is how much of it was read.
	begun atomic.Bool
	count int64
	// failed is the error with which the body ended early.
	failed atomic.Pointer[error]
	// answering is set before the response begins. Attempts read the body no more.
	answering atomic.Bool
	// rest is closed when nothing reads the rest of the body any more. It is nil unless settle has
	// started to read it. restEnded reports that it was read to its end.
	rest      chan struct{}
	restEnded atomic.Bool
	// epoch counts the attempts. It invalidates the reads of attempts that have
	// ended.
	epoch int
}

func newReplayableBody(x *exchange) *replayableBody {
	r := x.request
	b := &replayableBody{
		length: r.ContentLength, limit: x.match.MaxBodyBytes, control: http.NewResponseController(x.writer), account: x.account,
		isHTTP1: r.ProtoMajor == 1, asksFirst: r.Header.Get("Expect") != "",
		timeLeft: func() time.Duration { return x.answerBy().Sub(x.now()) },
	}
	if b.length == 0 || r.Body == nil || r.Body == http.NoBody {
		b.length = 0
		b.ended.Store(true)
		return b
	}
	b.body = r.Body
	return b
}

// rewind resets the body to its start. It reports false if the body cannot be
// sent again.
func (b *replayableBody) rewind() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.offset = 0
	b.epoch++
	return !b.overflowed && b.readError() == nil
}

// beginEpoch starts the epoch of a new attempt at the start of the body. Reads of
// older epochs fail.
func (b *replayableBody) beginEpoch() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.offset = 0
	b.epoch++
	return b.epoch
}

// read reads the next bytes for the attempt of an epoch. The error wraps
// errCallerBody if the epoch is over or the caller's body has failed.
func (b *replayableBody) read(epoch int, p []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if epoch != b.epoch {
		return 0, errors.Wrap(errCallerBody, "attempt has ended")
	}
	if b.offset < len(b.prefix) {
		n := copy(p, b.prefix[b.offset:])
		b.offset += n
		return n, nil
	}
	if b.ended.Load() {
		return 0, io.EOF
	}
	if err := b.readError(); err != nil {
		return 0, err
	}
	return b.readCaller(p)
}

// readCaller reads from the caller and keeps the bytes while they fit into
// prefix. The mutex must be held.
func (b *replayableBody) readCaller(p []byte) (int, error) {
	if b.answering.Load() {
		return 0, errAnswering
	}
	// At the deadline the attempt ends first, for that reason.
	b.setReadDeadline(time.Now().Add(min(bodyReadTimeout, b.timeLeft()+bodyRestTime)))
	if b.evicted.Load() {
		return 0, errors.Wrap(errCallerBody, "the node holds too much for its callers")
	}
	b.begun.Store(true)
	// settle may have begun meanwhile. It removes the deadline after it has set answering.
	if b.answering.Load() {
		return 0, errAnswering
	}
	b.account.Wait()
	n, err := b.readLimited(p)
	b.account.Proceed()
	b.setReadDeadline(time.Time{})
	if len(b.prefix)+n <= maxReplayBytes && !b.overflowed {
		b.prefix = append(b.prefix, p[:n]...)
		b.offset += n
	} else {
		b.overflowed = true
	}
	if errors.Is(err, io.EOF) {
		b.ended.Store(true)
		if n > 0 {
			err = nil
		}
		return n, err
	}
	if err != nil && b.answering.Load() {
		return n, errAnswering
	}
	if err != nil {
		err = errors.CombineErrors(errors.Mark(err, errCallerBody), errCallerBody)
		b.failed.Store(&err)
		return n, err
	}
	return n, nil
}

// fitsPrefix reports whether the next size bytes would still be kept for another
// attempt.
func (b *replayableBody) fitsPrefix(size int) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return !b.overflowed && b.offset+size <= maxReplayBytes
}

// readError returns the error with which the caller's body ended early, or nil. It does
// not wait for a read in progress.
func (b *replayableBody) readError() error {
	if err := b.failed.Load(); err != nil {
		return *err
	}
	return nil
}

// readLimited reads from the caller up to the limit. http.MaxBytesReader would change the response's
// header, which the handler may be writing.
func (b *replayableBody) readLimited(p []byte) (int, error) {
	n, err := b.body.Read(p)
	b.count += int64(n)
	if over := b.count - b.limit; over > 0 {
		return max(0, n-int(over)), &http.MaxBytesError{Limit: b.limit}
	}
	return n, err
}

// setReadDeadline sets the read deadline unless the body is closed.
func (b *replayableBody) setReadDeadline(t time.Time) {
	b.controlMutex.Lock()
	defer b.controlMutex.Unlock()
	if !b.closed {
		_ = b.control.SetReadDeadline(t)
	}
}

// evict ends the exchange with a caller who does not send or read, because the process holds too
// much. The read of the body or the write of the response that waits then fails.
func (b *replayableBody) evict() {
	b.evicted.Store(true)
	b.controlMutex.Lock()
	defer b.controlMutex.Unlock()
	switch {
	case b.closed:
	case b.writing.Load():
		_ = b.control.SetWriteDeadline(past)
	default:
		_ = b.control.SetReadDeadline(past)
	}
}
