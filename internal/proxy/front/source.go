package front

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// prefixBytes is how much of a body is kept to be sent again, and how much
	// is sent before the sidecar has a slot for it.
	prefixBytes = 64 << 10
	// bodyIdle bounds how long a caller may give no byte of its body.
	bodyIdle = 30 * time.Second
)

// errCaller marks a body that its caller did not send whole.
var errCaller = errors.New("front: caller's body")

// source is a request's body with its beginning kept.
type source struct {
	mutex   sync.Mutex
	body    io.ReadCloser
	control *http.ResponseController
	length  int64
	prefix  []byte
	// at is how far the current attempt has read.
	at int
	// spilled tells that bytes beyond the prefix were read.
	spilled bool
	ended   bool
	failed  error
	epoch   int
}

func newSource(x *exchange) *source {
	r := x.request
	s := &source{length: r.ContentLength, control: http.NewResponseController(x.writer)}
	if s.length == 0 || r.Body == nil || r.Body == http.NoBody {
		s.length = 0
		s.ended = true
		return s
	}
	s.body = http.MaxBytesReader(x.writer, r.Body, x.match.MaxBodyBytes)
	return s
}

// replay sets the body back to its beginning and reports whether that is there.
func (s *source) replay() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.at = 0
	s.epoch++
	return !s.spilled && s.failed == nil
}

// begin returns the epoch of an attempt; reads of older epochs fail.
func (s *source) begin() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.at = 0
	s.epoch++
	return s.epoch
}

// read returns the next bytes for the attempt of an epoch.
func (s *source) read(epoch int, p []byte) (int, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if epoch != s.epoch {
		return 0, errors.Wrap(errCaller, "attempt has ended")
	}
	if s.at < len(s.prefix) {
		n := copy(p, s.prefix[s.at:])
		s.at += n
		return n, nil
	}
	if s.ended {
		return 0, io.EOF
	}
	if s.failed != nil {
		return 0, s.failed
	}
	return s.pull(p)
}

// pull reads from the caller and keeps the beginning.
func (s *source) pull(p []byte) (int, error) {
	_ = s.control.SetReadDeadline(time.Now().Add(bodyIdle))
	n, err := s.body.Read(p)
	_ = s.control.SetReadDeadline(time.Time{})
	if len(s.prefix)+n <= prefixBytes && !s.spilled {
		s.prefix = append(s.prefix, p[:n]...)
		s.at += n
	} else {
		s.spilled = true
	}
	if errors.Is(err, io.EOF) {
		s.ended = true
		if n > 0 {
			err = nil
		}
		return n, err
	}
	if err != nil {
		s.failed = errors.CombineErrors(errors.Mark(err, errCaller), errCaller)
		return n, s.failed
	}
	return n, nil
}

// keeps tells whether all that the next read returns would still be kept.
func (s *source) keeps(size int) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return !s.spilled && s.at+size <= prefixBytes
}

// failure returns why the caller's body broke off, or nil.
func (s *source) failure() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.failed
}

func (s *source) close() {
	if s.body != nil {
		_ = s.body.Close()
	}
}
