package node

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/figwick/figwick/internal/base/eval"
	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/fake/kvs"
	"github.com/figwick/figwick/internal/peer/wire"
	"github.com/figwick/figwick/internal/state/config"
	"github.com/figwick/figwick/internal/state/member"
)

// linkBytesPerSecond is the rate of the slowest links in the users' deployments, 10 Mbit/s.
const linkBytesPerSecond = 10e6 / 8

type (
	// routesSource is a ConfigSource of configurations whose first line is their revision.
	routesSource struct {
		numberSource
	}

	// slowListener accepts connections that share one slow link in the sending direction.
	slowListener struct {
		net.Listener
		mutex sync.Mutex
	}

	slowConn struct {
		net.Conn
		link *slowListener
	}
)

func (s routesSource) Revision(text []byte) (ident.Revision, error) {
	line, _, _ := bytes.Cut(text, []byte("\n"))
	return s.numberSource.Revision(line)
}

func (s routesSource) Compile(text []byte) (*config.Table, error) {
	revision, err := s.Revision(text)
	return config.Compile(revision, &config.File{}), err
}

func (l *slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &slowConn{Conn: c, link: l}, err
}

func (c *slowConn) Write(p []byte) (int, error) {
	c.link.mutex.Lock()
	time.Sleep(time.Duration(float64(len(p)) / linkBytesPerSecond * float64(time.Second)))
	c.link.mutex.Unlock()
	return c.Conn.Write(p)
}

// largeConfig returns a configuration of a few thousand routes.
func largeConfig(revision int) []byte {
	const routes = 2000
	random := eval.NewRandom(1)
	text := fmt.Appendf(nil, "%d\n", revision)
	for range routes {
		text = fmt.Appendf(text, `{"name":"r-%x","kind":"idempotent","target_latency":"5000ms","priority":2,`+
			`"match":{"prefix":"/route%d/part%d/"},"action":{"service":"service-%d","timeout":"8000ms","max_attempts":2}},`+"\n",
			random.IntN(1<<28), random.IntN(1000), random.IntN(100), random.IntN(4))
	}
	return text
}

// newRoutesNode returns a node with listeners of its own, which it does not serve yet.
func newRoutesNode(t *testing.T, id ident.Node) *Node {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	clock := clockwork.NewRealClock()
	n, err := New(Config{
		ID: id, Zone: "a", Address: listener.Addr().String(), Store: kvs.New(clock), Source: routesSource{}, StoreDiscovery: true,
		Listeners: Listeners{Callers: listener, Peers: listener}, ExtraListeners: []ExtraListener{{}},
		Clock: clock, Random: eval.NewRandom(1), Log: hclog.NewNullLogger(), Scope: tally.NoopScope,
	})
	assert.NilError(t, err)
	return n
}

// TestLargeConfigSpreadsOverSlowLinks guards against a large configuration that is in force too late: several
// nodes fetch it from the same peer at once, and its copies follow each other over the peer's link. A
// configuration must be in force everywhere two seconds after its acknowledgement, and the news of it takes up
// to an exchange interval.
func TestLargeConfigSpreadsOverSlowLinks(t *testing.T) {
	const (
		applyTime = 2 * time.Second
		followers = 8
	)
	ctx, cancel := context.WithTimeout(t.Context(), 2*applyTime)
	var serving sync.WaitGroup
	defer serving.Wait()
	defer cancel()
	start := func(id ident.Node) *Node {
		n := newRoutesNode(t, id)
		serving.Go(func() { _ = n.links.Serve(ctx, &slowListener{Listener: n.config.Listeners.Peers}) })
		return n
	}
	source := start("source")
	text := largeConfig(2)
	source.sourceFollower.adoptIfNewer(text, "test")
	var fetching sync.WaitGroup
	began := time.Now()
	for i := range followers {
		n := start(ident.Node(fmt.Sprintf("node-%d", i)))
		fetching.Go(func() {
			for n.revision() != 2 && ctx.Err() == nil {
				n.sourceFollower.fetchFrom(ctx, source.config.Address)
			}
			assert.Check(t, bytes.Equal(n.sourceFollower.receive(wire.CompressedConfigVersion-1).Head, text))
		})
	}
	fetching.Wait()
	took := time.Since(began)
	assert.Check(t, took <= applyTime-member.ExchangeInterval, "in force everywhere %s after the nodes learned of it", took)
}

// TestOlderPeersGetPlainConfig guards against a peer of the protocol version before that gets a configuration
// in a form that it cannot read.
func TestOlderPeersGetPlainConfig(t *testing.T) {
	text := largeConfig(2)
	n := newRoutesNode(t, "node-1")
	n.sourceFollower.adoptIfNewer(text, "test")
	assert.Check(t, len(n.sourceFollower.receive(wire.CompressedConfigVersion).Head) < len(text)/2)
	assert.Check(t, bytes.Equal(n.sourceFollower.receive(wire.CompressedConfigVersion-1).Head, text))
}

// TestBrokenCompressedConfig guards against a damaged or endless configuration that ends the process or is
// taken for a whole one.
func TestBrokenCompressedConfig(t *testing.T) {
	compressed, err := compressText(largeConfig(2))
	assert.NilError(t, err)
	_, err = decompressText(compressed[:len(compressed)/2])
	assert.ErrorContains(t, err, "decompress configuration")
	endless, err := compressText(make([]byte, maxTextBytes+1))
	assert.NilError(t, err)
	_, err = decompressText(endless)
	assert.ErrorContains(t, err, "more than")
}
