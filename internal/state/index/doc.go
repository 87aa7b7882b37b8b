// Package index implements the directory of services: which nodes have which
// backend servers of a service.
//
// For each service, OwnerCount nodes chosen by rendezvous hashing own the
// directory. Each node with backend servers of the service puts a Record to every
// owner, at each change and at least every PutInterval. Nodes that need the
// service get its records from the owners and keep no records of other services.
// A record expires Lease after it was last put or touched. A new owner therefore
// has all records within PutInterval.
//
// If two nodes claim the same backend server, the claim with the higher
// incarnation wins. The server is counted for that node only, and the other node
// learns from the reply to its next put that the server has moved.
package index
