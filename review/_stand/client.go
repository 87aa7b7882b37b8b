package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

type (
	// client sends requests over one kept connection, one after the other. It never sends a
	// request twice.
	client struct {
		machine *machine
		record  *recorder
		conn    net.Conn
		reader  *bufio.Reader
	}

	// answer is what a client has got for a request.
	answer struct {
		id string
		// node is the machine whose node took the request.
		node *machine
		// connected is whether the request was sent.
		connected bool
		sent, at  time.Time
		// status is zero if there was no complete answer. body is what has come of it.
		status  int
		stamped bool
		// stamp and echoed are the fields Figwick-Stamp and Figwick-Attempt-Id.
		stamp, echoed string
		body          string
		err           error
	}
)

func newID() string {
	return fmt.Sprintf("%016x", rand.Uint64())
}

// send sends a request and waits for the answer until the deadline.
func (c *client) send(method, path, body string, deadline time.Duration) answer {
	a := answer{id: newID(), node: c.machine}
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.machine.outbound, time.Second)
		if err != nil {
			a.err = err
			return a
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	request := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nFigwick-Attempt-Id: %s\r\nFigwick-Deadline-Ms: %d\r\n", method, path, host, a.id, deadline.Milliseconds())
	if method == http.MethodPost {
		request += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	_ = c.conn.SetDeadline(time.Now().Add(deadline))
	c.record.note("send    %s to %s: %s %s", a.id, c.machine.name, method, path)
	a.sent = time.Now()
	_, err := io.WriteString(c.conn, request+"\r\n"+body)
	a.connected = true
	if err != nil {
		return c.failed(a, err)
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return c.failed(a, err)
	}
	text, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	a.body = string(text)
	if err != nil {
		return c.failed(a, err)
	}
	a.at, a.status = time.Now(), response.StatusCode
	a.stamp, a.echoed = response.Header.Get("Figwick-Stamp"), response.Header.Get("Figwick-Attempt-Id")
	a.stamped = a.stamp != ""
	detail := ""
	if !a.stamped {
		detail = strings.TrimSpace(a.body)
	}
	c.record.note("answer  %s %d stamped %t %s", a.id, a.status, a.stamped, detail)
	if response.Close {
		c.close()
	}
	return a
}

func (c *client) failed(a answer, err error) answer {
	a.at, a.err = time.Now(), err
	c.record.note("answer  %s none: %v", a.id, err)
	c.close()
	return a
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
