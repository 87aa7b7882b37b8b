// Package flaky is a network whose paths can be held in one direction.
//
// What is sent over a held path is not lost but late: it arrives when the path
// is let go, as with TCP's retransmissions. So an attempt that its ingress has
// given up long ago can still reach its sidecar.
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
	// Net is the network between nodes. The zero value holds nothing.
	Net struct {
		mutex sync.Mutex
		moved *sync.Cond
		names map[string]ident.Node
		held  map[path]bool
	}

	path struct {
		from, to ident.Node
	}

	dialer struct {
		net  *Net
		from ident.Node
	}

	conn struct {
		net.Conn
		net      *Net
		out, in  path
		mutex    sync.Mutex
		ready    *sync.Cond
		queue    [][]byte
		isClosed atomic.Bool
	}
)

// New returns a network without nodes.
func New() *Net {
	n := &Net{names: map[string]ident.Node{}, held: map[path]bool{}}
	n.moved = sync.NewCond(&n.mutex)
	return n
}

// Name tells which node has an address.
func (n *Net) Name(address string, node ident.Node) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.names[address] = node
}

// Hold holds what one node sends to another, whoever dialled.
func (n *Net) Hold(from, to ident.Node) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.held[path{from, to}] = true
}

// LetGo lets all that is held arrive.
func (n *Net) LetGo() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	clear(n.held)
	n.moved.Broadcast()
}

// Dialer returns what a node dials others with.
func (n *Net) Dialer(from ident.Node) link.Dialer {
	return &dialer{net: n, from: from}
}

// DialContext connects through the network. A path held in either direction
// lets no connection come about.
func (d *dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	to := d.net.nameOf(address)
	c := &conn{net: d.net, out: path{d.from, to}, in: path{to, d.from}}
	if d.net.isHeld(c.out) || d.net.isHeld(c.in) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	raw, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c.Conn = raw
	c.ready = sync.NewCond(&c.mutex)
	go c.pump()
	return c, nil
}

func (n *Net) nameOf(address string) ident.Node {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.names[address]
}

func (n *Net) isHeld(p path) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.held[p]
}

// wait returns once a path is not held, or what is waited for has ended.
func (n *Net) wait(p path, ended func() bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for n.held[p] && !ended() {
		n.moved.Wait()
	}
}

func (n *Net) wake() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.moved.Broadcast()
}

func never() bool { return false }

// Write takes the bytes; they leave when the path is free.
func (c *conn) Write(p []byte) (int, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.isClosed.Load() {
		return 0, net.ErrClosed
	}
	c.queue = append(c.queue, append([]byte(nil), p...))
	c.ready.Signal()
	return len(p), nil
}

// Read returns what came, once the path is free.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.net.wait(c.in, c.isClosed.Load)
	if c.isClosed.Load() {
		return 0, net.ErrClosed
	}
	return n, err
}

// Close closes the connection. What is still held arrives all the same.
func (c *conn) Close() error {
	c.isClosed.Store(true)
	_ = c.SetReadDeadline(time.Unix(1, 0))
	c.mutex.Lock()
	c.ready.Signal()
	c.mutex.Unlock()
	c.net.wake()
	return nil
}

// pump sends what is queued whenever the path is free.
func (c *conn) pump() {
	defer c.Conn.Close()
	for {
		p, open := c.next()
		if !open {
			return
		}
		c.net.wait(c.out, never)
		if _, err := c.Conn.Write(p); err != nil {
			return
		}
	}
}

func (c *conn) next() ([]byte, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for len(c.queue) == 0 {
		if c.isClosed.Load() {
			return nil, false
		}
		c.ready.Wait()
	}
	p := c.queue[0]
	c.queue = c.queue[1:]
	return p, true
}
