// Package server is a stand-in backend server.
//
// It announces itself to a node as docs/CONTRACT-BACKEND.md says, serves HTTP,
// counts its runs of each request by the header X-Request-Id, and can be made
// sick in the ways that figwick has to notice: failing, slow, hanging or cutting
// its answers short, all while its health endpoint says that it is well.
package server
