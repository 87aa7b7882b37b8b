// Package side is the sidecar: the only way to the backend servers that
// announced themselves to this node.
//
// A Server carries out what the decision package desk decides. It receives
// attempts and fences from the streams of a link.Pool, sends what is granted to
// the backend server over HTTP/1.1, and streams the answer back. All events go
// through one mutex into the Desk; operations come out and are carried out after
// it is released.
package side
