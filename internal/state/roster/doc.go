// Package roster holds the backend servers that announce themselves to one
// node.
//
// An Announcement is also the heartbeat: it is good for Lease. A higher
// incarnation replaces a lower one; a lower one is refused, so that a message
// that was held up cannot bring back a server that has since restarted. A server
// that does not renew, or says that it drains, gets no new work; one that leaves
// is forgotten.
package roster
