// Package store is a client of the platform's key-value service.
//
// HTTP implements the service's HTTP interface. The packages that use it declare
// small interfaces with the methods they need. Every write names the version that
// it replaces (compare-and-swap); version 0 creates the key.
//
// A write has one of three outcomes: done (a nil error), not done because the key
// has another version (ErrConflict), or unknown (any other error). After an
// unknown outcome, callers read the key again to learn whether the write was done.
package store
