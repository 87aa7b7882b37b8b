package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// attempt is one request of a client and what the client saw of its end.
type attempt struct {
	id, node, method, path, key string
	sent, ended                 time.Time
	// kept reports that the connection had served a request before.
	kept bool
	// status is 0 if the connection ended without a complete answer, or the client left.
	status int
	// left reports that the client closed the connection before an answer came.
	left  bool
	body  string
	stamp bool
	err   error
}

// client sends requests to one node on connections that it keeps.
type client struct {
	node    *node
	host    string
	mutex   sync.Mutex
	idle    []*clientConn
	onEnded func(attempt)
}

type clientConn struct {
	net.Conn
	reader *bufio.Reader
	used   bool
}

func (c *client) take() (*clientConn, error) {
	c.mutex.Lock()
	if n := len(c.idle); n > 0 {
		conn := c.idle[n-1]
		c.idle = c.idle[:n-1]
		c.mutex.Unlock()
		return conn, nil
	}
	c.mutex.Unlock()
	raw, err := net.DialTimeout("tcp", c.node.outbound, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: raw, reader: bufio.NewReader(raw)}, nil
}

// request is what a client sends. leaveAfter is when it closes its connection without waiting for
// the answer any longer; 0 means its deadline.
type request struct {
	id, method, path, key, body string
	deadline, leaveAfter        time.Duration
	// lastOne makes this the last request of its connection: the client closes its sending side
	// behind it, and reads the answer.
	lastOne bool
	// piece and pause make the client send the body in pieces, with pauses between them.
	piece int
	pause time.Duration
}

// do sends a request and waits for its answer.
func (c *client) do(_ context.Context, r request) attempt {
	a := attempt{id: r.id, node: c.node.name, method: r.method, path: r.path, key: r.key, sent: time.Now()}
	defer func() { c.onEnded(a) }()
	conn, err := c.take()
	if err != nil {
		a.err, a.ended = err, time.Now()
		return a
	}
	a.kept = conn.used
	conn.used = true
	patience := r.deadline
	if r.leaveAfter > 0 {
		patience = r.leaveAfter
	}
	a.sent = time.Now()
	_ = conn.SetDeadline(a.sent.Add(patience))
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\nFigwick-Attempt-Id: %s\r\nFigwick-Deadline-Ms: %d\r\n",
		r.method, r.path, c.host, r.id, r.deadline.Milliseconds())
	if r.key != "" {
		fmt.Fprintf(&text, "Credential: %s\r\n", r.key)
	}
	if r.method == http.MethodPost {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(r.body))
	}
	body, rest := r.body, ""
	if r.piece > 0 {
		body, rest = r.body[:r.piece], r.body[r.piece:]
	}
	fmt.Fprintf(&text, "\r\n%s", body)
	_, err = io.WriteString(conn, text.String())
	sent := make(chan bool, 1)
	go func() { sent <- sendPieces(conn, rest, r) }()
	if half, ok := conn.Conn.(*net.TCPConn); err == nil && ok && r.lastOne {
		err = half.CloseWrite()
	}
	var response *http.Response
	if err == nil {
		response, err = http.ReadResponse(conn.reader, &http.Request{Method: r.method})
	}
	var answer []byte
	if err == nil {
		answer, err = io.ReadAll(response.Body)
	}
	a.ended = time.Now()
	if err != nil {
		_ = conn.Close()
		a.err = err
		if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
			a.left = true
		}
		return a
	}
	a.status, a.body, a.stamp = response.StatusCode, string(answer), response.Header.Get("Figwick-Stamp") != ""
	// The connection serves another request only behind the whole body.
	if !<-sent || response.Close || r.lastOne {
		_ = conn.Close()
		return a
	}
	_ = conn.SetDeadline(time.Time{})
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.idle = append(c.idle, conn)
	return a
}

// sendPieces sends the rest of a body and reports whether all of it was sent.
func sendPieces(conn net.Conn, rest string, r request) bool {
	for len(rest) > 0 {
		time.Sleep(r.pause)
		n := min(r.piece, len(rest))
		if _, err := io.WriteString(conn, rest[:n]); err != nil {
			return false
		}
		rest = rest[n:]
	}
	return true
}
