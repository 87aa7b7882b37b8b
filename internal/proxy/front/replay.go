package front

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxReplayBytes is how much of a body is kept to be sent again. It also
	// bounds what is sent before the sidecar has a slot for the attempt.
	maxReplayBytes = 64 << 10
	// bodyReadTimeout bounds one read of the caller's body.
	bodyReadTimeout = 30 * time.Second
)

// errCallerBody marks a body that its caller did not send whole.
var errCallerBody = errors.New("front: caller did not send its whole body")

// replayableBody is a request's body. It keeps the first maxReplayBytes, so that
// another attempt can send them again. It is safe for concurrent use.
type replayableBody struct {
	mutex   sync.Mutex
	body    io.ReadCloser
	control *http.ResponseController
	length  int64
	prefix  []byte
	// offset is how many bytes of prefix the current attempt has read.
	offset int
	// overflowed reports that bytes were read beyond those kept in prefix. The
	// body cannot be sent again.
	overflowed bool
	ended      bool
	failed     error
	// epoch counts the attempts. It invalidates the reads of attempts that have
	// ended.
	epoch int
}

func newReplayableBody(x *exchange) *replayableBody {
	r := x.request
	b := &replayableBody{length: r.ContentLength, control: http.NewResponseController(x.writer)}
	if b.length == 0 || r.Body == nil || r.Body == http.NoBody {
		b.length = 0
		b.ended = true
		return b
	}
	b.body = http.MaxBytesReader(x.writer, r.Body, x.match.MaxBodyBytes)
	return b
}

// rewind resets the body to its start. It reports false if the body cannot be
// sent again.
func (b *replayableBody) rewind() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.offset = 0
	b.epoch++
	return !b.overflowed && b.failed == nil
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
	if b.ended {
		return 0, io.EOF
	}
	if b.failed != nil {
		return 0, b.failed
	}
	return b.readCaller(p)
}

// readCaller reads from the caller and keeps the bytes while they fit into
// prefix. The mutex must be held.
func (b *replayableBody) readCaller(p []byte) (int, error) {
	_ = b.control.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	n, err := b.body.Read(p)
	_ = b.control.SetReadDeadline(time.Time{})
	if len(b.prefix)+n <= maxReplayBytes && !b.overflowed {
		b.prefix = append(b.prefix, p[:n]...)
		b.offset += n
	} else {
		b.overflowed = true
	}
	if errors.Is(err, io.EOF) {
		b.ended = true
		if n > 0 {
			err = nil
		}
		return n, err
	}
	if err != nil {
		b.failed = errors.CombineErrors(errors.Mark(err, errCallerBody), errCallerBody)
		return n, b.failed
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

// readError returns the error with which the caller's body ended early, or nil.
func (b *replayableBody) readError() error {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.failed
}

func (b *replayableBody) close() {
	if b.body != nil {
		_ = b.body.Close()
	}
}
