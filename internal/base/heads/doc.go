// Package heads checks what net/http accepts of an HTTP response although it has no meaning.
//
// net/http's reader takes any three digits for a status. A response with such a status, 000 for instance, comes
// from a server in trouble. Nothing in it can be relied on, not even a field that says of what state the
// server is.
package heads
