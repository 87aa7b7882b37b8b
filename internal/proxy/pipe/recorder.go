package pipe

import (
	"context"
	"maps"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxRecordedBytes is how much of a response's body is recorded. What goes beyond waits
	// for the response's turn.
	maxRecordedBytes = 64 << 10
	// sendTimeout bounds the sending of what has been recorded, as the ingress bounds its
	// writes.
	sendTimeout = time.Minute
)

type (
	// exchange is a request that has been started before its turn.
	exchange struct {
		*recorder
		request *http.Request
		// end is the position in the stream at which the message ends.
		end    int64
		cancel context.CancelFunc
		// done is closed when the handler has returned, with the value of its panic, if
		// any, in panicValue.
		done       chan struct{}
		panicValue any
	}

	// recorder is the http.ResponseWriter of an exchange. It records the response until
	// its turn, and then passes it on to the server's own writer. Informational responses
	// before the turn are dropped.
	recorder struct {
		ctx context.Context
		// pipeline counts the recorded bytes.
		pipeline *Pipeline
		// header and deadline are used by the handler only. deadline is that of writes,
		// as far as it has not been passed on.
		header   http.Header
		deadline time.Time
		// turn is closed when target may be used.
		turn   chan struct{}
		target http.ResponseWriter
		// mutex guards the fields below.
		mutex sync.Mutex
		// status and head are the head of the response. The status is 0 before.
		status int
		head   http.Header
		body   []byte
		// flushed reports that the handler has flushed the response.
		flushed bool
		// taken reports that nothing is recorded any more.
		taken bool
	}
)

// matches reports whether the server has read the same request.
func (e *exchange) matches(r *http.Request) bool {
	return r.Method == e.request.Method && r.RequestURI == e.request.RequestURI && r.Host == e.request.Host
}

// run calls the handler.
func (e *exchange) run(h http.Handler) {
	defer close(e.done)
	defer func() { e.panicValue = recover() }()
	h.ServeHTTP(e.recorder, e.request)
}

// answer sends the response in its turn. It panics if the handler does, so that the server
// aborts the connection.
func (e *exchange) answer(w http.ResponseWriter, r *http.Request) {
	defer e.cancel()
	stop := context.AfterFunc(r.Context(), e.cancel)
	defer stop()
	if err := e.send(w); err != nil {
		// The server closes the connection because of the failed write.
		e.cancel()
	}
	<-e.done
	if e.panicValue != nil {
		panic(e.panicValue)
	}
	// The server takes only the trailers from fields that are set after the head.
	maps.Copy(w.Header(), e.header)
}

// discard cancels an exchange that is not to be answered.
func (e *exchange) discard() {
	e.cancel()
	e.take()
	e.release()
}

func newRecorder(ctx context.Context, p *Pipeline) *recorder {
	return &recorder{ctx: ctx, pipeline: p, header: http.Header{}, turn: make(chan struct{})}
}

// Header returns the header of the response, and after WriteHeader that of the trailers.
func (r *recorder) Header() http.Header {
	return r.header
}

// WriteHeader records the head of the response or passes it on.
func (r *recorder) WriteHeader(status int) {
	if r.recordHead(status) || r.awaitTurn() != nil {
		return
	}
	passHead(r.target, r.header, status)
}

// recordHead reports whether it has dealt with a head.
func (r *recorder) recordHead(status int) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.status != 0 {
		return true
	}
	if status >= http.StatusOK {
		r.status = status
		if !r.taken {
			r.head = r.header.Clone()
		}
	}
	return !r.taken
}

// Write records a part of the body, or waits for the response's turn and passes it on.
func (r *recorder) Write(p []byte) (int, error) {
	if r.status == 0 {
		r.WriteHeader(http.StatusOK)
	}
	if r.recordBody(p) {
		return len(p), nil
	}
	if err := r.awaitTurn(); err != nil {
		return 0, err
	}
	return r.target.Write(p)
}

func (r *recorder) recordBody(p []byte) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.taken || len(r.body)+len(p) > maxRecordedBytes || r.pipeline.isFull() {
		return false
	}
	r.body = append(r.body, p...)
	r.pipeline.held.Add(int64(len(p)))
	return true
}

func (r *recorder) recordedBytes() int64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return int64(len(r.body))
}

// FlushError makes the server flush the response in its turn.
func (r *recorder) FlushError() error {
	if r.status == 0 {
		r.WriteHeader(http.StatusOK)
	}
	if r.recordFlush() {
		return nil
	}
	if err := r.awaitTurn(); err != nil {
		return err
	}
	return http.NewResponseController(r.target).Flush()
}

func (r *recorder) recordFlush() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !r.taken {
		r.flushed = true
	}
	return !r.taken
}

// SetWriteDeadline sets the deadline of writes, which includes their wait for the turn.
func (r *recorder) SetWriteDeadline(t time.Time) error {
	select {
	case <-r.turn:
		return http.NewResponseController(r.target).SetWriteDeadline(t)
	default:
		r.deadline = t
		return nil
	}
}

// SetReadDeadline does nothing, since the request has no body.
func (*recorder) SetReadDeadline(time.Time) error {
	return nil
}

// awaitTurn waits until target may be used.
func (r *recorder) awaitTurn() error {
	var expired <-chan time.Time
	if !r.deadline.IsZero() {
		timer := time.NewTimer(time.Until(r.deadline))
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-r.turn:
	case <-r.ctx.Done():
		return context.Cause(r.ctx)
	case <-expired:
		return errors.Wrap(os.ErrDeadlineExceeded, "pipe: wait for the response's turn")
	}
	if r.deadline.IsZero() {
		return nil
	}
	deadline := r.deadline
	r.deadline = time.Time{}
	return http.NewResponseController(r.target).SetWriteDeadline(deadline)
}

// take ends the recording.
func (r *recorder) take() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.taken = true
}

// release frees what has been recorded.
func (r *recorder) release() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.pipeline.held.Add(-int64(len(r.body)))
	r.body = nil
}

// send sends what has been recorded. What the handler writes from then on is passed on.
func (r *recorder) send(w http.ResponseWriter) error {
	r.take()
	var err error
	if r.head != nil {
		err = r.sendRecorded(w)
	}
	r.release()
	r.target = w
	close(r.turn)
	return err
}

func (r *recorder) sendRecorded(w http.ResponseWriter) error {
	control := http.NewResponseController(w)
	if err := control.SetWriteDeadline(time.Now().Add(sendTimeout)); err != nil {
		return err
	}
	passHead(w, r.head, r.status)
	if len(r.body) > 0 {
		if _, err := w.Write(r.body); err != nil {
			return err
		}
	}
	if r.flushed {
		return control.Flush()
	}
	return nil
}

// passHead writes the head of a response.
func passHead(w http.ResponseWriter, header http.Header, status int) {
	h := w.Header()
	clear(h)
	maps.Copy(h, header)
	w.WriteHeader(status)
}
