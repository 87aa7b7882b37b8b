package side

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"github.com/figwick/figwick/internal/base/events"
	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/base/meter"
	"github.com/figwick/figwick/internal/base/turn"
	"github.com/figwick/figwick/internal/policy/desk"
	"github.com/figwick/figwick/internal/policy/health"
	"github.com/figwick/figwick/internal/proxy/back"
)

type (
	// Config makes a Server.
	Config struct {
		Clock    clockwork.Clock
		Random   turn.Source
		Log      hclog.Logger
		Meter    *meter.Meter
		Desk     *desk.Desk
		Instance ident.Instance
		// Started is the origin of the readings in stamps.
		Started time.Time
		// Dialect is how backend servers speak; nil is Plain.
		Dialect Dialect
		// Dial replaces the dialling of backend servers, in tests.
		Dial func(ctx context.Context, network, address string) (net.Conn, error)
	}

	// Server is one node's sidecar.
	Server struct {
		config  Config
		pool    *back.Pool
		mutex   sync.Mutex
		waiting map[ident.Attempt]chan verdict
		fated   map[ident.Attempt][]chan struct{}
		running map[ident.Attempt]string
		// excused is when a call of the backend server here last failed, in
		// nanoseconds.
		excused atomic.Int64
	}

	// verdict ends the waiting of one attempt.
	verdict struct {
		granted bool
		server  string
		id      ident.Backend
		reason  desk.Reason
	}
)

// NewServer returns a Server without backend servers.
func NewServer(config Config) *Server {
	if config.Dialect == nil {
		config.Dialect = Plain{}
	}
	return &Server{
		config:  config,
		pool:    back.NewPool(back.Config{Clock: config.Clock, Dial: config.Dial, Ours: config.Dialect.Ours}),
		waiting: map[ident.Attempt]chan verdict{},
		fated:   map[ident.Attempt][]chan struct{}{},
		running: map[ident.Attempt]string{},
	}
}

// Do passes one event to the Desk and carries out what follows.
func (s *Server) Do(event func(t turn.Turn, d *desk.Desk) desk.Ops) {
	s.mutex.Lock()
	ops := event(s.turn(), s.config.Desk)
	s.deliver(ops)
	s.mutex.Unlock()
	s.report(ops.Verdicts)
	for _, id := range ops.Silent {
		events.Emit(s.config.Log, events.BackendGone, "backend-server", string(id), "reason", "silent")
	}
}

// Excuse notes that a call which the backend server made for a request has
// failed: requests under way may fail for that.
func (s *Server) Excuse() {
	s.excused.Store(s.config.Clock.Now().UnixNano())
}

// Look reads from the Desk.
func (s *Server) Look(look func(t turn.Turn, d *desk.Desk)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	look(s.turn(), s.config.Desk)
}

// Running returns the attempts in flight and their backend servers, to be
// listed where a stop reaches its bound.
func (s *Server) Running() map[ident.Attempt]string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	all := make(map[ident.Attempt]string, len(s.running))
	for id, server := range s.running {
		all[id] = server
	}
	return all
}

// Close ends the idle connections to backend servers.
func (s *Server) Close() {
	s.pool.Close()
}

func (s *Server) turn() turn.Turn {
	return turn.Turn{Now: s.config.Clock.Now(), Random: s.config.Random}
}

// deliver wakes the attempts that waited. The mutex is held.
func (s *Server) deliver(ops desk.Ops) {
	for _, g := range ops.Grants {
		s.wake(g.Attempt, verdict{granted: true, server: g.Server.Address, id: g.Server.ID})
	}
	for _, r := range ops.Refusals {
		s.wake(r.Attempt, verdict{reason: r.Reason})
	}
}

func (s *Server) wake(id ident.Attempt, v verdict) {
	if c, found := s.waiting[id]; found {
		delete(s.waiting, id)
		c <- v
	}
}

func (s *Server) report(verdicts []desk.Verdict) {
	for _, v := range verdicts {
		s.reportOne(v)
	}
}

func (s *Server) reportOne(v desk.Verdict) {
	fields := []any{"service", string(v.Service), "backend-server", string(v.Op.Server)}
	switch v.Op.Action {
	case health.Eject:
		after := s.config.Clock.Since(v.Op.Onset)
		fields = append(fields, "reason", string(v.Op.Reason), "evidence-for", after.String())
		s.config.Meter.Detection.RecordDuration(after)
		if v.Removed {
			s.config.Meter.Ejections.Inc(1)
			events.Emit(s.config.Log, events.BackendEjected, fields...)
			return
		}
		s.config.Meter.Lasts.Inc(1)
		events.Emit(s.config.Log, events.BackendLast, fields...)
	case health.StartTrial:
		events.Emit(s.config.Log, events.BackendTrial, fields...)
	case health.Return:
		s.config.Meter.Returns.Inc(1)
		events.Emit(s.config.Log, events.BackendReturned, fields...)
	}
}
