// Package admin serves the operators' HTTP API of a node: readiness, status, dump,
// metrics and drain. It also returns the active configuration file, and checks,
// compares and applies new ones.
//
// It is separate from package node so that programs without this API do not link the
// web framework that it uses.
package admin
