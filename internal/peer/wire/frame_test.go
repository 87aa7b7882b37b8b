package wire_test

import (
	"bytes"
	"encoding/binary"
	"io"
	"testing"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/figwick/figwick/internal/peer/wire"
)

// pipe is a stream whose reads return what was written to it.
type pipe struct{ bytes.Buffer }

func (p *pipe) Close() error { return nil }

func TestRoundTrip(t *testing.T) {
	p := &pipe{}
	conn := wire.NewConn(p)
	defer conn.Release()
	head := &wire.RequestHead{
		Attempt: "a", Method: "POST", Target: []byte("/orders"), ContentLength: 5,
		Headers: []*wire.Header{{Name: "X", Value: []byte("1")}},
	}
	assert.NilError(t, conn.Send(wire.KindRequestHead, head))
	assert.NilError(t, conn.SendBytes(bytes.Repeat([]byte("x"), wire.MaxBodyFrameBytes+1)))
	assert.NilError(t, conn.Send(wire.KindEnd, &wire.End{}))

	got, err := wire.Receive[wire.RequestHead](conn, wire.KindRequestHead)
	assert.NilError(t, err)
	assert.Check(t, proto.Equal(got, head))
	for _, size := range []int{wire.MaxBodyFrameBytes, 1} {
		frame, err := conn.Next()
		assert.NilError(t, err)
		assert.Equal(t, frame.Kind, wire.KindBody)
		assert.Equal(t, len(frame.Payload), size)
	}
	_, err = wire.Receive[wire.End](conn, wire.KindEnd)
	assert.NilError(t, err)
	_, err = conn.Next()
	assert.ErrorIs(t, err, io.EOF)
}

func TestHostileFrames(t *testing.T) {
	for _, c := range []struct {
		name string
		raw  []byte
	}{
		{"unknown kind", frame(200, 0, nil)},
		{"kind zero", frame(0, 0, nil)},
		{"oversized head", frame(byte(wire.KindRequestHead), wire.MaxHeadBytes+1, nil)},
		{"oversized body", frame(byte(wire.KindBody), wire.MaxBodyFrameBytes+1, nil)},
		{"four gigabytes", frame(byte(wire.KindConfigReply), 1<<32-1, nil)},
		{"half a message", frame(byte(wire.KindFence), 100, []byte("half"))},
		{"half a prefix", []byte{byte(wire.KindFence), 0}},
		{"no protobuf", frame(byte(wire.KindFence), 3, []byte{0xff, 0xff, 0xff})},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := &pipe{}
			_, _ = p.Write(c.raw)
			conn := wire.NewConn(p)
			_, err := wire.Receive[wire.Fence](conn, wire.KindFence)
			assert.Check(t, err != nil)
			assert.Check(t, !errors.Is(err, io.EOF))
		})
	}
}

// frame returns the bytes of a frame whose prefix states the given size.
func frame(kind byte, size uint32, payload []byte) []byte {
	raw := binary.BigEndian.AppendUint32([]byte{kind}, size)
	return append(raw, payload...)
}

// FuzzNext feeds arbitrary bytes to a receiver, as a broken peer may send them. The
// receiver must return errors or frames within the size limit, and never panic.
func FuzzNext(f *testing.F) {
	f.Add(frame(byte(wire.KindFence), 2, []byte{10, 0}))
	f.Add(frame(byte(wire.KindGossip), 5, []byte{10, 3, 'a', 'b', 'c'}))
	f.Add(append(frame(byte(wire.KindBody), 3, []byte("abc")), frame(byte(wire.KindEnd), 0, nil)...))
	f.Add(frame(byte(wire.KindHello), 1<<31, nil))
	f.Fuzz(func(t *testing.T, raw []byte) {
		p := &pipe{}
		_, _ = p.Write(raw)
		conn := wire.NewConn(p)
		for {
			got, err := conn.Next()
			if err != nil {
				return
			}
			if len(got.Payload) > wire.MaxReplyBytes {
				t.Fatalf("%d bytes", len(got.Payload))
			}
			_, _ = wire.Decode[wire.RequestHead](got, got.Kind)
			_, _ = wire.Decode[wire.Gossip](got, got.Kind)
		}
	})
}
