package link_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/figwick/figwick/internal/peer/link"
	"github.com/figwick/figwick/internal/peer/wire"
)

// TestShutdownTakesNoStreams guards against attempts of unknown fate at a node that stops: its peers open no further
// streams, see those that were on their way as rejected, and new sessions fail. Streams that are open,
// and those that the node itself opens, go on.
func TestShutdownTakesNoStreams(t *testing.T) {
	stopping, addressStopping := startPool(t, "")
	other, addressOther := startPool(t, "")
	late, _ := startPool(t, "")
	assert.NilError(t, sendFence(t, other, addressStopping))
	open, err := other.Open(t.Context(), addressStopping)
	assert.NilError(t, err)
	defer open.Release()
	defer open.Close()
	assert.NilError(t, open.Send(wire.KindFence, &wire.Fence{Attempt: "a"}))
	_, err = wire.Receive[wire.FenceReply](open.Conn, wire.KindFenceReply)
	assert.NilError(t, err)

	stopping.Shutdown()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		stream, err := other.Open(t.Context(), addressStopping)
		if err != nil {
			return poll.Success()
		}
		defer stream.Release()
		defer stream.Close()
		err = stream.Send(wire.KindFence, &wire.Fence{Attempt: "b"})
		if err == nil {
			_, err = wire.Receive[wire.FenceReply](stream.Conn, wire.KindFenceReply)
		}
		if err != nil && !link.IsUnsent(err) && !link.IsRejected(err) {
			return poll.Error(err)
		}
		return poll.Continue("a stream was opened and ended with: %v", err)
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(time.Millisecond))
	assert.Check(t, sendFence(t, late, addressStopping) != nil, "a new session is accepted")
	assert.NilError(t, sendFence(t, stopping, addressOther))
	assert.NilError(t, open.Send(wire.KindFence, &wire.Fence{Attempt: "c"}))
}
