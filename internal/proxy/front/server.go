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

	"github.com/figwick/figwick/internal/base/eval"
	"github.com/figwick/figwick/internal/base/events"
	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/base/meter"
	"github.com/figwick/figwick/internal/peer/link"
	"github.com/figwick/figwick/internal/policy/health"
	"github.com/figwick/figwick/internal/policy/limit"
	"github.com/figwick/figwick/internal/policy/retry"
	"github.com/figwick/figwick/internal/policy/route"
	"github.com/figwick/figwick/internal/proxy/conns"
	"github.com/figwick/figwick/internal/state/config"
)

const (
	// minFindInterval is the minimum time between two directory lookups of one
	// service that a request waits for.
	minFindInterval = 50 * time.Millisecond
	// latencySmoothing is the weight of one sample in service.latency.
	latencySmoothing = 0.1
)

type (
	// Opener opens streams to other nodes. Drop gives up the session to an
	// address, so that the next stream dials again.
	Opener interface {
		Open(ctx context.Context, address string) (*link.Stream, error)
		Drop(address string)
	}

	// Finder looks up the sidecars of a service in the directory.
	Finder interface {
		Find(ctx context.Context, name ident.Service) []route.Sidecar
	}

	// Relays selects up to n nodes that can forward a stream to the address
	// around when the direct path fails.
	Relays interface {
		Relays(around string, n int) []string
	}

	// Config configures a Server.
	Config struct {
		Clock  clockwork.Clock
		Random eval.Random
		Log    hclog.Logger
		Meter  *meter.Meter
		Links  Opener
		Zone   ident.Zone
		// Finder is queried when no known sidecar is left to pick, or when the
		// last one reported that it has no backend server. It is not used when
		// NoWaitTries is set.
		Finder Finder
		// Relays selects the nodes through which a fence is sent in addition to
		// the direct path.
		Relays Relays
		// HeaderCodec reads and writes the header fields that callers and the
		// ingress exchange. Nil means NativeHeaders.
		HeaderCodec HeaderCodec
		// Origin is the service whose VM this ingress runs on. Empty means none.
		Origin ident.Service
		// PathTimeouts bounds how long the ingress waits for an unresponsive
		// path. Zero fields take the package's defaults.
		PathTimeouts PathTimeouts
		// NoWaitTries is the number of sidecars that are asked to serve the
		// request at once or refuse it, before one may queue it. Up to twice as
		// many are asked while they are likely to have a free slot. Zero lets the
		// first sidecar queue it.
		NoWaitTries int
		// DeadlineMargin is subtracted from the caller's timeout, to leave time
		// for the response to travel back to the caller.
		DeadlineMargin time.Duration
		// OnLocalFailure is called when a request from the backend server on this
		// VM (see LocalHost) has failed. Nil disables it.
		OnLocalFailure func()
		// LocalRetryShare returns the probability that a request from the backend server on
		// this VM is a consequence of a retry. Nil means that it never is.
		LocalRetryShare func() float64
		// LocalHost is the IP address from which the backend server on this VM
		// sends its requests.
		LocalHost string
		// SidecarRetryBudget leaves the retry budget to the sidecars. The ingress
		// then spends no tokens of its own on retries and hedges.
		SidecarRetryBudget bool
		// Keys stores the records of idempotency keys. Nil ignores the keys.
		Keys Keys
		// Freshness says how current the active configuration is. Nil means that it is
		// always the newest.
		Freshness Freshness
		// Guard bounds the memory of callers' requests. Nil sets no bound.
		Guard *conns.Guard
		// Quotas holds organisations to their quotas. Nil means that there are none.
		Quotas Quotas
	}

	// PathTimeouts bounds how long the ingress waits for an unresponsive path to
	// a sidecar.
	PathTimeouts struct {
		// Open bounds the opening of a stream, including the dial.
		Open time.Duration
		// ProbeAfter is how long an attempt may run before its path is probed
		// with a ping. It is also the pause between two pings.
		ProbeAfter time.Duration
		// Ping bounds the reply to such a ping.
		Ping time.Duration
		// CheckAfter is how long nothing may have been received on a path before it is
		// pinged ahead of an attempt. What is sent on a dead path may have been run as far
		// as the ingress can tell; what is not sent has not. 0 disables the check.
		CheckAfter time.Duration
	}

	// Server is the ingress of one node. It is safe for concurrent use.
	Server struct {
		config   Config
		table    atomic.Pointer[config.Table]
		inFlight atomic.Int64
		// nestedInFlight counts those of inFlight for which isLocalCall holds.
		nestedInFlight atomic.Int64
		// stopBy is when the process ends. It is nil unless the node is stopping.
		stopBy atomic.Pointer[time.Time]
		// draining is set by Drain.
		draining  atomic.Bool
		stopper   stopper
		mutex     sync.Mutex
		services  map[ident.Service]*service
		limits    limit.Limiter
		usage     usage
		findCalls singleflight.Group
	}

	// service is this ingress's state for one service. Server.mutex guards it.
	service struct {
		picker route.Picker
		budget retry.Budget
		survey health.ServiceStats
		// nested holds the routes that backend servers call, as the service's sidecars
		// report them.
		nested map[string]bool
		// latency is the moving average of the time in which attempts are answered.
		latency time.Duration
		// responseBytes is the moving average of the length of responses' bodies.
		responseBytes float64
		// lastRequest is when the last request arrived.
		lastRequest time.Time
		// nextFind is the earliest time of the next directory lookup.
		nextFind time.Time
		departed departures
	}
)

// forTarget returns the timeouts for requests with a target latency. Requests
// with a long target can wait longer for a ping's reply, which is late when the
// peer's CPU is slow or the path loses packets. The timeouts never exceed the
// package's defaults.
func (p PathTimeouts) forTarget(target time.Duration) PathTimeouts {
	const probeShare, pingShare = 8, 4
	p.ProbeAfter = min(max(p.ProbeAfter, target/probeShare), probeAfter)
	p.Ping = min(max(p.Ping, target/pingShare), pingTimeout)
	return p
}

// NewServer returns a Server that has no configuration yet. Until Configure is
// called it answers requests with 503.
func NewServer(config Config) *Server {
	if config.HeaderCodec == nil {
		config.HeaderCodec = NativeHeaders{}
	}
	config.PathTimeouts.Open = cmp.Or(config.PathTimeouts.Open, openTimeout)
	config.PathTimeouts.ProbeAfter = cmp.Or(config.PathTimeouts.ProbeAfter, probeAfter)
	config.PathTimeouts.Ping = cmp.Or(config.PathTimeouts.Ping, pingTimeout)
	return &Server{config: config, services: map[ident.Service]*service{}, stopper: newStopper()}
}

// Configure makes a revision the current one. Requests that are already under way
// keep the revision they were matched with.
func (s *Server) Configure(table *config.Table) {
	s.table.Store(table)
}

// Table returns the current revision, or nil before the first Configure.
func (s *Server) Table() *config.Table {
	return s.table.Load()
}

// InFlight returns the number of callers' requests that are being served.
func (s *Server) InFlight() int {
	return int(s.inFlight.Load())
}

// CallersInFlight returns the number of requests that are being served, without those
// that the backend server on this VM has made for requests of its own.
func (s *Server) CallersInFlight() int {
	return int(s.inFlight.Load() - s.nestedInFlight.Load())
}

// ServeHTTP serves one request of a caller.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.config.Meter.InFlight.Update(float64(s.inFlight.Add(1)))
	defer func() { s.config.Meter.InFlight.Update(float64(s.inFlight.Add(-1))) }()
	x := &exchange{server: s, writer: w, request: r, arrived: s.config.Clock.Now()}
	defer x.recoverPanic()
	x.serve()
	if !x.succeeded && s.config.OnLocalFailure != nil && x.isLocalCall() {
		s.config.OnLocalFailure()
	}
}

// isLocalCall reports whether the request comes from the backend server on this VM, which
// makes it while it works on a request of its own. Ordinary callers on the VM have the
// same address, but use other routes.
func (x *exchange) isLocalCall() bool {
	host := x.server.config.LocalHost
	if host == "" || x.match.Entry == nil || hostOf(x.request.RemoteAddr) != host {
		return false
	}
	nested := false
	x.server.withService(x.match.Entry.Name, func(_ eval.Context, svc *service) { nested = svc.nested[x.match.Route] })
	return nested
}

// setNested notes whether a route is called by backend servers only.
func (svc *service) setNested(route string, nested bool) {
	switch {
	case !nested:
		delete(svc.nested, route)
	case svc.nested == nil:
		svc.nested = map[string]bool{route: true}
	default:
		svc.nested[route] = true
	}
}

// observeLatency records the time in which an attempt was answered.
func (svc *service) observeLatency(took time.Duration) {
	if svc.latency == 0 {
		svc.latency = took
		return
	}
	svc.latency += time.Duration(latencySmoothing * float64(took-svc.latency))
}

// SetSidecars replaces the sidecars of a service.
func (s *Server) SetSidecars(name ident.Service, sidecars []route.Sidecar) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	svc := s.service(name)
	kept := map[string]bool{}
	for _, c := range sidecars {
		kept[c.Address] = true
		svc.picker.Set(c)
	}
	for _, address := range svc.picker.Addresses() {
		if !kept[address] {
			svc.picker.Remove(address)
		}
	}
}

// findSidecars looks up the sidecars of a service in the directory and adds those
// it finds. Concurrent calls for a service share one lookup, and a service is
// looked up at most once per minFindInterval. The lookup continues when the
// request that started it is canceled.
func (s *Server) findSidecars(ctx context.Context, name ident.Service) {
	_, _, _ = s.findCalls.Do(string(name), func() (any, error) {
		due := false
		s.withService(name, func(t eval.Context, svc *service) { due = !t.Now.Before(svc.nextFind) })
		if !due {
			return nil, nil
		}
		found := s.config.Finder.Find(context.WithoutCancel(ctx), name)
		s.withService(name, func(t eval.Context, svc *service) {
			svc.nextFind = t.Now.Add(minFindInterval)
			for _, c := range found {
				svc.picker.Set(c)
			}
		})
		return nil, nil
	})
}

// ActiveServices returns the services that received requests after a time, in no
// particular order.
func (s *Server) ActiveServices(since time.Time) []ident.Service {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var active []ident.Service
	for name, svc := range s.services {
		if svc.lastRequest.After(since) {
			active = append(active, name)
		}
	}
	return active
}

// KnownServices returns the services for which this ingress holds state, sorted
// by name.
func (s *Server) KnownServices() []ident.Service {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return sortedNames(s.services)
}

// WithLimits runs f on the rate limits of this ingress, with the mutex held.
func (s *Server) WithLimits(f func(now time.Time, l *limit.Limiter)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	f(s.config.Clock.Now(), &s.limits)
}

// withService runs f on a service's state, with the mutex held.
func (s *Server) withService(name ident.Service, f func(t eval.Context, svc *service)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	f(eval.Context{Now: s.config.Clock.Now(), Random: s.config.Random}, s.service(name))
}

// service returns a service's state and creates it if needed. The mutex must be
// held.
func (s *Server) service(name ident.Service) *service {
	svc, found := s.services[name]
	if !found {
		svc = &service{picker: route.Picker{Zone: s.config.Zone}}
		s.services[name] = svc
	}
	return svc
}

// recoverPanic turns a panic of the handler into an answer with outcome unknown.
// If part of the response has been sent, it aborts the caller's connection
// instead.
func (x *exchange) recoverPanic() {
	panicValue := recover()
	if panicValue == nil {
		return
	}
	if err, isError := panicValue.(error); isError && errors.Is(err, http.ErrAbortHandler) {
		panic(panicValue)
	}
	events.Emit(x.server.config.Log, events.HandlerPanicked, "cause", panicValue)
	if x.committed {
		panic(http.ErrAbortHandler)
	}
	x.unknown("handler", "", "internal error")
}
