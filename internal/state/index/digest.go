package index

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Digest returns a 64-bit hash of all fields of the Record. Owners and readers
// compare digests to avoid sending unchanged records again.
func (r *Record) Digest() uint64 {
	d := xxhash.New()
	text := func(s string) {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	number := func(n uint64) {
		var raw [8]byte
		binary.BigEndian.PutUint64(raw[:], n)
		_, _ = d.Write(raw[:])
	}
	text(string(r.Service))
	text(string(r.Node))
	text(r.Address)
	text(string(r.Zone))
	number(uint64(r.Slots))
	if r.Leaving {
		number(1)
	}
	for _, backend := range r.Backends {
		text(string(backend.ID))
		number(uint64(backend.Incarnation))
		number(uint64(backend.State))
	}
	return d.Sum64()
}
