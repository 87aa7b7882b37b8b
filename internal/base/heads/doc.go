// Package heads checks the head of an HTTP response for what net/http accepts although it has no meaning.
//
// net/http's reader takes any three digits for a status, and names with spaces for those of fields. A response
// with such a status, 000 for instance, or with such a name comes from a server in trouble. Nothing in it can be
// relied on, not even a field that says of what state the server is.
//
// Check and CheckFields look at what the reader has returned, which is enough where nothing of a response is passed
// on. Scanner reads along, and also sees what the reader has dropped or joined.
package heads
