// Package node puts one figwick process together: ingress, sidecar, watcher,
// directory and administration, with the listeners and loops that drive them.
//
//	n, err := node.New(config)
//	err = n.Run(ctx)   // returns when ctx has ended and the stop is complete
//
// The parts hold their state in decision packages; this package moves time and
// messages into them and carries out what they ask for.
package node
