package wire

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
)

// The kinds of frame, by the message that each carries.
const (
	KindHello Kind = iota + 1
	KindRequestHead
	KindBody
	KindEnd
	KindStarted
	KindInformational
	KindRefusal
	KindFailure
	KindResponseHead
	KindFence
	KindFenceReply
	KindRelay
	KindGossip
	KindConfigFetch
	KindConfigReply
	KindDone
	KindDirectory
	KindDirectoryReply
	KindDemands
	KindShares
	kindEnd
)

const (
	// Version is the protocol version this build speaks.
	Version = 1
	// OldestVersion is the oldest version a peer may speak.
	OldestVersion = 1
	// BodyBytes is the largest payload of one body frame.
	BodyBytes = 32 << 10
	// HeadBytes is the largest message that carries HTTP headers.
	HeadBytes = 256 << 10
	// ReplyBytes is the largest message that carries a kept answer or chunks.
	ReplyBytes = 4 << 20

	smallBytes  = 4 << 10
	gossipBytes = 256 << 10
	prefixBytes = 5
	readBytes   = 4 << 10
	outBytes    = 1 << 10
	// keepBytes is the largest buffer that a Conn keeps for later messages.
	keepBytes = prefixBytes + BodyBytes
)

var (
	// ErrFrame marks a frame that breaks the protocol; the stream is lost.
	ErrFrame = errors.New("wire: malformed frame")

	limits = [kindEnd]uint32{
		KindHello:         smallBytes,
		KindRequestHead:   HeadBytes,
		KindBody:          BodyBytes,
		KindEnd:           HeadBytes,
		KindStarted:       smallBytes,
		KindInformational: HeadBytes,
		KindRefusal:       smallBytes,
		KindFailure:       smallBytes,
		KindResponseHead:  HeadBytes,
		KindFence:         smallBytes,
		KindFenceReply:    ReplyBytes,
		KindRelay:         smallBytes,
		KindGossip:        gossipBytes,
		KindConfigFetch:   gossipBytes,
		KindConfigReply:   ReplyBytes,
		KindDone:          smallBytes,

		KindDirectory:      gossipBytes,
		KindDirectoryReply: gossipBytes,
		KindDemands:        gossipBytes,
		KindShares:         gossipBytes,
	}

	conns  sync.Pool
	bodies = sync.Pool{New: func() any { return new(bodyFrame) }}
)

type (
	// Kind tells which message a frame carries.
	Kind uint8

	// Frame is one received frame. Payload is valid until the next call of
	// Next on the same Conn.
	Frame struct {
		Kind    Kind
		Payload []byte
	}

	// Conn frames messages on one stream. One goroutine may send while another
	// receives.
	Conn struct {
		stream io.ReadWriteCloser
		reader *bufio.Reader
		in     []byte
		out    []byte
		body   *bodyFrame
		// kept holds frames back while gathers is set.
		kept    []byte
		gathers bool
		owners  atomic.Int32
	}

	// bodyFrame is the space for one body frame, held only while a body flows.
	bodyFrame [prefixBytes + BodyBytes]byte

	message[M any] interface {
		*M
		proto.Message
	}
)

// NewConn frames messages on a stream, which it does not close. The caller is
// its first owner.
func NewConn(stream io.ReadWriteCloser) *Conn {
	c, ok := conns.Get().(*Conn)
	if !ok {
		c = &Conn{reader: bufio.NewReaderSize(nil, readBytes), out: make([]byte, 0, outBytes)}
	}
	c.stream = stream
	c.reader.Reset(stream)
	c.owners.Store(1)
	return c
}

// Retain adds an owner, who must Release too.
func (c *Conn) Retain() {
	c.owners.Add(1)
}

// Release ends the use by one owner. The last one gives the buffers back.
func (c *Conn) Release() {
	if c.owners.Add(-1) > 0 {
		return
	}
	c.stream = nil
	c.reader.Reset(nil)
	c.gathers = false
	c.kept = c.kept[:0]
	if cap(c.kept) > keepBytes {
		c.kept = nil
	}
	if c.body != nil {
		bodies.Put(c.body)
		c.body = nil
	}
	conns.Put(c)
}

// Stream returns the stream below.
func (c *Conn) Stream() io.ReadWriteCloser {
	return c.stream
}

// Reader returns the receiving side with what is already buffered, to splice
// the rest of a stream elsewhere.
func (c *Conn) Reader() io.Reader {
	return c.reader
}

// Buffered reports whether bytes of the next frame are here already.
func (c *Conn) Buffered() bool {
	return c.reader.Buffered() > 0
}

// Ready waits for the next frame to begin and reports whether it did in time.
// A stream that has ended counts as ready: Next tells.
func (c *Conn) Ready(wait time.Duration) bool {
	limited, ok := c.stream.(interface{ SetReadDeadline(t time.Time) error })
	if !ok {
		return true
	}
	_ = limited.SetReadDeadline(time.Now().Add(wait))
	_, err := c.reader.Peek(1)
	_ = limited.SetReadDeadline(time.Time{})
	var timeout net.Error
	return err == nil || !errors.As(err, &timeout) || !timeout.Timeout()
}

// Send writes one message as one frame.
func (c *Conn) Send(kind Kind, m proto.Message) error {
	frame := c.out[:0]
	frame = append(frame, byte(kind), 0, 0, 0, 0)
	frame, err := proto.MarshalOptions{}.MarshalAppend(frame, m)
	if err != nil {
		return errors.Wrapf(err, "wire: encode kind %d", kind)
	}
	size := len(frame) - prefixBytes
	if size > int(limits[kind]) {
		return errors.Wrapf(ErrFrame, "send kind %d: %d bytes, at most %d", kind, size, limits[kind])
	}
	binary.BigEndian.PutUint32(frame[1:], uint32(size))
	if cap(frame) <= keepBytes {
		c.out = frame[:0]
	}
	return errors.Wrapf(c.write(frame), "wire: send kind %d", kind)
}

// Gather keeps frames back until Flush, so that several small ones leave
// together.
func (c *Conn) Gather() {
	c.gathers = true
}

// Flush sends what Gather kept back and ends the gathering.
func (c *Conn) Flush() error {
	c.gathers = false
	if len(c.kept) == 0 {
		return nil
	}
	kept := c.kept
	c.kept = c.kept[:0]
	_, err := c.stream.Write(kept)
	return errors.Wrap(err, "wire: flush")
}

func (c *Conn) write(frame []byte) error {
	if !c.gathers {
		_, err := c.stream.Write(frame)
		return err
	}
	c.kept = append(c.kept, frame...)
	if len(c.kept) < BodyBytes {
		return nil
	}
	err := c.Flush()
	c.gathers = true
	return err
}

// BodyBuffer returns the space that SendBody sends from, BodyBytes long.
func (c *Conn) BodyBuffer() []byte {
	if c.body == nil {
		c.body, _ = bodies.Get().(*bodyFrame)
	}
	return c.body[prefixBytes:]
}

// SendBody sends the first n bytes of BodyBuffer as one body frame.
func (c *Conn) SendBody(n int) error {
	frame := c.body[:prefixBytes+n]
	frame[0] = byte(KindBody)
	binary.BigEndian.PutUint32(frame[1:], uint32(n))
	return errors.Wrap(c.write(frame), "wire: send body")
}

// SendBytes sends a whole body, however long, as body frames.
func (c *Conn) SendBytes(body []byte) error {
	for len(body) > 0 {
		n := copy(c.BodyBuffer(), body)
		if err := c.SendBody(n); err != nil {
			return err
		}
		body = body[n:]
	}
	return nil
}

// Next receives one frame. It returns io.EOF where the peer closed between two
// frames, and an error that is ErrFrame for anything that breaks the protocol.
func (c *Conn) Next() (Frame, error) {
	var prefix [prefixBytes]byte
	if _, err := io.ReadFull(c.reader, prefix[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return Frame{}, io.EOF
		}
		return Frame{}, errors.Wrap(err, "wire: receive")
	}
	kind := Kind(prefix[0])
	size := binary.BigEndian.Uint32(prefix[1:])
	if kind == 0 || kind >= kindEnd {
		return Frame{}, errors.Wrapf(ErrFrame, "receive: unknown kind %d", kind)
	}
	if size > limits[kind] {
		return Frame{}, errors.Wrapf(ErrFrame, "receive kind %d: %d bytes, at most %d", kind, size, limits[kind])
	}
	payload := c.space(int(size))
	if _, err := io.ReadFull(c.reader, payload); err != nil {
		return Frame{}, errors.Wrapf(errors.Mark(err, ErrFrame), "receive kind %d", kind)
	}
	return Frame{Kind: kind, Payload: payload}, nil
}

// space returns room for a payload: kept room where it is small, since most
// payloads are.
func (c *Conn) space(size int) []byte {
	if size > keepBytes {
		return make([]byte, size)
	}
	if cap(c.in) < size {
		c.in = make([]byte, max(size, outBytes))
	}
	return c.in[:size]
}

// Decode returns the message of a frame that must be of the given kind.
func Decode[M any, P message[M]](f Frame, kind Kind) (P, error) {
	if f.Kind != kind {
		return nil, errors.Wrapf(ErrFrame, "kind %d where %d was expected", f.Kind, kind)
	}
	m := P(new(M))
	if err := proto.Unmarshal(f.Payload, m); err != nil {
		return nil, errors.Wrapf(errors.Mark(err, ErrFrame), "decode kind %d", kind)
	}
	return m, nil
}

// Receive receives one frame of the given kind and decodes it.
func Receive[M any, P message[M]](c *Conn, kind Kind) (P, error) {
	frame, err := c.Next()
	if err != nil {
		return nil, err
	}
	return Decode[M, P](frame, kind)
}
