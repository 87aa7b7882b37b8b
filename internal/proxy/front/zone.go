package front

import (
	"github.com/figwick/figwick/internal/base/eval"
)

// bytesSmoothing is the weight of one response in service.responseBytes.
const bytesSmoothing = 0.1

// describe tells the service's picker which request a sidecar is picked for next.
func (x *exchange) describe(svc *service) {
	svc.picker.Target = x.match.TargetLatency
	svc.picker.Bytes = max(0, x.body.length) + int64(svc.responseBytes)
}

// leavesZone reports whether the attempt goes to another availability zone.
func (a *attempt) leavesZone() bool {
	return a.sidecar.Zone != a.x.server.config.Zone
}

// countSent counts bytes of the request's body that were sent to the sidecar.
func (a *attempt) countSent(n int) {
	if a.leavesZone() {
		a.x.server.config.Meter.ZoneCrossingBytes.Inc(int64(n))
	}
}

// countReceived counts bytes of the response's body that came from the sidecar.
func (a *attempt) countReceived(n int) {
	a.receivedBytes += n
	if a.leavesZone() {
		a.x.server.config.Meter.ZoneCrossingBytes.Inc(int64(n))
	}
}

// recordSent tells the picker of an attempt that begins.
func (x *exchange) recordSent(address string, leavesZone bool) {
	if leavesZone {
		x.server.config.Meter.ZoneCrossingAttempts.Inc(1)
	}
	x.server.withService(x.match.Entry.Name, func(_ eval.Context, svc *service) { svc.picker.Sent(address) })
}

// observeBytes records the length of a response's body.
func (svc *service) observeBytes(n int) {
	svc.responseBytes += bytesSmoothing * (float64(n) - svc.responseBytes)
}
