// Package node assembles one figwick process: ingress, sidecar, configuration
// watcher, service directory and administration API, with their listeners and
// periodic loops.
//
//	n, err := node.New(config)
//	err = n.Run(ctx)   // returns when ctx has ended and the stop is complete
//
// The decision packages, such as admit, member and index, hold the state and do no
// I/O. This package passes them the time and the messages received, and performs
// the operations that they return.
package node
