// Package store reaches the platform's key-value service.
//
// HTTP is the adapter for the service's HTTP interface; it has the methods that
// the packages above name in small interfaces of their own. Every write names
// the version it replaces (compare-and-swap), and version 0 creates.
//
// A write ends in one of three ways: done (a nil error), ErrConflict (not done,
// another version stands there), or any other error, after which nobody knows
// whether it was done. Callers read back before they believe either.
package store
