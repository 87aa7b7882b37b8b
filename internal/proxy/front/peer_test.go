package front_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/peer/link"
	"github.com/figwick/figwick/internal/peer/wire"
	"github.com/figwick/figwick/internal/policy/route"
	"github.com/figwick/figwick/internal/proxy/front"
)

const (
	peerAddress = "10.0.0.1:7"
	// passedBytes is more than an ingress holds back of a response.
	passedBytes = 200_000
)

type (
	// peerMessage is a message of a sidecar, or a part of a body of the given length.
	peerMessage struct {
		kind    wire.Kind
		message proto.Message
		length  int
	}

	// peerCase is what a sidecar sends to a request, and the fate that it reports to a fence.
	peerCase struct {
		name string
		sent []peerMessage
		fate *wire.FenceReply
		// passed reports that the caller gets a part of a response, which must not look whole.
		passed bool
	}
)

// servePeer returns the URL of an ingress whose only sidecar sends the messages of a case.
func servePeer(t *testing.T, c *peerCase) string {
	clock := clockwork.NewFakeClock()
	pool := link.NewPool(link.Config{
		Self:  link.Peer{Node: ident.Node("node-2"), Address: peerAddress, Instance: ident.NewInstance()},
		Clock: clock, Started: clock.Now(),
	}, func(_ context.Context, _ link.Peer, conn *wire.Conn, first wire.Frame) {
		if first.Kind == wire.KindFence {
			_ = conn.Send(wire.KindFenceReply, c.fate)
			return
		}
		for _, m := range c.sent {
			if m.length > 0 {
				_ = conn.SendBytes(make([]byte, m.length))
				continue
			}
			_ = conn.Send(m.kind, m.message)
		}
		_, _ = io.Copy(io.Discard, conn.Reader())
	})
	t.Cleanup(pool.Close)
	s := newStopServerWith(clock, pool)
	s.SetSidecars("shop", []route.Sidecar{{Address: peerAddress, Node: "node-2", Slots: 3}})
	server := httptest.NewUnstartedServer(s)
	server.Config.Protocols = &http.Protocols{}
	server.Config.Protocols.SetHTTP1(true)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	t.Cleanup(server.Close)
	return server.URL
}

// TestBrokenPeerResponse guards against a response of another node that a caller gets although it is broken, such as
// one that an earlier version has passed on, and against a failure of it that claims that the order has not run.
func TestBrokenPeerResponse(t *testing.T) {
	field := func(name string) []*wire.Header { return []*wire.Header{{Name: name, Value: []byte("y")}} }
	head := func(status int32, name string) peerMessage {
		return peerMessage{kind: wire.KindResponseHead, message: &wire.ResponseHead{Status: status, Headers: field(name), ContentLength: -1}}
	}
	body := func(length int) peerMessage { return peerMessage{length: length} }
	end := func(trailers ...*wire.Header) peerMessage {
		return peerMessage{kind: wire.KindEnd, message: &wire.End{Trailers: trailers}}
	}
	fate := func(status int32, name, trailer string) *wire.FenceReply {
		return &wire.FenceReply{
			Fate: wire.Fate_FATE_ANSWERED, Head: &wire.ResponseHead{Status: status, Headers: field(name)}, Body: []byte("body"), Trailers: field(trailer),
		}
	}
	refusal := peerMessage{kind: wire.KindRefusal, message: &wire.Refusal{Reason: wire.Reason_REASON_BUSY}}
	running := &wire.FenceReply{Fate: wire.Fate_FATE_STARTED}
	for _, c := range []peerCase{
		{"status 0", []peerMessage{head(0, "X"), body(4), end()}, running, false},
		{"status 103 in place of the last", []peerMessage{head(103, "X"), body(4), end()}, running, false},
		{"status 600", []peerMessage{head(600, "X"), body(4), end()}, running, false},
		{"space in a name", []peerMessage{head(200, "Content-Length "), body(4), end()}, running, false},
		{"control byte in a name", []peerMessage{head(200, "X\x01"), body(4), end()}, running, false},
		{"no name", []peerMessage{head(200, ""), body(4), end()}, running, false},
		{"space in a trailer's name", []peerMessage{head(200, "X"), body(4), end(field("X Y")...)}, running, false},
		{"space in a trailer's name, passed", []peerMessage{head(200, "X"), body(passedBytes), end(field("X Y")...)}, running, true},
		{"refusal behind a head", []peerMessage{head(200, "X"), body(4), refusal}, running, false},
		{"refusal behind a part", []peerMessage{head(200, "X"), body(passedBytes), refusal}, running, true},
		{"fate with status 0", nil, fate(0, "X", "Y"), false},
		{"fate with a space in a name", nil, fate(200, "X ", "Y"), false},
		{"fate with a space in a trailer's name", nil, fate(200, "X", " Y"), false},
	} {
		for _, version := range []int{1, 2} {
			t.Run(c.name+", HTTP/"+string(rune('0'+version)), func(t *testing.T) {
				if len(c.sent) == 0 {
					c.sent = []peerMessage{{kind: wire.KindEnd, message: &wire.End{}}}
				}
				protocols := &http.Protocols{}
				protocols.SetHTTP1(version == 1)
				protocols.SetUnencryptedHTTP2(version == 2)
				client := &http.Client{Transport: &http.Transport{Protocols: protocols}, Timeout: 10 * time.Second}
				defer client.CloseIdleConnections()
				r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, servePeer(t, &c), http.NoBody)
				assert.NilError(t, err)
				r.Host = "shop.test"
				response, err := client.Do(r)
				assert.NilError(t, err)
				defer response.Body.Close()
				text, err := io.ReadAll(response.Body)
				assert.Check(t, err == nil || !strings.Contains(err.Error(), "Timeout"), "no end: %v", err)
				if c.passed {
					assert.Check(t, err != nil, "%d bytes are the whole", len(text))
					return
				}
				assert.NilError(t, err)
				assert.Equal(t, response.StatusCode, http.StatusBadGateway, "%s", text)
				assert.Equal(t, response.Header.Get(front.OutcomeHeader), front.OutcomeUnknown)
			})
		}
	}
}
