// Package ident defines the id types that several packages share.
//
// Ids are never parsed, and ids of different types are never compared: a Backend is
// not a Node, even if both have the name of the same VM. Ids that must be unique
// without coordination (Attempt, Apply, Instance) come from the system's random
// source.
package ident
