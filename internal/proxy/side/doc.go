// Package side is the sidecar. Requests reach the backend servers that are
// registered at this node only through it.
//
// A Server receives attempts and fences on the streams of a link.Pool. It passes
// every event to the admission controller of package admit and carries out the
// operations that the controller returns: it sends the granted attempts to their
// backend servers over HTTP/1.1 and streams the responses back. One mutex guards
// the controller. The operations are carried out after it is released.
package side
