package front_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/peer/link"
	"github.com/figwick/figwick/internal/peer/wire"
)

// endingOpener opens streams to peers that stop before anything is sent.
type endingOpener struct {
	t *testing.T
	// opened counts the streams.
	opened int
}

func (o *endingOpener) Open(ctx context.Context, _ string) (*link.Stream, error) {
	o.opened++
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(o.t, err)
	serving, end := context.WithCancel(o.t.Context())
	peer := o.newPool(listener.Addr().String())
	go func() { _ = peer.Serve(serving, listener) }()
	stream, err := o.newPool("127.0.0.1:1").Open(ctx, listener.Addr().String())
	assert.NilError(o.t, err)
	end()
	peer.Close()
	_, err = stream.Next()
	assert.Check(o.t, err != nil)
	return stream, nil
}

func (o *endingOpener) newPool(address string) *link.Pool {
	clock := clockwork.NewRealClock()
	p := link.NewPool(link.Config{
		Self:  link.Peer{Node: ident.Node(address), Address: address, Instance: ident.NewInstance()},
		Clock: clock, Started: time.Now(),
	}, func(context.Context, link.Peer, *wire.Conn, wire.Frame) {})
	o.t.Cleanup(p.Close)
	return p
}

func (o *endingOpener) Drop(string) {}

// TestUnsentRequestHasNotRun guards against a request that is not sent to a sidecar, as it stops,
// and whose caller is told that the request may have run.
func TestUnsentRequestHasNotRun(t *testing.T) {
	opener := &endingOpener{t: t}
	s := newStopServerWith(clockwork.NewFakeClock(), opener)
	w := httptest.NewRecorder()
	s.ServeHTTP(w, newOrder())
	assert.Equal(t, w.Code, http.StatusServiceUnavailable)
	assert.Equal(t, opener.opened, 2)
}
