package apikey

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"encoding/hex"
	"math/bits"

	"github.com/cockroachdb/errors"
)

const (
	// hashBytes is the length of a Hash.
	hashBytes = 16
	// bucketSize is the mean number of entries of a bucket that NewTable aims for.
	bucketSize = 4
	// stackBytes is the length up to which Sum copies a key to the stack. Longer keys
	// cost an allocation.
	stackBytes = 512
)

type (
	// Hash is the first half of the SHA-256 hash of an API key.
	Hash [hashBytes]byte

	// Entry is one API key and the number of its owner.
	Entry struct {
		Hash  Hash
		Owner uint32
	}

	// Table maps API keys to their owners. It is immutable; the zero value and nil are
	// empty.
	Table struct {
		// entries are ordered by bucket.
		entries []Entry
		// starts has the index of each bucket's first entry, and the number of entries
		// as its last element.
		starts []uint32
		// shift turns the first 32 bits of a hash into its bucket.
		shift uint
	}
)

// Sum returns the hash of an API key.
func Sum(key string) Hash {
	var buffer [stackBytes]byte
	sum := sha256.Sum256(append(buffer[:0], key...))
	return Hash(sum[:hashBytes])
}

// String returns the hash in hexadecimal.
func (h Hash) String() string {
	return hex.EncodeToString(h[:])
}

// ParseHash returns the hash that String has returned as text. The error doesn't contain
// the text, which may be a key.
func ParseHash(text string) (Hash, error) {
	var h Hash
	if len(text) != 2*hashBytes {
		return h, errors.Newf("apikey: %d characters, a hash has %d", len(text), 2*hashBytes)
	}
	if _, err := hex.Decode(h[:], []byte(text)); err != nil {
		return Hash{}, errors.New("apikey: a hash is not in hexadecimal")
	}
	return h, nil
}

// NewTable returns the table of the given entries, which it leaves unchanged. Of entries
// with the same hash any one may be found.
func NewTable(entries []Entry) *Table {
	t := &Table{entries: make([]Entry, len(entries))}
	buckets := 1 << bits.Len(uint(len(entries)/bucketSize))
	t.shift = uint(32 - bits.TrailingZeros(uint(buckets)))
	t.starts = make([]uint32, buckets+1)
	for i := range entries {
		t.starts[t.bucketOf(&entries[i].Hash)+1]++
	}
	for b := range buckets {
		t.starts[b+1] += t.starts[b]
	}
	next := append([]uint32(nil), t.starts[:buckets]...)
	for i := range entries {
		b := t.bucketOf(&entries[i].Hash)
		t.entries[next[b]] = entries[i]
		next[b]++
	}
	return t
}

// Find returns the owner of the API key with the given hash.
func (t *Table) Find(h Hash) (owner uint32, found bool) {
	if t == nil || len(t.entries) == 0 {
		return 0, false
	}
	b := t.bucketOf(&h)
	bucket := t.entries[t.starts[b]:t.starts[b+1]]
	match := -1
	for i := range bucket {
		match = subtle.ConstantTimeSelect(subtle.ConstantTimeCompare(bucket[i].Hash[:], h[:]), i, match)
	}
	if match < 0 {
		return 0, false
	}
	return bucket[match].Owner, true
}

// Len returns the number of API keys.
func (t *Table) Len() int {
	if t == nil {
		return 0
	}
	return len(t.entries)
}

// bucketOf returns the bucket of a hash. A shift by 32 bits gives bucket 0.
func (t *Table) bucketOf(h *Hash) uint32 {
	return binary.BigEndian.Uint32(h[:4]) >> t.shift
}
