package front

import (
	"cmp"
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/singleflight"

	"github.com/figwick/figwick/internal/base/events"
	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/base/meter"
	"github.com/figwick/figwick/internal/base/turn"
	"github.com/figwick/figwick/internal/peer/link"
	"github.com/figwick/figwick/internal/policy/health"
	"github.com/figwick/figwick/internal/policy/limit"
	"github.com/figwick/figwick/internal/policy/retry"
	"github.com/figwick/figwick/internal/policy/route"
	"github.com/figwick/figwick/internal/state/config"
)

// findEvery is the least time between two questions to the directory that a
// request has to wait for.
const findEvery = 50 * time.Millisecond

type (
	// Opener opens streams to other nodes.
	Opener interface {
		Open(ctx context.Context, address string) (*link.Stream, error)
		Drop(address string)
	}

	// Finder asks the directory for the sidecars of a service.
	Finder interface {
		Find(ctx context.Context, name ident.Service) []route.Sidecar
	}

	// Relays names nodes by which others may be reached.
	Relays interface {
		Relays(around string, n int) []string
	}

	// Config makes a Server.
	Config struct {
		Clock  clockwork.Clock
		Random turn.Source
		Log    hclog.Logger
		Meter  *meter.Meter
		Links  Opener
		Zone   ident.Zone
		// Finder is asked while no sidecar of a service is known.
		Finder Finder
		// Relays is asked for ways around a path that fails.
		Relays Relays
		// Dialect is how callers speak; nil is Plain.
		Dialect Dialect
		// Origin is the service on whose VM this ingress runs; empty is none.
		Origin ident.Service
		// Path is how soon a silent path is given up; its zero fields are the
		// package's.
		Path Path
		// DirectTries is how many sidecars are asked for a free slot before one
		// is asked to let the request wait.
		DirectTries int
		// Margin is left of a caller's own time for the answer's way back.
		Margin time.Duration
		// OwnCalls is told of requests of the backend server beside this ingress
		// that failed; nil is not told.
		OwnCalls func()
		// OwnHost is the IP address that such requests come from.
		OwnHost string
		// SidecarsPay leaves the budget of second sends to the sidecars.
		SidecarsPay bool
		// Keys keeps the records of idempotency keys; nil keeps none.
		Keys Keys
	}

	// Path is how soon a path to a sidecar is given up.
	Path struct {
		// Open bounds the opening of a stream, a dial included.
		Open time.Duration
		// Patience is how long an attempt may be silent before its path is
		// tried.
		Patience time.Duration
		// Ping bounds the sign of life that a silent path must give.
		Ping time.Duration
	}

	// Server is one node's ingress.
	Server struct {
		config   Config
		table    atomic.Pointer[config.Table]
		inFlight atomic.Int64
		mutex    sync.Mutex
		lanes    map[ident.Service]*lane
		limits   limit.Local
		finding  singleflight.Group
	}

	// lane is one service as this ingress sees it.
	lane struct {
		picker route.Picker
		budget retry.Budget
		survey health.ServiceStats
		// used is when the last request came.
		used time.Time
		// findAt is when the directory may be asked again out of turn.
		findAt time.Time
	}
)

// within returns the Path for requests whose answers are wanted within a target:
// those that take their time can wait longer for a sign of life, which a node with
// a slow processor or a path that loses packets gives late.
func (p Path) within(target time.Duration) Path {
	const patienceShare, pingShare = 8, 4
	p.Patience = min(max(p.Patience, target/patienceShare), patience)
	p.Ping = min(max(p.Ping, target/pingShare), pingTimeout)
	return p
}

// NewServer returns a Server without a configuration.
func NewServer(config Config) *Server {
	if config.Dialect == nil {
		config.Dialect = Plain{}
	}
	config.Path.Open = cmp.Or(config.Path.Open, openTimeout)
	config.Path.Patience = cmp.Or(config.Path.Patience, patience)
	config.Path.Ping = cmp.Or(config.Path.Ping, pingTimeout)
	return &Server{config: config, lanes: map[ident.Service]*lane{}}
}

// Configure puts a revision in force between two requests.
func (s *Server) Configure(table *config.Table) {
	s.table.Store(table)
}

// Table returns the revision in force, or nil.
func (s *Server) Table() *config.Table {
	return s.table.Load()
}

// InFlight returns how many callers' requests are under way.
func (s *Server) InFlight() int {
	return int(s.inFlight.Load())
}

// ServeHTTP serves one caller's request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.config.Meter.InFlight.Update(float64(s.inFlight.Add(1)))
	defer func() { s.config.Meter.InFlight.Update(float64(s.inFlight.Add(-1))) }()
	x := &exchange{server: s, writer: w, request: r, arrived: s.config.Clock.Now()}
	defer x.guard()
	x.serve()
	if !x.succeeded && s.config.OwnCalls != nil && hostOf(r.RemoteAddr) == s.config.OwnHost {
		s.config.OwnCalls()
	}
}

// SetSidecars tells which sidecars serve a service.
func (s *Server) SetSidecars(name ident.Service, sidecars []route.Sidecar) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	l := s.lane(name)
	kept := map[string]bool{}
	for _, c := range sidecars {
		kept[c.Address] = true
		l.picker.Set(c)
	}
	for _, address := range l.picker.Addresses() {
		if !kept[address] {
			l.picker.Remove(address)
		}
	}
}

// find asks for the sidecars of a service that this ingress does not know, or
// knows too late, and adds them. A service is asked for once in findEvery.
func (s *Server) find(ctx context.Context, name ident.Service) {
	_, _, _ = s.finding.Do(string(name), func() (any, error) {
		due := false
		s.with(name, func(t turn.Turn, l *lane) { due = !t.Now.Before(l.findAt) })
		if !due {
			return nil, nil
		}
		found := s.config.Finder.Find(context.WithoutCancel(ctx), name)
		s.with(name, func(t turn.Turn, l *lane) {
			l.findAt = t.Now.Add(findEvery)
			for _, c := range found {
				l.picker.Set(c)
			}
		})
		return nil, nil
	})
}

// Used returns the services that had requests since a time.
func (s *Server) Used(since time.Time) []ident.Service {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var used []ident.Service
	for name, l := range s.lanes {
		if l.used.After(since) {
			used = append(used, name)
		}
	}
	return used
}

// Known returns the services that this ingress has been told of or asked for.
func (s *Server) Known() []ident.Service {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return sortedNames(s.lanes)
}

// Limits runs a function on the limits of this ingress.
func (s *Server) Limits(f func(now time.Time, l *limit.Local)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	f(s.config.Clock.Now(), &s.limits)
}

// with runs a function on a lane.
func (s *Server) with(name ident.Service, f func(t turn.Turn, l *lane)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	f(turn.Turn{Now: s.config.Clock.Now(), Random: s.config.Random}, s.lane(name))
}

func (s *Server) lane(name ident.Service) *lane {
	l, found := s.lanes[name]
	if !found {
		l = &lane{picker: route.Picker{Zone: s.config.Zone}}
		s.lanes[name] = l
	}
	return l
}

// guard keeps a failed handler from leaving its caller without a truthful
// answer.
func (x *exchange) guard() {
	cause := recover()
	if cause == nil {
		return
	}
	if err, is := cause.(error); is && errors.Is(err, http.ErrAbortHandler) {
		panic(cause)
	}
	events.Emit(x.server.config.Log, events.HandlerPanicked, "cause", cause)
	if x.committed {
		panic(http.ErrAbortHandler)
	}
	x.unknown("handler", "", "internal error")
}

type (
	// Report is the ingress's state, for a dump.
	Report struct {
		Revision ident.Revision `json:"revision"`
		InFlight int            `json:"in-flight"`
		Callers  int            `json:"limited-callers"`
		Services []LaneReport   `json:"services"`
	}

	// LaneReport is one service of a Report.
	LaneReport struct {
		Name        ident.Service  `json:"name"`
		RetryTokens float64        `json:"retry-tokens"`
		Retried     int            `json:"retried"`
		Denied      int            `json:"retries-denied"`
		Sidecars    []route.Report `json:"sidecars"`
	}
)

// Dump reports on everything.
func (s *Server) Dump() Report {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.config.Clock.Now()
	r := Report{InFlight: s.InFlight(), Callers: s.limits.Len()}
	if table := s.Table(); table != nil {
		r.Revision = table.Revision
	}
	for _, name := range sortedNames(s.lanes) {
		l := s.lanes[name]
		r.Services = append(r.Services, LaneReport{
			Name:        name,
			RetryTokens: l.budget.Tokens(),
			Retried:     l.budget.Spent,
			Denied:      l.budget.Denied,
			Sidecars:    l.picker.Dump(now),
		})
	}
	return r
}
