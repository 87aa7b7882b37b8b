// Package accept decides which configuration is the accepted one.
//
// A configuration is a Head in the platform's store and the chunks it names. A
// chunk's name holds the hash of its content and the revision that first wrote
// it. Apply writes the chunks that the Head before lacks, then moves the Head by
// compare-and-swap: that is the moment of acceptance, and it is whole or not at
// all.
//
// Apply's Result is true under every fault of the store. A lost reply is
// resolved by trying the same write again: it carries an apply id, so that it is
// accepted once, and found in the Head's history where another apply has
// followed. A conflict names the winner.
//
// Old chunks go after a Head has moved. A name carries its revision, so no later
// Head can come to need a name that the current one lacks.
package accept
