// Package ident holds the named types for the ids that several packages share.
//
// An id is never parsed or compared across types: a Backend is not a Node even
// where both name the same VM. Ids that must be unique without agreement
// (Attempt, Apply, Instance) come from the system's random source.
package ident
