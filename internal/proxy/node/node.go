package node

import (
	"context"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/figwick/figwick/internal/base/events"
	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/base/meter"
	"github.com/figwick/figwick/internal/base/turn"
	"github.com/figwick/figwick/internal/peer/link"
	"github.com/figwick/figwick/internal/policy/desk"
	"github.com/figwick/figwick/internal/policy/health"
	"github.com/figwick/figwick/internal/policy/retry"
	"github.com/figwick/figwick/internal/proxy/front"
	"github.com/figwick/figwick/internal/proxy/side"
	"github.com/figwick/figwick/internal/state/config"
	"github.com/figwick/figwick/internal/state/keys"
	"github.com/figwick/figwick/internal/state/store"
)

const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 2 * time.Minute
	headerBytes   = 64 << 10
)

type (
	// Store is what a node uses of the platform's key-value service.
	Store interface {
		Get(ctx context.Context, key string) (store.Item, error)
		CAS(ctx context.Context, key string, value []byte, version store.Version, lease store.Lease) (store.Item, error)
		Delete(ctx context.Context, key string, version store.Version) error
		List(ctx context.Context, prefix string) ([]store.Item, error)
		Watch(ctx context.Context, key string, wait store.Wait) (store.Item, error)
		Grant(ctx context.Context, ttl time.Duration) (store.Lease, error)
		KeepAlive(ctx context.Context, lease store.Lease) error
	}

	// Source reads configurations that somebody else than this fleet's operators
	// writes to the store.
	Source interface {
		// Key is where the newest one stands.
		Key() string
		// Revision returns the revision of a configuration's text.
		Revision(text []byte) (ident.Revision, error)
		// Compile makes a configuration's text ready for requests.
		Compile(text []byte) (*config.Table, error)
	}

	// Door is a listener besides the usual ones, and what serves it.
	Door struct {
		Name     string
		Listener net.Listener
		Handler  func(n *Node) http.Handler
	}

	// Listeners are the sockets of a node. Backends and Admin may be left out
	// where Doors take their place.
	Listeners struct {
		// Callers takes HTTP requests.
		Callers net.Listener
		// Peers takes sessions of other nodes.
		Peers net.Listener
		// Backends takes the announcements of backend servers.
		Backends net.Listener
		// Admin takes operators' calls, which Config.Admin serves.
		Admin net.Listener
	}

	// Config makes a Node.
	Config struct {
		ID   ident.Node
		Zone ident.Zone
		// Address is where other nodes reach Peers.
		Address    string
		Listeners  Listeners
		Store      Store
		Join       []string
		FleetToken string
		// Admin serves the operators' API on the listener for it.
		Admin func(n *Node) http.Handler
		// DrainTimeout bounds a planned stop.
		DrainTimeout time.Duration
		Clock        clockwork.Clock
		Random       turn.Source
		Log          hclog.Logger
		Scope        tally.Scope
		// Metrics serves the metrics for scraping; nil serves none.
		Metrics http.Handler
		Version string
		// Dialer replaces the dialling of other nodes, in tests.
		Dialer link.Dialer

		// Doors are served besides the Listeners.
		Doors []Door
		// Source brings the configuration; nil is the fleet's own operators.
		Source Source
		// Listed tells that the node keeps an entry in the store under a lease
		// and finds others by theirs, and that one backend server stands beside
		// each node. There are no directory, floor tokens and limit homes then.
		Listed bool
		// RetryBase is what the fleet may do for each service beyond the share of
		// its requests, shared out by the nodes that live; zero is no such bound.
		RetryBase retry.Base
		// Fresh tells that the whole fleet starts for the first time.
		Fresh bool
		// Linger is how long a stopping node goes on taking callers' requests.
		Linger time.Duration
		// Origin is the service on whose VM the node runs.
		Origin ident.Service
		// CallerSpeech and ServerSpeech are how callers and backend servers
		// speak; nil is the project's own way.
		CallerSpeech front.HeaderCodec
		ServerSpeech side.HeaderCodec
		// Margin is left of a caller's own time for the answer's way back.
		Margin time.Duration
		// DirectTries and Path are the ingress's.
		DirectTries int
		Path        front.PathTimeouts
	}

	// Node is one figwick process.
	Node struct {
		config    Config
		instance  ident.Instance
		started   time.Time
		meter     *meter.Meter
		log       hclog.Logger
		links     *link.Pool
		side      *side.Server
		front     *front.Server
		fleet     *fleet
		directory *directory
		configs   *configSync
		books     *ledgers
		homes     *allocators
		sourced   *sourced
		entry     *registration
		callers   *http.Server
		relayed   atomic.Int64
		// busyAt is when work was last seen, in nanoseconds.
		busyAt     atomic.Int64
		state      atomic.Int32
		stopping   chan struct{}
		stopOnce   sync.Once
		aborting   chan struct{}
		retryBase  atomic.Pointer[retry.Base]
		retryFleet retry.Fleet
		abortOnce  sync.Once
	}
)

// The phases of a node's life.
const (
	phaseServing int32 = iota
	phaseHandingOver
	phaseDraining
)

// New puts a Node together. Nothing runs yet.
func New(c Config) (*Node, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	n := &Node{
		config:   c,
		instance: ident.NewInstance(),
		started:  c.Clock.Now(),
		meter:    meter.New(c.Scope),
		log:      c.Log,
		stopping: make(chan struct{}),
		aborting: make(chan struct{}),
	}
	n.SetRetryBase(c.RetryBase)
	n.links = link.NewPool(link.Config{
		Self:    link.Peer{Node: c.ID, Zone: c.Zone, Address: c.Address, Instance: n.instance},
		Token:   c.FleetToken,
		Dialer:  c.Dialer,
		Clock:   c.Clock,
		Started: n.started,
		Log:     c.Log.Named("link"),
	}, n.handle)
	n.side = side.NewServer(side.Config{
		Clock:       c.Clock,
		Random:      c.Random,
		Log:         c.Log,
		Meter:       n.meter,
		Controller:  n.newDesk(),
		Instance:    n.instance,
		Started:     n.started,
		HeaderCodec: c.ServerSpeech,
	})
	watched := &countedStore{Store: c.Store, meter: n.meter, log: c.Log}
	n.directory = &directory{node: n}
	n.fleet = newFleet(n)
	watched.changed = n.fleet.setStoreUnreachable
	n.front = n.newFront(watched)
	n.sourced = &sourced{node: n, store: watched}
	n.entry = &registration{node: n, store: watched, restored: make(chan struct{})}
	n.configs = &configSync{node: n, store: watched}
	n.books = &ledgers{node: n, store: watched}
	n.homes = newAllocators(n)
	return n, nil
}

func (n *Node) newFront(watched keys.Store) *front.Server {
	c := &n.config
	return front.NewServer(front.Config{
		Clock:  c.Clock,
		Random: c.Random,
		Log:    c.Log,
		Meter:  n.meter,
		Links:  n.links,
		Zone:   c.Zone,
		Finder: n.finder(),
		Relays: n.fleet,
		Keys:   keys.NewRegistry(keys.Config{Store: watched, Clock: c.Clock}),

		HeaderCodec:        c.CallerSpeech,
		Origin:             c.Origin,
		DeadlineMargin:     c.Margin,
		OnLocalFailure:     n.side.NoteLocalFailure,
		LocalHost:          hostOf(c.Address),
		PathTimeouts:       c.Path,
		NoWaitTries:        c.DirectTries,
		SidecarRetryBudget: c.RetryBase.MaxTokens > 0,
	})
}

func (c *Config) check() error {
	switch {
	case c.ID == "":
		return errors.New("node: id is empty")
	case c.Zone == "":
		return errors.New("node: availability zone is empty")
	case c.Address == "":
		return errors.New("node: peer address is empty")
	case c.Listeners.Callers == nil, c.Listeners.Peers == nil:
		return errors.New("node: a listener is missing")
	case c.Listeners.Admin != nil && c.Admin == nil:
		return errors.New("node: nothing serves the administration listener")
	case len(c.Doors) == 0 && (c.Listeners.Backends == nil || c.Listeners.Admin == nil):
		return errors.New("node: a listener is missing")
	case c.Store == nil:
		return errors.New("node: store is missing")
	}
	return nil
}

// SetRetryBase changes what the fleet may do beyond the share of its requests.
func (n *Node) SetRetryBase(base retry.Base) {
	n.retryBase.Store(&base)
}

// Run serves until the context ends, then stops gracefully.
func (n *Node) Run(ctx context.Context) error {
	work, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	group, work := errgroup.WithContext(work)
	n.serve(work, group)
	n.loops(work, group)
	events.Emit(n.log, events.NodeStarted,
		"node", string(n.config.ID), "zone", string(n.config.Zone),
		"callers", n.config.Listeners.Callers.Addr().String(),
		"peers", n.config.Address, "version", n.config.Version)
	select {
	case <-ctx.Done():
	case <-n.stopping:
	case <-n.aborting:
	case <-work.Done():
	}
	n.stop(n.abortable(work))
	end()
	err := group.Wait()
	n.links.Close()
	n.side.Close()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// Stop begins a graceful stop, as the end of Run's context does.
func (n *Node) Stop() {
	n.stopOnce.Do(func() { close(n.stopping) })
}

// Abort ends a stop that is under way, or the whole node, without waiting for
// what is in flight.
func (n *Node) Abort() {
	n.abortOnce.Do(func() { close(n.aborting) })
}

func (n *Node) aborted() bool {
	select {
	case <-n.aborting:
		return true
	default:
		return false
	}
}

// abortable returns a context that Abort ends.
func (n *Node) abortable(ctx context.Context) context.Context {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-n.aborting:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx
}

func (n *Node) serve(ctx context.Context, group *errgroup.Group) {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	n.callers = &http.Server{
		Handler:           n.front,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    headerBytes,
		Protocols:         protocols,
		ErrorLog:          n.log.Named("callers").StandardLogger(nil),
	}
	l := n.config.Listeners
	group.Go(func() error { return n.listen(ctx, n.callers, l.Callers) })
	group.Go(func() error { return n.links.Serve(ctx, l.Peers) })
	doors := n.config.Doors
	if l.Backends != nil {
		doors = append(doors, Door{Name: "backends", Listener: l.Backends, Handler: (*Node).backendHandler})
	}
	if l.Admin != nil {
		doors = append(doors, Door{Name: "admin", Listener: l.Admin, Handler: n.config.Admin})
	}
	for _, d := range doors {
		group.Go(func() error { return n.listen(ctx, n.internal(d.Handler(n), d.Name), d.Listener) })
	}
}

func (n *Node) newDesk() *desk.Controller {
	d := desk.New(n.config.ID, n.instance)
	if n.config.Listed {
		d.SetPrior(lonePrior)
	}
	if n.config.RetryBase.MaxTokens > 0 {
		d.EnableRetryBudget(n.config.Fresh)
	}
	return d
}

// lonePrior is how a backend server does whose peers are not known: latencies
// relative to their target, as the deployments' work and targets stand to each
// other, and some failures; a sick one fails
// most of what it gets.
var lonePrior = health.Baseline{Mean: math.Log(0.3), Spread: 0.6, FailureRate: 0.05, Weight: 1, UnhealthyFailureRate: 0.6}

func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

func (n *Node) finder() front.Finder {
	if n.config.Listed {
		return n.fleet
	}
	return n.directory
}

func (n *Node) internal(h http.Handler, name string) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          n.log.Named(name).StandardLogger(nil),
	}
}

func (n *Node) listen(ctx context.Context, s *http.Server, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	err := s.Serve(l)
	if errors.Is(err, http.ErrServerClosed) || n.aborted() {
		return nil
	}
	events.Emit(n.log, events.ListenerFailed, "listener", l.Addr().String(), "error", err)
	return errors.Wrapf(err, "node: serve on %s", l.Addr())
}

// configure puts a revision in force in all parts.
func (n *Node) configure(table *config.Table) {
	n.front.Configure(table)
	n.side.Do(func(t turn.Turn, d *desk.Controller) desk.Ops { return d.Configure(t, table) })
	n.meter.Revision.Update(float64(table.Revision))
	n.fleet.setRevision(table.Revision)
	events.Emit(n.log, events.ConfigAdopted, "revision", uint64(table.Revision))
}

func (n *Node) turn() turn.Turn {
	return turn.Turn{Now: n.config.Clock.Now(), Random: n.config.Random}
}
