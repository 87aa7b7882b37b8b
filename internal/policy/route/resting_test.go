package route_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/figwick/figwick/internal/base/eval"
	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/policy/route"
)

// zoneSimulation is one ingress and many sidecars with one backend server each, some
// of which are unhealthy. The sidecar of an unhealthy server refuses all attempts
// that may not go to a server on trial. It accepts one other attempt each
// trialInterval.
type zoneSimulation struct {
	picker route.Picker
	t      eval.Context
	// unhealthy and nextTrial are by the address of the sidecar.
	unhealthy map[string]bool
	nextTrial map[string]time.Time
	// completions holds the sidecars whose attempts end at a time.
	completions map[time.Time][]string
	// attempts counts all attempts, failed the requests that maxAttempts sidecars
	// refused, trials the attempts that an unhealthy server ran.
	attempts, failed, trials int
}

const (
	trialInterval = 600 * time.Millisecond
	// noTrialPause is the pause that a sidecar names to attempts that may not go
	// to a server on trial.
	noTrialPause = 400 * time.Millisecond
	serveTime    = 400 * time.Millisecond
	maxAttempts  = 6
)

func newZoneSimulation(localCount, remoteCount, unhealthyLocal int) *zoneSimulation {
	z := &zoneSimulation{
		picker:    route.Picker{Zone: "a"},
		t:         eval.Context{Now: time.Unix(0, 0), Random: eval.NewRandom(3)},
		unhealthy: map[string]bool{}, nextTrial: map[string]time.Time{}, completions: map[time.Time][]string{},
	}
	for i := range localCount + remoteCount {
		zone, address := ident.Zone("a"), fmt.Sprintf("10.0.0.%d:1", i)
		if i >= localCount {
			zone = "b"
		}
		z.picker.Set(route.Sidecar{Address: address, Node: ident.Node(address), Zone: zone, Slots: 5})
		z.unhealthy[address] = i < unhealthyLocal
	}
	return z
}

// request makes attempts until a sidecar accepts one, up to maxAttempts.
func (z *zoneSimulation) request(allowTrial bool) {
	var tried []string
	for range maxAttempts {
		s, found, _ := z.picker.PickAvailable(z.t, tried, allowTrial)
		if !found {
			s, _ = z.picker.Pick(z.t, tried, allowTrial)
		}
		tried = append(tried, s.Address)
		z.picker.Sent(s.Address)
		z.attempts++
		if !z.unhealthy[s.Address] {
			end := z.t.Now.Add(serveTime)
			z.completions[end] = append(z.completions[end], s.Address)
			return
		}
		switch due := !z.t.Now.Before(z.nextTrial[s.Address]); {
		case allowTrial && due:
			z.nextTrial[s.Address] = z.t.Now.Add(trialInterval)
			z.trials++
			z.picker.Answered(z.t, s.Address, route.ReportedLoad{}, time.Millisecond)
		case allowTrial:
			z.picker.Refused(z.t, s.Address, route.ReportedLoad{}, z.nextTrial[s.Address].Sub(z.t.Now), true)
		default:
			z.picker.Refused(z.t, s.Address, route.ReportedLoad{}, noTrialPause, false)
		}
	}
	z.failed++
}

// run makes a request at each multiple of every and returns their number. Its
// argument allowTrial reports whether the i-th request may go to a server on trial.
func (z *zoneSimulation) run(span time.Duration, every time.Duration, allowTrial func(i int) bool) int {
	requests := 0
	for end := z.t.Now.Add(span); z.t.Now.Before(end); z.t.Now = z.t.Now.Add(time.Millisecond) {
		for _, address := range z.completions[z.t.Now] {
			z.picker.Answered(z.t, address, route.ReportedLoad{Slots: 5, Free: 5}, serveTime)
		}
		delete(z.completions, z.t.Now)
		if z.t.Now.UnixMilli()%every.Milliseconds() == 0 {
			z.request(allowTrial(requests))
			requests++
		}
	}
	return requests
}

// TestRequestsReachHealthyServers: half of the backend servers of the ingress's zone
// are unhealthy, and being idle they look like the best choice by load. The other
// servers have free slots for all requests, so no request may fail and few attempts
// may be refused. Unhealthy servers must still get the trials by which they return
// to service.
func TestRequestsReachHealthyServers(t *testing.T) {
	z := newZoneSimulation(14, 28, 7)
	const span = 30 * time.Second
	requests := z.run(span, 250*time.Millisecond, func(i int) bool { return i%4 == 0 })
	perRequest := float64(z.attempts) / float64(requests)
	t.Logf("%d requests, %.2f attempts each, %d failed, %d trials", requests, perRequest, z.failed, z.trials)
	assert.Equal(t, z.failed, 0)
	assert.Check(t, perRequest <= 1.5, "%.2f attempts a request", perRequest)
	assert.Check(t, z.trials > 0)
}
