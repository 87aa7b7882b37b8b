package front

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/figwick/figwick/internal/peer/wire"
)

// TestDeparturesAreRemembered guards against an ingress that sends requests to a backend server which has
// told it that it leaves, through a sidecar that has forgotten it in a restart.
func TestDeparturesAreRemembered(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	left := func(server string, incarnation uint64) *wire.Departure {
		return &wire.Departure{BackendServer: server, Incarnation: incarnation}
	}
	var d departures
	names := func(address string) string {
		text := ""
		for _, k := range d.at(now, address) {
			text += fmt.Sprintf("%s/%d ", k.BackendServer, k.Incarnation)
		}
		return text
	}
	assert.Equal(t, names("a"), "")
	d.add(now, "a", left("s-1", 1))
	d.add(now, "b", left("s-2", 1))
	d.add(now, "a", left("s-1", 3))
	assert.Equal(t, names("a"), "s-1/3 ")
	assert.Equal(t, names("b"), "s-2/1 ")
	for i := range 2 * maxDepartures {
		d.add(now, "b", left(fmt.Sprintf("s-%d", i), 7))
	}
	assert.Equal(t, len(d.at(now, "b")), maxDepartures)
	now = now.Add(departureRetention)
	assert.Equal(t, names("a"), "s-1/3 ")
	now = now.Add(time.Second)
	assert.Equal(t, names("a"), "")
	assert.Equal(t, len(d.at(now, "b")), 0)
	assert.Equal(t, len(d), 0)
}
