package node_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/figwick/figwick/internal/fake/fleet"
	"github.com/figwick/figwick/internal/fake/server"
)

// trickle is a body that is sent slowly and without end, until it is closed.
type trickle struct {
	closed chan struct{}
}

func (b *trickle) Read(p []byte) (int, error) {
	select {
	case <-time.After(50 * time.Millisecond):
		p[0] = 'x'
		return 1, nil
	case <-b.closed:
		return 0, io.EOF
	}
}

// TestStopAnswersUnfinishedRequests guards against a graceful stop that leaves a request without
// an answer because its caller has not sent the whole body yet, or its HTTP/2 stream is open.
func TestStopAnswersUnfinishedRequests(t *testing.T) {
	g := newGate()
	b := startFleet(t, fleet.Config{Nodes: 2, DrainTimeout: stopDrainTimeout}, 3, server.Config{Handler: func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		g.serve(w, r)
	}})
	const head = "POST /orders HTTP/1.1\r\nHost: shop.test\r\n"
	answers := map[string]chan error{}
	answered := func(response *http.Response, err error) error {
		if err != nil {
			return err
		}
		defer response.Body.Close()
		if response.StatusCode < http.StatusInternalServerError {
			return fmt.Errorf("status %d", response.StatusCode)
		}
		_, err = io.Copy(io.Discard, response.Body)
		return err
	}
	for name, text := range map[string]string{
		"silent, length":  head + "Content-Length: 100\r\n\r\npart",
		"silent, chunked": head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
		"100-continue":    head + "Expect: 100-continue\r\nContent-Length: 100\r\n\r\n",
	} {
		c := dialCaller(t, b.Nodes[1].Callers)
		_, err := io.WriteString(c, text)
		assert.NilError(t, err)
		answer := make(chan error, 1)
		answers[name] = answer
		go func() {
			response, err := http.ReadResponse(c.reader, nil)
			for err == nil && response.StatusCode == http.StatusContinue {
				response, err = http.ReadResponse(c.reader, nil)
			}
			answer <- answered(response, err)
		}()
	}
	body := &trickle{closed: make(chan struct{})}
	defer close(body.closed)
	for _, version := range []int{1, 2} {
		protocols := &http.Protocols{}
		protocols.SetHTTP1(version == 1)
		protocols.SetUnencryptedHTTP2(version == 2)
		client := &http.Client{Transport: &http.Transport{Protocols: protocols}}
		t.Cleanup(client.CloseIdleConnections)
		for name, content := range map[string]io.Reader{"trickle": body, "running": nil} {
			answer := make(chan error, 1)
			answers[fmt.Sprintf("%s, HTTP/%d", name, version)] = answer
			r := b.request(1, http.MethodPost, "/orders", content)
			go func() { answer <- answered(client.Do(r)) }()
		}
	}
	time.Sleep(300 * time.Millisecond)
	for name, answer := range answers {
		assert.Equal(t, len(answer), 0, "%s was answered before the stop", name)
	}
	assert.NilError(t, b.Nodes[1].Stop())
	late := time.After(readSlack)
	for name, answer := range answers {
		select {
		case err := <-answer:
			assert.Check(t, err, name)
		case <-late:
			t.Fatalf("%s: no answer", name)
		}
	}
	close(g.leave)
}
