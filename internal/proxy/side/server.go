package side

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"github.com/figwick/figwick/internal/base/eval"
	"github.com/figwick/figwick/internal/base/events"
	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/base/meter"
	"github.com/figwick/figwick/internal/peer/wire"
	"github.com/figwick/figwick/internal/policy/admit"
	"github.com/figwick/figwick/internal/policy/health"
	"github.com/figwick/figwick/internal/proxy/back"
	"github.com/figwick/figwick/internal/state/roster"
)

type (
	// Config configures a Server.
	Config struct {
		Clock      clockwork.Clock
		Random     eval.Random
		Log        hclog.Logger
		Meter      *meter.Meter
		Controller *admit.Controller
		Instance   ident.Instance
		// Started is the time from which the clock readings in stamps and load
		// reports count.
		Started time.Time
		// HeaderCodec reads and writes the header fields that the sidecar and its
		// backend servers exchange. Nil means NativeHeaders.
		HeaderCodec HeaderCodec
		// OnLeaving is called when a backend server first says in a response that it is
		// leaving. It must not block. Nil disables it.
		OnLeaving func(server ident.Backend, incarnation ident.Incarnation)
		// Dial replaces the dialer for backend servers, in tests.
		Dial func(ctx context.Context, network, address string) (net.Conn, error)
	}

	// Server is the sidecar of one node. It is safe for concurrent use.
	Server struct {
		config Config
		pool   *back.Pool
		mutex  sync.Mutex
		// waiting holds the channels of the attempts that wait for a slot.
		waiting map[ident.Attempt]chan slotResult
		// endWaiters holds the channels that are closed when a running attempt
		// ends, for the fences that wait for it.
		endWaiters map[ident.Attempt][]chan struct{}
		// running holds the attempts in flight with the addresses of their
		// backend servers.
		running map[ident.Attempt]string
		// localFailedAt is when a request of the backend server on this VM last
		// failed, in nanoseconds since the Unix epoch.
		localFailedAt atomic.Int64
	}

	// slotResult ends an attempt's wait for a slot: with a granted slot or with
	// the reason for a refusal.
	slotResult struct {
		granted     bool
		address     string
		backend     ident.Backend
		incarnation ident.Incarnation
		reason      admit.Reason
	}
)

// NewServer returns a Server without backend servers.
func NewServer(config Config) *Server {
	if config.HeaderCodec == nil {
		config.HeaderCodec = NativeHeaders{}
	}
	return &Server{
		config:     config,
		pool:       back.NewPool(back.Config{Clock: config.Clock, Dial: config.Dial, Matches: config.HeaderCodec.Matches}),
		waiting:    map[ident.Attempt]chan slotResult{},
		endWaiters: map[ident.Attempt][]chan struct{}{},
		running:    map[ident.Attempt]string{},
	}
}

// Do passes one event to the controller under the mutex and carries out the
// operations that follow.
func (s *Server) Do(event func(t eval.Context, d *admit.Controller) admit.Ops) {
	ops := s.apply(event)
	s.recordVerdicts(ops.HealthChanges)
	for _, id := range ops.Expired {
		events.Emit(s.config.Log, events.BackendGone, "backend-server", string(id), "reason", "silent")
	}
}

// end passes the end of an attempt to the controller and wakes the fences that wait for it.
func (s *Server) end(id ident.Attempt, event func(t eval.Context, d *admit.Controller) admit.Ops) {
	s.Do(event)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, ended := range s.endWaiters[id] {
		close(ended)
	}
	delete(s.endWaiters, id)
}

// apply passes one event to the controller under the mutex, which a panic of the event does not keep.
func (s *Server) apply(event func(t eval.Context, d *admit.Controller) admit.Ops) admit.Ops {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	ops := event(s.turn(), s.config.Controller)
	s.deliver(ops)
	return ops
}

// NoteLocalFailure notes that a request which the backend server on this VM has
// made to another service failed. The attempts running at that time may fail
// because of it, so their failures don't count against the backend server.
func (s *Server) NoteLocalFailure() {
	s.localFailedAt.Store(s.config.Clock.Now().UnixNano())
}

// RetryShare returns the probability that a request which the backend server on this VM
// makes now is a consequence of a retry.
func (s *Server) RetryShare() float64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.config.Controller.RetryShare()
}

// WithController runs f on the controller under the mutex.
func (s *Server) WithController(f func(t eval.Context, d *admit.Controller)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	f(s.turn(), s.config.Controller)
}

// Running returns the attempts in flight with the addresses of their backend
// servers. They are logged when a drain reaches its time limit.
func (s *Server) Running() map[ident.Attempt]string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	all := make(map[ident.Attempt]string, len(s.running))
	for id, address := range s.running {
		all[id] = address
	}
	return all
}

// Close closes the idle connections to backend servers.
func (s *Server) Close() {
	s.pool.Close()
}

func (s *Server) turn() eval.Context {
	return eval.Context{Now: s.config.Clock.Now(), Random: s.config.Random}
}

// deliver passes grants and refusals to the attempts that wait. The mutex must be
// held.
func (s *Server) deliver(ops admit.Ops) {
	for _, g := range ops.Grants {
		s.wake(g.Attempt, grantedSlot(&g.Server))
	}
	for _, r := range ops.Refusals {
		s.wake(r.Attempt, slotResult{reason: r.Reason})
	}
}

// restoreDepartures closes the backend servers that have told an ingress that they leave.
// This node may have forgotten it in a restart. The mutex must be held.
func (s *Server) restoreDepartures(t eval.Context, departed []*wire.Departure) {
	for _, d := range departed {
		s.deliver(s.config.Controller.RestoreLeaving(t, ident.Backend(d.BackendServer), ident.Incarnation(d.Incarnation)))
	}
}

func grantedSlot(a *roster.Announcement) slotResult {
	return slotResult{granted: true, address: a.Address, backend: a.ID, incarnation: a.Incarnation}
}

// wake ends an attempt's wait, if it is waiting. The mutex must be held.
func (s *Server) wake(id ident.Attempt, result slotResult) {
	if ready, found := s.waiting[id]; found {
		delete(s.waiting, id)
		ready <- result
	}
}

// recordVerdicts logs and counts the health verdicts on backend servers.
func (s *Server) recordVerdicts(verdicts []admit.HealthChange) {
	for _, v := range verdicts {
		s.recordVerdict(v)
	}
}

func (s *Server) recordVerdict(v admit.HealthChange) {
	fields := []any{"service", string(v.Service), "backend-server", string(v.Op.Server)}
	switch v.Op.Action {
	case health.Eject:
		evidenceFor := s.config.Clock.Since(v.Op.Onset)
		fields = append(fields, "reason", string(v.Op.Reason), "evidence-for", evidenceFor.String())
		s.config.Meter.Detection.RecordDuration(evidenceFor)
		if v.Removed {
			s.config.Meter.Ejections.Inc(1)
			events.Emit(s.config.Log, events.BackendEjected, fields...)
			return
		}
		s.config.Meter.PutLast.Inc(1)
		events.Emit(s.config.Log, events.BackendLast, fields...)
	case health.StartTrial:
		events.Emit(s.config.Log, events.BackendTrial, fields...)
	case health.Return:
		s.config.Meter.Returns.Inc(1)
		events.Emit(s.config.Log, events.BackendReturned, fields...)
	}
}
