// Package apikey finds the owner of an API key.
//
// A Table holds no keys but the first half of their SHA-256 hashes. 128 bits are enough:
// finding a key for one of a million hashes takes about 2^108 attempts. A lookup hashes
// the key that a caller sent and compares the hash with those in one small bucket, each
// in constant time. The time of a lookup therefore depends on the hash of the key only,
// of which it reveals no more than the bucket, and never on how much of a key is right.
//
// The entries lie in one array, ordered by bucket. The hashes are uniform, so that their
// first bits select the bucket and no bucket gets large. An entry takes 20 bytes and there
// are no pointers, which keeps the garbage collector out of tables with a million keys.
//
//	table := apikey.NewTable([]apikey.Entry{{Hash: apikey.Sum("k1"), Owner: 3}})
//	owner, found := table.Find(apikey.Sum("k1"))
package apikey
