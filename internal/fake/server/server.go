package server

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/figwick/figwick/internal/base/ident"
)

// RequestHeader names a request for the counting of its runs.
const RequestHeader = "X-Request-Id"

type (
	// Sickness is what is wrong with a Server. The zero value is health.
	Sickness struct {
		// Failing is the share of requests answered with 500.
		Failing float64
		// Truncating is the share of answers cut short.
		Truncating float64
		// Slower multiplies the service time; below 1 is 1.
		Slower float64
		// Hanging gives no answer at all.
		Hanging bool
	}

	// Config makes a Server.
	Config struct {
		ID      ident.Backend
		Service ident.Service
		Zone    ident.Zone
		Slots   int
		// Work is the service time of a healthy server.
		Work time.Duration
		// Nodes are the addresses that take announcements, in order of
		// preference.
		Nodes []string
		Clock clockwork.Clock
		// Client announces; nil is a client of its own.
		Client *http.Client
		// Handler replaces the answer that a healthy server gives.
		Handler http.HandlerFunc
	}

	// Server is a stand-in backend server.
	Server struct {
		config   Config
		listener net.Listener
		http     *http.Server
		sick     atomic.Pointer[Sickness]
		announce announcer
		mutex    sync.Mutex
		runs     map[string]int
		busy     int
		peak     int
	}
)

// Start listens on a loopback port, serves and announces until the context
// ends.
func Start(ctx context.Context, c Config) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "server: listen")
	}
	if c.Client == nil {
		c.Client = &http.Client{Timeout: 2 * time.Second}
	}
	s := &Server{config: c, listener: listener, runs: map[string]int{}}
	s.sick.Store(&Sickness{})
	s.announce = announcer{server: s, incarnation: uint64(c.Clock.Now().UnixNano())}
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: time.Minute}
	go func() { _ = s.http.Serve(listener) }()
	context.AfterFunc(ctx, func() { _ = s.http.Close() })
	go s.announce.run(ctx)
	return s, nil
}

// Address is where the server serves.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Fall makes the server sick, or well again.
func (s *Server) Fall(sick Sickness) {
	s.sick.Store(&sick)
}

// Kill closes the server at once, as a crash would.
func (s *Server) Kill() {
	s.announce.stop()
	_ = s.http.Close()
}

// Leave drains: it tells its node that it leaves, finishes what it has and
// closes.
func (s *Server) Leave(ctx context.Context) error {
	s.announce.leave(ctx)
	return errors.Wrap(s.http.Shutdown(ctx), "server: shut down")
}

// Runs returns how often the requests were run, by their id.
func (s *Server) Runs() map[string]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	runs := make(map[string]int, len(s.runs))
	for id, n := range s.runs {
		runs[id] = n
	}
	return runs
}

// Total returns how many requests were run.
func (s *Server) Total() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	total := 0
	for _, n := range s.runs {
		total += n
	}
	return total
}

// Peak returns the most requests that were worked on at once.
func (s *Server) Peak() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.peak
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		_, _ = io.WriteString(w, "ok\n")
		return
	}
	s.begin(r.Header.Get(RequestHeader))
	defer s.end()
	sick := *s.sick.Load()
	if sick.Hanging {
		<-r.Context().Done()
		return
	}
	s.work(r.Context(), time.Duration(float64(s.config.Work)*max(1, sick.Slower)))
	switch {
	case rand.Float64() < sick.Failing:
		http.Error(w, "sick", http.StatusInternalServerError)
	case rand.Float64() < sick.Truncating:
		truncate(w)
	case s.config.Handler != nil:
		s.config.Handler(w, r)
	default:
		s.answer(w, r)
	}
}

func (s *Server) work(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-s.config.Clock.After(d):
	case <-ctx.Done():
	}
}

// answer tells who answered what, and gives the body back.
func (s *Server) answer(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("X-Backend-Server", string(s.config.ID))
	_, _ = fmt.Fprintf(w, "%s %s by %s for %q\n", r.Method, r.URL.Path, s.config.ID, r.Header.Get(RequestHeader))
	_, _ = w.Write(body)
}

// truncate promises more than it sends.
func truncate(w http.ResponseWriter) {
	text := "half an ans"
	w.Header().Set("Content-Length", strconv.Itoa(2*len(text)))
	_, _ = io.WriteString(w, text)
	panic(http.ErrAbortHandler)
}

func (s *Server) begin(id string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.runs[id]++
	s.busy++
	s.peak = max(s.peak, s.busy)
}

func (s *Server) end() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.busy--
}
