// Package kvs is a stand-in for the platform's key-value service.
//
// A Store keeps its items in memory and has the methods of store.HTTP; Handler
// serves the same Store over the HTTP interface that store.HTTP speaks, so that
// one table of contract tests runs against both. Faults are switched on by
// Inject, and every call and waiting watch is counted.
package kvs
