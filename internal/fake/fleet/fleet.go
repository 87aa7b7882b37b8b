// Package fleet runs several nodes in one process over loopback, with a
// stand-in of the platform's store, for the demo, for tests and for benchmarks.
//
//	f, err := fleet.Start(ctx, fleet.Config{Nodes: 3})
//	defer f.Stop()
//	err = f.Apply(ctx, text)
//	b, err := f.Serve(ctx, 0, server.Config{ID: "shopfront-1", Service: "shopfront", Slots: 3})
package fleet

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/figwick/figwick/internal/base/eval"
	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/base/meter"
	"github.com/figwick/figwick/internal/fake/kvs"
	"github.com/figwick/figwick/internal/fake/server"
	"github.com/figwick/figwick/internal/peer/link"
	"github.com/figwick/figwick/internal/proxy/admin"
	"github.com/figwick/figwick/internal/proxy/front"
	"github.com/figwick/figwick/internal/proxy/node"
)

const (
	// zones is how many availability zones the nodes are spread over.
	zones         = 3
	drainTimeout  = 30 * time.Second
	pollEvery     = 10 * time.Millisecond
	adminTimeout  = 30 * time.Second
	versionString = "fleet"
	anyPort       = "127.0.0.1:0"
)

type (
	// Config makes a Fleet.
	Config struct {
		Nodes int
		Log   hclog.Logger
		// Store replaces the stand-in that a Fleet makes.
		Store *kvs.Store
		// Dialer returns what a node dials others with; nil is the usual.
		Dialer func(id ident.Node) link.Dialer
		// PathTimeouts are those of the ingresses.
		PathTimeouts front.PathTimeouts
		// Zones replaces the number of availability zones.
		Zones int
		// AdminToken is what operators must show; empty is nothing.
		AdminToken string
		// Metrics makes each node report for scraping.
		Metrics bool
		// Scope receives the metrics of all nodes; nil drops them.
		Scope tally.Scope
		// DrainTimeout replaces the time that a node has for a graceful stop.
		DrainTimeout time.Duration
		// PipelineDepth is that of each node.
		PipelineDepth int
		// WrapCallers replaces the listener for callers of each node.
		WrapCallers func(net.Listener) net.Listener
		// Adjust changes the configuration of a node before it starts. Nil changes nothing.
		Adjust func(c *node.Config)
		// QuotaWindow and FirstStart are those of each node's Config.
		QuotaWindow node.QuotaWindow
		FirstStart  bool
	}

	// Fleet is the running nodes.
	Fleet struct {
		Store  *kvs.Store
		Nodes  []*Member
		config Config
		client *http.Client
	}

	// Member is one running node and its addresses.
	Member struct {
		Node     *node.Node
		ID       ident.Node
		Zone     ident.Zone
		Callers  string
		Peers    string
		Backends string
		Admin    string
		cancel   context.CancelFunc
		done     chan struct{}
		err      error
		kill     sync.Once
		sockets  *sockets
	}
)

// Start starts the nodes.
func Start(ctx context.Context, c Config) (*Fleet, error) {
	if c.Log == nil {
		c.Log = hclog.NewNullLogger()
	}
	if c.Store == nil {
		c.Store = kvs.New(clockwork.NewRealClock())
	}
	if c.Zones == 0 {
		c.Zones = zones
	}
	f := &Fleet{Store: c.Store, config: c, client: &http.Client{Timeout: adminTimeout}}
	for range c.Nodes {
		if _, err := f.Add(ctx); err != nil {
			f.Stop()
			return nil, err
		}
	}
	return f, nil
}

// Add starts one more node, which joins the first.
func (f *Fleet) Add(ctx context.Context) (*Member, error) {
	at := len(f.Nodes)
	m, err := f.start(ctx, at, &Member{Callers: anyPort, Peers: anyPort, Backends: anyPort, Admin: anyPort})
	if err != nil {
		return nil, err
	}
	f.Nodes = append(f.Nodes, m)
	return m, nil
}

// Replace starts a node anew in the place, and at the addresses, of one that has
// ended.
func (f *Fleet) Replace(ctx context.Context, at int) error {
	m, err := f.start(ctx, at, f.Nodes[at])
	if err != nil {
		return err
	}
	f.Nodes[at] = m
	return nil
}

func (f *Fleet) start(ctx context.Context, at int, like *Member) (*Member, error) {
	m := &Member{
		ID:      ident.Node(fmt.Sprintf("node-%d", at+1)),
		Zone:    ident.Zone(fmt.Sprintf("zone-%c", 'a'+rune(at%f.config.Zones))),
		done:    make(chan struct{}),
		sockets: &sockets{},
	}
	listeners, err := m.listen(like)
	if err != nil {
		return nil, err
	}
	if f.config.WrapCallers != nil {
		listeners.Callers = f.config.WrapCallers(listeners.Callers)
	}
	config := node.Config{
		ID:           m.ID,
		Zone:         m.Zone,
		Address:      m.Peers,
		Listeners:    listeners,
		Store:        f.Store,
		Join:         f.join(at),
		DrainTimeout: cmp.Or(f.config.DrainTimeout, drainTimeout),
		Clock:        clockwork.NewRealClock(),
		Random:       eval.GlobalRandom{},
		Log:          f.config.Log.Named(string(m.ID)),
		Scope:        cmp.Or(f.config.Scope, tally.NoopScope),
		Version:      versionString,
		PathTimeouts: f.config.PathTimeouts,
		QuotaWindow:  f.config.QuotaWindow,
		FirstStart:   f.config.FirstStart,

		PipelineDepth: f.config.PipelineDepth,
		OnPanic:       func(value any) { panic(value) },
	}
	if f.config.Metrics {
		scope := meter.NewScope()
		config.Scope, config.Metrics = scope, scope.Handler
	}
	config.Admin = func(n *node.Node) http.Handler {
		return admin.Handler(n, f.config.AdminToken, config.Metrics)
	}
	if f.config.Dialer != nil {
		config.Dialer = f.config.Dialer(m.ID)
	}
	if f.config.Adjust != nil {
		f.config.Adjust(&config)
	}
	m.Node, err = node.New(config)
	if err != nil {
		return nil, err
	}
	ctx, m.cancel = context.WithCancel(ctx)
	go func() {
		defer close(m.done)
		m.err = m.Node.Run(ctx)
	}()
	return m, nil
}

func (f *Fleet) join(at int) []string {
	for i, m := range f.Nodes {
		if i != at {
			return []string{m.Peers}
		}
	}
	return nil
}

func (m *Member) listen(like *Member) (node.Listeners, error) {
	var l node.Listeners
	for _, socket := range []struct {
		listener *net.Listener
		text     *string
		address  string
	}{
		{&l.Callers, &m.Callers, like.Callers},
		{&l.Peers, &m.Peers, like.Peers},
		{&l.Backends, &m.Backends, like.Backends},
		{&l.Admin, &m.Admin, like.Admin},
	} {
		listener, err := net.Listen("tcp", socket.address)
		if err != nil {
			return l, errors.Wrap(err, "fleet: listen")
		}
		*socket.listener = m.sockets.wrap(listener)
		*socket.text = listener.Addr().String()
	}
	return l, nil
}

// Stop stops the node gracefully and waits for its end.
func (m *Member) Stop() error {
	m.cancel()
	<-m.done
	return m.err
}

// Kill cuts all the node's sockets at once, as the loss of its VM would, and
// ends what is left of it.
func (m *Member) Kill() {
	m.kill.Do(func() {
		m.Node.Abort()
		m.sockets.cut()
		<-m.done
	})
}

// Stop stops all nodes.
func (f *Fleet) Stop() {
	var stopped sync.WaitGroup
	for _, m := range f.Nodes {
		stopped.Go(func() { m.Kill() })
	}
	stopped.Wait()
}

// Apply applies a file at the first node and waits until all have it in force.
func (f *Fleet) Apply(ctx context.Context, text []byte) error {
	before := f.Nodes[0].Node.Ready().Revision
	url := fmt.Sprintf("http://%s/v1/config?by=fleet", f.Nodes[0].Admin)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(text))
	if err != nil {
		return errors.Wrap(err, "fleet: apply")
	}
	response, err := f.client.Do(request)
	if err != nil {
		return errors.Wrap(err, "fleet: apply")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		answer, _ := io.ReadAll(response.Body)
		return errors.Newf("fleet: apply: status %d: %s", response.StatusCode, answer)
	}
	return f.Until(ctx, func() bool {
		for _, m := range f.Nodes {
			if m.Node.Ready().Revision <= before {
				return false
			}
		}
		return true
	})
}

// Serve starts a backend server that prefers a node and knows all.
func (f *Fleet) Serve(ctx context.Context, at int, c server.Config) (*server.Server, error) {
	for i := range f.Nodes {
		c.Nodes = append(c.Nodes, f.Nodes[(at+i)%len(f.Nodes)].Backends)
	}
	c.Zone = f.Nodes[at].Zone
	if c.Clock == nil {
		c.Clock = clockwork.NewRealClock()
	}
	return server.Start(ctx, c)
}

// Until waits for a condition.
func (f *Fleet) Until(ctx context.Context, condition func() bool) error {
	for !condition() {
		select {
		case <-time.After(pollEvery):
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "fleet: condition")
		}
	}
	return nil
}

// InService waits until every node sees that many backend servers of a service.
func (f *Fleet) InService(ctx context.Context, name ident.Service, count int) error {
	return f.Until(ctx, func() bool {
		for _, m := range f.Nodes {
			if m.inService(ctx, name) != count {
				return false
			}
		}
		return true
	})
}

func (m *Member) inService(ctx context.Context, name ident.Service) int {
	for _, s := range m.Node.Status(ctx).Services {
		if s.Name == name {
			return s.InService
		}
	}
	return 0
}
