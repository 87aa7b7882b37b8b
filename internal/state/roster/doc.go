// Package roster keeps the backend servers that are registered with one node.
//
// A backend server registers with an Announcement and repeats it as a heartbeat;
// each one is valid for Lease. A higher incarnation replaces a lower one. A lower
// one is refused, because a delayed message must not restore the state of a
// server that has restarted since.
//
// A server whose lease expires, or that leaves, is marked as gone. Its entry is
// kept for some time to recognise late announcements. The roster only records
// that a server is starting or draining; the caller decides which servers get
// requests.
package roster
