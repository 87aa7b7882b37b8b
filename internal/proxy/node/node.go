package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/figwick/figwick/internal/base/boot"
	"github.com/figwick/figwick/internal/base/eval"
	"github.com/figwick/figwick/internal/base/events"
	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/base/meter"
	"github.com/figwick/figwick/internal/peer/link"
	"github.com/figwick/figwick/internal/policy/retry"
	"github.com/figwick/figwick/internal/proxy/conns"
	"github.com/figwick/figwick/internal/proxy/front"
	"github.com/figwick/figwick/internal/proxy/pipe"
	"github.com/figwick/figwick/internal/proxy/side"
	"github.com/figwick/figwick/internal/state/config"
	"github.com/figwick/figwick/internal/state/keys"
	"github.com/figwick/figwick/internal/state/store"
)

type (
	// Store is the part of the platform's key-value service that a node uses. Its
	// errors are those of package store.
	Store interface {
		Get(ctx context.Context, key string) (store.Item, error)
		CAS(ctx context.Context, key string, value []byte, version store.Version, lease store.Lease) (store.Item, error)
		Delete(ctx context.Context, key string, version store.Version) error
		List(ctx context.Context, prefix string) ([]store.Item, error)
		Watch(ctx context.Context, key string, wait store.WatchOptions) (store.Item, error)
		Grant(ctx context.Context, ttl time.Duration) (store.Lease, error)
		KeepAlive(ctx context.Context, lease store.Lease) error
		// Era returns the store's era as far as its answers have told.
		Era() store.Era
	}

	// ConfigSource decodes configurations that another system writes to the store, in
	// place of the operators' Apply calls.
	ConfigSource interface {
		// Key returns the store key of the newest configuration.
		Key() string
		// Revision decodes just the revision of a configuration.
		Revision(text []byte) (ident.Revision, error)
		// Compile decodes and checks a configuration and builds its Table.
		Compile(text []byte) (*config.Table, error)
	}

	// ExtraListener is an additional HTTP listener and its handler. The name is for the log.
	ExtraListener struct {
		Name     string
		Listener net.Listener
		Handler  func(n *Node) http.Handler
	}

	// Listeners are the sockets of a node. Backends and Admin may be nil if the
	// Config has additional listeners that serve these calls.
	Listeners struct {
		// Callers accepts HTTP requests to services.
		Callers net.Listener
		// Peers accepts sessions from other nodes.
		Peers net.Listener
		// Backends accepts the announcements of backend servers, over HTTP.
		Backends net.Listener
		// Admin accepts operators' HTTP calls, which Config.Admin serves.
		Admin net.Listener
	}

	// Config configures a Node.
	Config struct {
		ID   ident.Node
		Zone ident.Zone
		// Address is the host and port at which other nodes reach Listeners.Peers.
		Address   string
		Listeners Listeners
		Store     Store
		// Join are peer addresses of nodes through which this one joins the fleet.
		Join []string
		// FleetToken is the secret that all nodes of the fleet share.
		FleetToken string
		// Admin returns the handler of the operators' API on Listeners.Admin.
		Admin func(n *Node) http.Handler
		// DrainTimeout bounds a graceful stop.
		DrainTimeout time.Duration
		Clock        clockwork.Clock
		// BootClock is the machine's boot-time clock. Nil means that of the kernel.
		BootClock eval.BootClock
		Random    eval.Random
		Log       hclog.Logger
		Scope     tally.Scope
		// Metrics serves the metrics for scraping. Nil disables this.
		Metrics http.Handler
		Version string
		// Dialer dials other nodes. Nil means the default dialer.
		Dialer link.Dialer

		// ExtraListeners are served in addition to the Listeners.
		ExtraListeners []ExtraListener
		// Source decodes the configuration. Nil means that the fleet's own operators
		// apply configuration files.
		Source ConfigSource
		// StoreDiscovery makes the node register itself in the store under a lease, and find
		// other nodes by their entries there. In such a fleet one backend server runs
		// beside each node, and there is no directory, no floor ledger and no
		// allocation of callers' limits.
		StoreDiscovery bool
		// RetryBase is the number of retries that the whole fleet is allowed for each
		// service, besides those that requests earn. The nodes that serve a service
		// divide it. The zero value sets no such bound.
		RetryBase retry.Base
		// FirstStart says that the whole fleet starts for the first time, so that nothing
		// of the retry budget has been spent.
		FirstStart bool
		// ShutdownDelay is how long a stopping node with StoreDiscovery keeps accepting
		// callers' requests, so that callers can notice that it is not ready.
		ShutdownDelay time.Duration
		// Origin is the service on whose VM the node runs. Empty means none.
		Origin ident.Service
		// CallerCodec and BackendCodec read and write the header fields that are
		// exchanged with callers and backend servers. Nil means the project's own.
		CallerCodec  front.HeaderCodec
		BackendCodec side.HeaderCodec
		// DeadlineMargin is subtracted from a caller's timeout, to leave time for the
		// response to travel back to the caller.
		DeadlineMargin time.Duration
		// NoWaitTries and Path are described at front.Config.
		NoWaitTries  int
		PathTimeouts front.PathTimeouts
		// PipelineDepth is how many pipelined requests of one connection may be in progress
		// at once, unless the configuration sets it. 0 and 1 start each in its turn.
		PipelineDepth int
		// RevokeWithin is the time after which a request must not run that was sent after
		// its API key had been removed from the configuration. Zero sets no such bound.
		RevokeWithin time.Duration
		// MemoryBytes and MaxDescriptors are the process's limits, of which callers may use a part.
		// Zero sets no bound.
		MemoryBytes    int64
		MaxDescriptors int
		// QuotaWindow bounds the quotas of organisations. The zero value sets none.
		QuotaWindow QuotaWindow
		// OnPanic is called with the value of a panic that has ended a peer's stream. Nil
		// lets the node go on. Tests end the process by it, so that no fault is hidden.
		OnPanic func(value any)
	}

	// QuotaWindow says what a quota promises: in any span of Length, an organisation gets
	// at most (rate * Length + burst) * (1 + Overshoot) + Slack requests from the whole fleet.
	QuotaWindow struct {
		Length    time.Duration
		Overshoot float64
		Slack     float64
	}

	// Node is one figwick process.
	Node struct {
		config         Config
		instance       ident.Instance
		started        time.Time
		meter          *meter.Meter
		log            hclog.Logger
		links          *link.Pool
		side           *side.Server
		front          *front.Server
		fleet          *fleet
		keys           *keys.Registry
		directory      *directory
		configs        *configSync
		ledgers        *ledgers
		allocators     *allocators
		quotas         *quotas
		sourceFollower *sourceFollower
		registration   *registration
		proofs         *proofs
		callers        *http.Server
		// callerConns are the connections of callers.
		callerConns *conns.Tracker
		pipeline    *pipe.Pipeline
		// internalConns are those of the other HTTP listeners.
		internalConns *conns.Tracker
		// callerGuard bounds what callers hold, internalGuard the internal connections.
		callerGuard   *conns.Guard
		internalGuard *conns.Guard
		// relayed is the number of streams being relayed to other nodes.
		relayed atomic.Int64
		// busyAt is the last time at which the node was not idle, in Unix
		// nanoseconds.
		busyAt atomic.Int64
		// state is one of the phases below.
		state atomic.Int32
		// stopping and aborting are closed by Stop and Abort.
		stopping  chan struct{}
		stopOnce  sync.Once
		aborting  chan struct{}
		retryBase atomic.Pointer[retry.Base]
		// retryFleet is used by maintain only.
		retryFleet retry.Fleet
		abortOnce  sync.Once
	}
)

// The phases of a node's life, in their order.
const (
	phaseServing int32 = iota
	// phaseHandingOver is the first phase of a stop. The node still works, but its
	// backend servers are asked to announce themselves to other nodes.
	phaseHandingOver
	// phaseDraining lets running attempts end and refuses new ones.
	phaseDraining
)

// New checks the Config and returns a Node, which Run starts.
func New(c Config) (*Node, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	if c.BootClock == nil {
		clock, err := boot.NewClock()
		if err != nil {
			return nil, err
		}
		c.BootClock = clock
	}
	n := &Node{
		config:   c,
		instance: ident.NewInstance(),
		started:  c.Clock.Now(),
		meter:    meter.New(c.Scope),
		log:      c.Log,
		stopping: make(chan struct{}),
		aborting: make(chan struct{}),

		callerConns:   conns.NewTracker(c.Clock),
		internalConns: conns.NewTracker(c.Clock),
	}
	n.setUpIntake()
	n.SetRetryBase(c.RetryBase)
	n.links = n.newLinks()
	n.side = side.NewServer(side.Config{
		Clock:       c.Clock,
		Random:      c.Random,
		Log:         c.Log,
		Meter:       n.meter,
		Controller:  n.newController(),
		Instance:    n.instance,
		Started:     n.started,
		HeaderCodec: c.BackendCodec,
		OnLeaving:   n.onLeaving,
	})
	watched := &countedStore{Store: c.Store, meter: n.meter, log: c.Log}
	n.directory = &directory{node: n}
	n.fleet = newFleet(n)
	watched.changed = n.fleet.setStoreUnreachable
	watched.onEra = append(watched.onEra, n.fleet.noteStoreEra)
	n.keys = keys.NewRegistry(keys.Config{Store: watched, Clock: c.Clock})
	n.proofs = newProofs(n)
	watched.onEra = append(watched.onEra, n.proofs.noteEra)
	n.quotas = newQuotas(n)
	n.front = n.newFront()
	n.pipeline = n.newPipeline()
	n.sourceFollower = &sourceFollower{node: n, store: watched}
	n.registration = newRegistration(n, watched)
	n.configs = &configSync{node: n, store: watched}
	watched.onRestore = append(watched.onRestore, n.configs.noteRestore)
	n.ledgers = &ledgers{node: n, store: watched}
	n.allocators = newAllocators(n)
	return n, nil
}

// newFront returns the ingress.
func (n *Node) newFront() *front.Server {
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
		Keys:   n.keys,
		Guard:  n.callerGuard,

		Freshness: n.proofs.freshness(),

		HeaderCodec:        c.CallerCodec,
		Origin:             c.Origin,
		DeadlineMargin:     c.DeadlineMargin,
		OnLocalFailure:     n.side.NoteLocalFailure,
		LocalRetryShare:    n.side.RetryShare,
		LocalHost:          hostOf(c.Address),
		PathTimeouts:       c.PathTimeouts,
		NoWaitTries:        c.NoWaitTries,
		SidecarRetryBudget: c.RetryBase.MaxTokens > 0,
		Quotas:             n.quotasOrNone(),
	})
}

// SetRetryBase changes Config.RetryBase while the node runs. It must not change
// between zero and another value, since New decides whether there is a bound.
func (n *Node) SetRetryBase(base retry.Base) {
	n.retryBase.Store(&base)
}

// Run serves until the context ends or Stop is called, then stops gracefully and
// returns nil. If a listener fails it stops likewise and returns the error.
func (n *Node) Run(ctx context.Context) error {
	work, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	group := &tasks{onFailure: n.Stop}
	n.startServers(work, group)
	n.startLoops(work, group)
	events.Emit(n.log, events.NodeStarted,
		"node", string(n.config.ID), "zone", string(n.config.Zone),
		"callers", n.config.Listeners.Callers.Addr().String(),
		"peers", n.config.Address, "version", n.config.Version)
	select {
	case <-ctx.Done():
	case <-n.stopping:
	case <-n.aborting:
	}
	n.stop(n.abortable(work))
	end()
	_ = n.callers.Close()
	err := group.Wait()
	n.links.Close()
	n.side.Close()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// Stop begins a graceful stop, like the end of Run's context. It does not wait. It
// may be called several times.
func (n *Node) Stop() {
	n.stopOnce.Do(func() { close(n.stopping) })
}

// Abort makes Run return without waiting for requests in flight, also during a
// graceful stop. It may be called several times.
func (n *Node) Abort() {
	n.abortOnce.Do(func() { close(n.aborting) })
}

// aborted reports whether Abort has been called.
func (n *Node) aborted() bool {
	select {
	case <-n.aborting:
		return true
	default:
		return false
	}
}

// abortable returns a context that Abort cancels.
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

// hostOf returns the host of an address, or the whole address if it has no port.
func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

// turn returns the context of one event: the current time and the random source.
func (n *Node) turn() eval.Context {
	return eval.Context{Now: n.config.Clock.Now(), Random: n.config.Random}
}
