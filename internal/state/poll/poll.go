// Package poll selects the nodes that watch the store. The selected nodes are
// called pollers.
//
// Each availability zone has one poller, or more if the fleet has fewer than three
// zones. The number of watches on the store therefore does not grow with the
// number of nodes; the other nodes get new revisions by gossip. A node that cannot
// reach the store reports it in its membership record, and another node of its
// zone is selected instead.
//
//	if poll.IsPoller(self, zone, nodes) { … watch … }
package poll

import (
	"slices"

	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/state/member"
)

// minPollers is the least number of pollers of a fleet that has so many nodes. It takes
// seconds to notice that a poller has lost its connection to the store, and new
// revisions must not wait for that.
const minPollers = 3

// IsPoller reports whether the node self of a zone watches the store. nodes are the
// records of the nodes that are neither dead nor leaving, self included, as self
// sees them. A node without a record of its own zone always watches.
func IsPoller(self ident.Node, zone ident.Zone, nodes []member.Record) bool {
	if !slices.ContainsFunc(nodes, func(r member.Record) bool { return r.Zone == zone }) {
		return true
	}
	return slices.Contains(Pollers(zone, nodes), self)
}

// Pollers returns the nodes of a zone that watch the store, among nodes that are neither dead
// nor leaving. Nodes that cannot reach the store are skipped if any other can; if
// none of the zone can but some of another zone can, the zone has no poller.
func Pollers(zone ident.Zone, nodes []member.Record) []ident.Node {
	zones := map[ident.Zone]bool{zone: true}
	var candidates, connected []ident.Node
	anyConnected := false
	for i := range nodes {
		r := &nodes[i]
		zones[r.Zone] = true
		anyConnected = anyConnected || !r.StoreUnreachable
		if r.Zone != zone {
			continue
		}
		candidates = append(candidates, r.ID)
		if !r.StoreUnreachable {
			connected = append(connected, r.ID)
		}
	}
	perZone := (minPollers + len(zones) - 1) / len(zones)
	switch {
	case len(connected) > 0:
		candidates = connected
	case anyConnected:
		return nil
	}
	return member.Rendezvous("poller", candidates, perZone)
}
