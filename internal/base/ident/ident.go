package ident

import (
	"crypto/rand"
	"encoding/hex"
)

type (
	// Node identifies a figwick process. It stays the same across restarts.
	Node string
	// Service is the name of a service in the configuration file.
	Service string
	// Backend identifies a backend server. It stays the same across restarts.
	Backend string
	// Zone is the name of an availability zone.
	Zone string
	// Caller identifies the sender of requests that a rate limit applies to.
	Caller string
	// Organisation is the name of a customer to whom callers' API keys belong.
	Organisation string
	// Attempt identifies one attempt to run a request. A retry is a new attempt.
	Attempt string
	// Instance is a random non-zero number that identifies one run of a process.
	Instance uint64
	// Incarnation increases with each restart of a backend server or node. Of two
	// announcements the one with the higher incarnation is current.
	Incarnation uint64
	// Revision is the number of an accepted configuration. It only increases.
	Revision uint64
	// Apply identifies one request to apply a configuration file.
	Apply string
)

// randomBytes is the number of random bytes in an id.
const randomBytes = 12

// NewAttempt returns a unique random attempt id.
func NewAttempt() Attempt {
	return Attempt(randomHex())
}

// NewApply returns a unique random apply id.
func NewApply() Apply {
	return Apply(randomHex())
}

// NewInstance returns a random instance, never zero.
func NewInstance() Instance {
	var raw [8]byte
	_, _ = rand.Read(raw[:])
	instance := Instance(1)
	for _, b := range raw {
		instance = instance<<8 | Instance(b)
	}
	if instance == 0 {
		return 1
	}
	return instance
}

// randomHex returns randomBytes random bytes in hexadecimal.
func randomHex() string {
	var raw [randomBytes]byte
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}
