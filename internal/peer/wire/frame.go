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

// The kinds of frame. Each is named after the message that it carries, except for
// KindBody, which carries raw bytes, and KindDone, which carries an empty End: the
// ingress sends it to acknowledge a whole response.
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
	KindConfigProof
	KindConfigProofReply
	KindQuota
	KindQuotaReply
	// firstUnusedKind must stay last.
	firstUnusedKind
)

const (
	// Version is the protocol version of this build.
	Version = 2
	// CompressedConfigVersion is the first version in which the head of a ConfigReply
	// may be compressed.
	CompressedConfigVersion = 2
	// OldestVersion is the oldest protocol version accepted from a peer.
	OldestVersion = 1
	// MaxBodyFrameBytes is the maximum payload of one body frame, in bytes.
	MaxBodyFrameBytes = 32 << 10
	// MaxHeadBytes is the maximum size of a message with HTTP headers, in bytes.
	MaxHeadBytes = 256 << 10
	// MaxReplyBytes is the maximum size of a message with a stored response or
	// configuration chunks, in bytes.
	MaxReplyBytes = 4 << 20

	// smallBytes and gossipBytes are the maximum sizes of the other messages, in
	// bytes.
	smallBytes  = 4 << 10
	gossipBytes = 256 << 10
	// prefixBytes is the size of a frame's prefix: the kind in one byte and the
	// payload's size in four, big-endian.
	prefixBytes = 5
	// readBufferBytes is the size of a Conn's read buffer.
	readBufferBytes = 4 << 10
	// initialBufferBytes is the initial size of the buffers for messages.
	initialBufferBytes = 1 << 10
	// maxKeptBytes is the largest message buffer that a Conn keeps for reuse.
	maxKeptBytes = prefixBytes + MaxBodyFrameBytes
)

var (
	// ErrFrame marks a frame that violates the protocol. The stream cannot be used
	// any further.
	ErrFrame = errors.New("wire: malformed frame")

	// sizeLimits are the maximum payload sizes by kind, in bytes.
	sizeLimits = [firstUnusedKind]uint32{
		KindHello:         smallBytes,
		KindRequestHead:   MaxHeadBytes,
		KindBody:          MaxBodyFrameBytes,
		KindEnd:           MaxHeadBytes,
		KindStarted:       smallBytes,
		KindInformational: MaxHeadBytes,
		KindRefusal:       smallBytes,
		KindFailure:       smallBytes,
		KindResponseHead:  MaxHeadBytes,
		KindFence:         smallBytes,
		KindFenceReply:    MaxReplyBytes,
		KindRelay:         smallBytes,
		KindGossip:        gossipBytes,
		KindConfigFetch:   gossipBytes,
		KindConfigReply:   MaxReplyBytes,
		KindDone:          smallBytes,

		KindDirectory:      gossipBytes,
		KindDirectoryReply: gossipBytes,
		KindDemands:        gossipBytes,
		KindShares:         gossipBytes,

		KindConfigProof:      smallBytes,
		KindConfigProofReply: smallBytes,
		KindQuota:            smallBytes,
		KindQuotaReply:       smallBytes,
	}

	connPool sync.Pool
	bodyPool = sync.Pool{New: func() any { return new(bodyFrame) }}
)

type (
	// Kind identifies the message that a frame carries.
	Kind uint8

	// Frame is one received frame. Payload is valid until the next call of
	// Next on the same Conn.
	Frame struct {
		Kind    Kind
		Payload []byte
	}

	// Conn sends and receives messages as frames on one stream. One goroutine may
	// send while another receives. Its buffers return to a pool when the last owner
	// releases it, after which it must not be used.
	Conn struct {
		stream io.ReadWriteCloser
		reader *bufio.Reader
		// in is the buffer for received payloads, out the one for sent messages.
		in   []byte
		out  []byte
		body *bodyFrame
		// gathered buffers the frames sent while gathering is set.
		gathered  []byte
		gathering bool
		// owners counts the references to the Conn.
		owners atomic.Int32
	}

	// bodyFrame is the buffer for one body frame. A Conn takes one from the pool
	// when it first sends a body.
	bodyFrame [prefixBytes + MaxBodyFrameBytes]byte

	// message constrains a type parameter to *M, a pointer to a generated message.
	message[M any] interface {
		*M
		proto.Message
	}
)

// NewConn returns a Conn on a stream, which the Conn never closes. The caller is
// its first owner and must call Release.
func NewConn(stream io.ReadWriteCloser) *Conn {
	c, ok := connPool.Get().(*Conn)
	if !ok {
		c = &Conn{reader: bufio.NewReaderSize(nil, readBufferBytes), out: make([]byte, 0, initialBufferBytes)}
	}
	c.stream = stream
	c.reader.Reset(stream)
	c.owners.Store(1)
	return c
}

// Retain adds an owner, who must call Release too.
func (c *Conn) Retain() {
	c.owners.Add(1)
}

// Release removes an owner. The last call returns the Conn and its buffers to the
// pool.
func (c *Conn) Release() {
	if c.owners.Add(-1) > 0 {
		return
	}
	c.stream = nil
	c.reader.Reset(nil)
	c.gathering = false
	c.gathered = c.gathered[:0]
	if cap(c.gathered) > maxKeptBytes {
		c.gathered = nil
	}
	if c.body != nil {
		bodyPool.Put(c.body)
		c.body = nil
	}
	connPool.Put(c)
}

// Stream returns the underlying stream.
func (c *Conn) Stream() io.ReadWriteCloser {
	return c.stream
}

// Reader returns a reader of the raw stream, including the bytes already buffered.
// It serves to copy the rest of a stream to another one.
func (c *Conn) Reader() io.Reader {
	return c.reader
}

// Buffered reports whether any bytes of the next frame have been received already.
func (c *Conn) Buffered() bool {
	return c.reader.Buffered() > 0
}

// WaitForFrame waits until the first byte of the next frame is received, and reports
// false if that takes longer than wait. It reports true for a stream that has ended
// or failed, where Next returns the error, and at once for a stream without read
// deadlines.
func (c *Conn) WaitForFrame(wait time.Duration) bool {
	deadliner, ok := c.stream.(interface{ SetReadDeadline(t time.Time) error })
	if !ok {
		return true
	}
	_ = deadliner.SetReadDeadline(time.Now().Add(wait))
	_, err := c.reader.Peek(1)
	_ = deadliner.SetReadDeadline(time.Time{})
	var timeout net.Error
	return err == nil || !errors.As(err, &timeout) || !timeout.Timeout()
}

// Send writes one message as one frame. It returns ErrFrame if the message exceeds
// the size limit of its kind.
func (c *Conn) Send(kind Kind, m proto.Message) error {
	frame := c.out[:0]
	frame = append(frame, byte(kind), 0, 0, 0, 0)
	frame, err := proto.MarshalOptions{}.MarshalAppend(frame, m)
	if err != nil {
		return errors.Wrapf(err, "wire: encode kind %d", kind)
	}
	size := len(frame) - prefixBytes
	if size > int(sizeLimits[kind]) {
		return errors.Wrapf(ErrFrame, "send kind %d: %d bytes, at most %d", kind, size, sizeLimits[kind])
	}
	binary.BigEndian.PutUint32(frame[1:], uint32(size))
	if cap(frame) <= maxKeptBytes {
		c.out = frame[:0]
	}
	return errors.Wrapf(c.write(frame), "wire: send kind %d", kind)
}

// Gather buffers the frames sent from now on until Flush, so that several small
// ones leave in one write. The buffer is also written whenever it reaches
// MaxBodyFrameBytes.
func (c *Conn) Gather() {
	c.gathering = true
}

// Flush writes the buffered frames and ends the effect of Gather.
func (c *Conn) Flush() error {
	c.gathering = false
	if len(c.gathered) == 0 {
		return nil
	}
	frames := c.gathered
	c.gathered = c.gathered[:0]
	_, err := c.stream.Write(frames)
	return errors.Wrap(err, "wire: flush")
}

// write writes a frame to the stream, or appends it to the buffer after Gather.
func (c *Conn) write(frame []byte) error {
	if !c.gathering {
		_, err := c.stream.Write(frame)
		return err
	}
	c.gathered = append(c.gathered, frame...)
	if len(c.gathered) < MaxBodyFrameBytes {
		return nil
	}
	err := c.Flush()
	c.gathering = true
	return err
}

// BodyBuffer returns the buffer that SendBody sends from. It is MaxBodyFrameBytes
// long.
func (c *Conn) BodyBuffer() []byte {
	if c.body == nil {
		c.body, _ = bodyPool.Get().(*bodyFrame)
	}
	return c.body[prefixBytes:]
}

// SendBody sends the first n bytes of BodyBuffer as one body frame. BodyBuffer must
// have been called before.
func (c *Conn) SendBody(n int) error {
	frame := c.body[:prefixBytes+n]
	frame[0] = byte(KindBody)
	binary.BigEndian.PutUint32(frame[1:], uint32(n))
	return errors.Wrap(c.write(frame), "wire: send body")
}

// SendBytes sends a body of any length as body frames.
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

// Next receives one frame. It returns io.EOF if the peer closed the stream between
// two frames, and an error marked with ErrFrame for a frame that is malformed or cut
// short after its prefix.
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
	if kind == 0 || kind >= firstUnusedKind {
		return Frame{}, errors.Wrapf(ErrFrame, "receive: unknown kind %d", kind)
	}
	if size > sizeLimits[kind] {
		return Frame{}, errors.Wrapf(ErrFrame, "receive kind %d: %d bytes, at most %d", kind, size, sizeLimits[kind])
	}
	payload := c.payloadBuffer(int(size))
	if _, err := io.ReadFull(c.reader, payload); err != nil {
		return Frame{}, errors.Wrapf(errors.Mark(err, ErrFrame), "receive kind %d", kind)
	}
	return Frame{Kind: kind, Payload: payload}, nil
}

// payloadBuffer returns a buffer for a payload of the given size. It reuses one
// buffer for payloads up to maxKeptBytes, as most are, and allocates a new one for
// larger payloads.
func (c *Conn) payloadBuffer(size int) []byte {
	if size > maxKeptBytes {
		return make([]byte, size)
	}
	if cap(c.in) < size {
		c.in = make([]byte, max(size, initialBufferBytes))
	}
	return c.in[:size]
}

// Decode decodes the message of a frame. It returns ErrFrame if the frame is of
// another kind than the given one or cannot be decoded.
func Decode[M any, P message[M]](f Frame, kind Kind) (P, error) {
	if f.Kind != kind {
		return nil, errors.Wrapf(ErrFrame, "got kind %d, expected %d", f.Kind, kind)
	}
	m := P(new(M))
	if err := proto.Unmarshal(f.Payload, m); err != nil {
		return nil, errors.Wrapf(errors.Mark(err, ErrFrame), "decode kind %d", kind)
	}
	return m, nil
}

// Receive receives one frame and decodes it, like Next followed by Decode.
func Receive[M any, P message[M]](c *Conn, kind Kind) (P, error) {
	frame, err := c.Next()
	if err != nil {
		return nil, err
	}
	return Decode[M, P](frame, kind)
}
