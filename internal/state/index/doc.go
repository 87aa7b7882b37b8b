// Package index is the directory of who serves what.
//
// For each service a few nodes, found by rendezvous hash, own its directory. The
// sidecars of a service put a Record to each owner, at every change and at least
// every PutEvery; ingresses and sidecars that want the service get the records
// of it, and hold nothing of other services. A record that is not put again
// lapses after Lease, so an owner that takes over is complete within PutEvery.
//
// Where two nodes claim one backend server, the higher incarnation wins: the
// server counts for its new node only, and the old node is told that it moved.
package index
