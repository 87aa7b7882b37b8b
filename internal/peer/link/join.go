package link

import (
	"encoding/binary"
	"net"
)

const (
	headerBytes      = 12
	typeAt           = 1
	lengthAt         = 8
	typeData    byte = 0
)

// joined sends a yamux data header together with the payload that follows it,
// in one system call. yamux writes the two one after the other from one
// goroutine.
type joined struct {
	net.Conn
	buffer []byte
	held   bool
}

// Write holds a data header back until its payload comes.
func (j *joined) Write(p []byte) (int, error) {
	if j.held {
		j.held = false
		j.buffer = append(j.buffer, p...)
		if _, err := j.Conn.Write(j.buffer); err != nil {
			return 0, err
		}
		return len(p), nil
	}
	if len(p) == headerBytes && p[typeAt] == typeData && binary.BigEndian.Uint32(p[lengthAt:]) > 0 {
		j.buffer = append(j.buffer[:0], p...)
		j.held = true
		return len(p), nil
	}
	return j.Conn.Write(p)
}
