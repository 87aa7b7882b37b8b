// Package accept stores configurations in the platform's key-value store and
// loads the accepted one on each node.
//
// A configuration is a tree of three levels: the Head names groups, a group is a
// list of chunk names, and a chunk holds services, caller limits, hosts and
// organisations, of whose API keys it has the hashes only. The name of a chunk or
// group consists of the hash of its content, the revision that first wrote it and a
// prefix of that apply's id.
//
// Apply writes the chunks and groups that the current Head does not name, then
// replaces the Head by compare-and-swap. That write is the commit point: a
// configuration is accepted as a whole or not at all.
//
// Apply's Result is correct under every fault of the store. When a reply is
// lost, Apply repeats the same write. Only one of the repeated writes can
// succeed, and Apply recognises its own by the apply id in the Head, or in the
// Head's History once another apply has replaced it. A conflict returns the
// apply that won.
//
// Unused chunks are deleted after the Head has changed. Because a name contains
// its revision, no later Head can need a name that the current one does not
// have.
package accept
