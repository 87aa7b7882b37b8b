package front

import (
	"slices"
	"time"

	"github.com/figwick/figwick/internal/base/eval"
	"github.com/figwick/figwick/internal/peer/wire"
)

const (
	// departureRetention is how long a departure is remembered. It is longer than a
	// backend server runs on after it has said that it leaves.
	departureRetention = 10 * time.Minute
	// maxDepartures is the most departures that are remembered of one sidecar.
	maxDepartures = 4
)

type (
	// departures are the backend servers that have said in a response through this
	// ingress that they leave, by the addresses of their sidecars. Every request to such a
	// sidecar carries them, since the sidecar may have forgotten them in a restart.
	departures map[string][]departure

	departure struct {
		*wire.Departure
		learnedAt time.Time
	}
)

// add remembers a departure. Of one server only the highest incarnation counts.
func (d *departures) add(now time.Time, address string, left *wire.Departure) {
	if *d == nil {
		*d = departures{}
	}
	known := slices.DeleteFunc((*d)[address], func(k departure) bool {
		return k.expired(now) || k.BackendServer == left.BackendServer && k.Incarnation <= left.Incarnation
	})
	known = append(known, departure{Departure: left, learnedAt: now})
	(*d)[address] = known[max(0, len(known)-maxDepartures):]
}

// at returns the departures of a sidecar.
func (d departures) at(now time.Time, address string) []*wire.Departure {
	var left []*wire.Departure
	for _, k := range d[address] {
		if !k.expired(now) {
			left = append(left, k.Departure)
		}
	}
	if left == nil {
		delete(d, address)
	}
	return left
}

func (d *departure) expired(now time.Time) bool {
	return now.Sub(d.learnedAt) > departureRetention
}

func (x *exchange) noteDeparture(address string, left *wire.Departure) {
	x.server.withService(x.match.Entry.Name, func(t eval.Context, svc *service) { svc.departed.add(t.Now, address, left) })
}

func (x *exchange) departedAt(address string) []*wire.Departure {
	var left []*wire.Departure
	x.server.withService(x.match.Entry.Name, func(t eval.Context, svc *service) { left = svc.departed.at(t.Now, address) })
	return left
}
