// Package flaky simulates network stalls between nodes for tests. It wraps TCP
// connections and can stall each direction between two nodes separately.
//
// Data sent in a stalled direction is delayed, not lost: it arrives after the
// direction resumes, as TCP retransmits after an outage. An attempt can
// therefore reach its sidecar long after its ingress has given up on it.
package flaky

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/peer/link"
)

type (
	// Network creates connections between nodes and stalls them on request. Use
	// New to create one. Its methods are safe for concurrent use.
	Network struct {
		mutex          sync.Mutex
		changed        *sync.Cond
		nodesByAddress map[string]ident.Node
		stalled        map[direction]bool
	}

	// direction identifies the traffic from one node to another.
	direction struct {
		from, to ident.Node
	}

	// path is one direction of a connection that a node has dialed.
	path struct {
		from     ident.Node
		address  string
		incoming bool
	}

	// dialer opens connections on behalf of one node.
	dialer struct {
		network *Network
		from    ident.Node
	}

	// conn is the dialing side's end of a connection. It applies the stalls of
	// both directions, so the accepting side needs no wrapper.
	conn struct {
		net.Conn
		network            *Network
		outgoing, incoming path
		mutex              sync.Mutex
		queueChanged       *sync.Cond
		queue              [][]byte
		isClosed           atomic.Bool
	}
)

// New returns a network with no registered addresses and no stalls.
func New() *Network {
	n := &Network{nodesByAddress: map[string]ident.Node{}, stalled: map[direction]bool{}}
	n.changed = sync.NewCond(&n.mutex)
	return n
}

// RegisterAddress records which node listens at an address, in the form that is
// passed to DialContext. Connections to unregistered addresses do not stall, open ones from the
// time at which it is recorded.
func (n *Network) RegisterAddress(address string, node ident.Node) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.nodesByAddress[address] = node
}

// Stall delays everything that one node sends to another until ResumeAll, on existing
// connections as well, whichever of the two nodes opened them.
func (n *Network) Stall(from, to ident.Node) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.stalled[direction{from, to}] = true
}

// ResumeAll ends all stalls; delayed data is then delivered.
func (n *Network) ResumeAll() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	clear(n.stalled)
	n.changed.Broadcast()
}

// Dialer returns the dialer that the given node uses to connect to other nodes.
func (n *Network) Dialer(from ident.Node) link.Dialer {
	return &dialer{network: n, from: from}
}

// DialContext opens a connection. If either direction is stalled when it is
// called, it blocks until ctx is done and returns ctx.Err(), even if the stall
// ends earlier.
func (d *dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c := &conn{
		network: d.network, outgoing: path{from: d.from, address: address}, incoming: path{from: d.from, address: address, incoming: true},
	}
	if d.network.isStalled(c.outgoing) || d.network.isStalled(c.incoming) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	raw, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c.Conn = raw
	c.queueChanged = sync.NewCond(&c.mutex)
	go c.pump()
	return c, nil
}

// isStalledLocked reports whether a path is stalled. The mutex must be held.
func (n *Network) isStalledLocked(p path) bool {
	d := direction{from: p.from, to: n.nodesByAddress[p.address]}
	if p.incoming {
		d.from, d.to = d.to, d.from
	}
	return n.stalled[d]
}

func (n *Network) isStalled(p path) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.isStalledLocked(p)
}

// wait blocks until the path is not stalled or canceled returns true. It calls
// canceled with the network's mutex held; wakeWaiters makes it check again.
func (n *Network) wait(p path, canceled func() bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for n.isStalledLocked(p) && !canceled() {
		n.changed.Wait()
	}
}

// wakeWaiters makes every blocked wait check its condition again.
func (n *Network) wakeWaiters() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.changed.Broadcast()
}

func neverCanceled() bool { return false }

// Write queues a copy of p and returns without waiting for a stall to end. It
// reports no transport errors; after Close it returns net.ErrClosed.
func (c *conn) Write(p []byte) (int, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.isClosed.Load() {
		return 0, net.ErrClosed
	}
	c.queue = append(c.queue, append([]byte(nil), p...))
	c.queueChanged.Signal()
	return len(p), nil
}

// Read reads from the connection, then withholds the result while the incoming
// direction is stalled. It returns net.ErrClosed if Close is called meanwhile.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.network.wait(c.incoming, c.isClosed.Load)
	if c.isClosed.Load() {
		return 0, net.ErrClosed
	}
	return n, err
}

// Close closes the connection for the caller and interrupts blocked reads. Data
// that Write has queued is still sent, after any stall, before the underlying
// connection is closed.
func (c *conn) Close() error {
	c.isClosed.Store(true)
	_ = c.SetReadDeadline(time.Unix(1, 0))
	c.mutex.Lock()
	c.queueChanged.Signal()
	c.mutex.Unlock()
	c.network.wakeWaiters()
	return nil
}

// pump sends the queued data, waiting out stalls of the outgoing direction. It
// runs in its own goroutine until the queue is empty after Close or a write
// fails, and then closes the underlying connection.
func (c *conn) pump() {
	defer c.Conn.Close()
	for {
		p, open := c.dequeue()
		if !open {
			return
		}
		c.network.wait(c.outgoing, neverCanceled)
		if _, err := c.Conn.Write(p); err != nil {
			return
		}
	}
}

// dequeue blocks until data is queued and removes the first entry. It reports false
// when the connection is closed and the queue is empty.
func (c *conn) dequeue() ([]byte, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for len(c.queue) == 0 {
		if c.isClosed.Load() {
			return nil, false
		}
		c.queueChanged.Wait()
	}
	p := c.queue[0]
	c.queue = c.queue[1:]
	return p, true
}
