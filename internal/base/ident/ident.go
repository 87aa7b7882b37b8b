package ident

import (
	"crypto/rand"
	"encoding/hex"
)

type (
	// Node names one figwick process; it stays the same over restarts.
	Node string
	// Service names one service of the operators' file.
	Service string
	// Backend names one backend server; it stays the same over restarts.
	Backend string
	// Zone names an availability zone.
	Zone string
	// Caller names who sends requests, for limits.
	Caller string
	// Attempt names one try to run a request; a retry is a new attempt.
	Attempt string
	// Instance tells one run of a process from the next.
	Instance uint64
	// Incarnation orders the announcements of one backend server or node.
	Incarnation uint64
	// Revision counts accepted configurations; it only grows.
	Revision uint64
	// Apply names one try to have a file accepted.
	Apply string
)

const randomBytes = 12

// NewAttempt returns an attempt id that no other call returns.
func NewAttempt() Attempt {
	return Attempt(random())
}

// NewApply returns an apply id that no other call returns.
func NewApply() Apply {
	return Apply(random())
}

// NewInstance returns a non-zero random instance.
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

func random() string {
	var raw [randomBytes]byte
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}
