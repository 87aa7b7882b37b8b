package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sort"
	"sync"
	"time"
)

const (
	tenantRate  = 60.0
	tenantBurst = 60.0
	quotaWindow = 5 * time.Second
	// quotaBound is QUOTA's: (rate_per_s x window + burst) x (1 + quota_overshoot) + quota_slack.
	quotaBound = (tenantRate*5+tenantBurst)*1.1 + 20
	// leaveWithin is half of the target latency, and leavers the largest share of give_up.
	tenantTarget = 400 * time.Millisecond
	leaveWithin  = tenantTarget / 2
	leavers      = 0.3
	leaveTime    = 9 * time.Second
	publicPrefix = "/status/"
)

// leavingClients holds a tenant above its quota beside other work that keeps all slots busy. With
// the disruption, a share of the tenant's clients leave before their deadline.
func leavingClients(rec *record, trouble bool) (int, error) {
	const service = "huvo11a"
	tenants := newTenants(1, tenantRate, tenantBurst)
	c := configuration{version: "r3", tenants: tenants, service: []string{service}, rules: []map[string]any{
		rule("r-4e9bsvy", "idempotent", readPrefix, service, false, tenantTarget, 2*time.Second, 0, 2),
		rule("r-7public", "idempotent", publicPrefix, service, true, 3*time.Second, 4*time.Second, 2, 2),
	}}
	work := func(int) time.Duration { return time.Duration(210+rand.IntN(60)) * time.Millisecond }
	f, err := newFleet(rec, sixMachines(service), quotaBounds, work, c.text())
	defer f.close()
	if err != nil {
		return exitCannot, err
	}
	time.Sleep(5 * time.Second)
	ctx, stop := context.WithCancel(context.Background())
	var sending sync.WaitGroup
	var leaving sync.Map
	// send sends requests at a rate to each node until the test ends.
	send := func(perSecond float64, make func() request) {
		for _, cl := range f.clients {
			sending.Go(func() {
				ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
				defer ticker.Stop()
				for {
					select {
					case <-ticker.C:
						sending.Go(func() { cl.do(ctx, make()) })
					case <-ctx.Done():
						return
					}
				}
			})
		}
	}
	var count sync.Mutex
	n := 0
	next := func(prefix string) string {
		count.Lock()
		defer count.Unlock()
		n++
		return fmt.Sprintf("%s%06d", prefix, n)
	}
	// mayLeave makes a share of the requests those of clients that leave.
	mayLeave := func(r request) request {
		if _, on := leaving.Load("on"); on && rand.Float64() < leavers {
			r.leaveAfter = leaveWithin/2 + time.Duration(rand.Int64N(int64(leaveWithin/2)))
		}
		return r
	}
	send(14, func() request {
		return mayLeave(request{id: next("p"), method: http.MethodGet, path: publicPrefix + "1", deadline: 4 * time.Second})
	})
	send(30, func() request {
		return mayLeave(request{id: next("t"), method: http.MethodGet, path: readPrefix + "1", key: tenants[0].Keys[0], deadline: 2 * time.Second})
	})
	time.Sleep(8 * time.Second)
	if trouble {
		leaving.Store("on", true)
		rec.note("a share of %.1f of the clients leaves within %s", leavers, leaveWithin)
	}
	time.Sleep(leaveTime)
	leaving.Delete("on")
	rec.note("no client leaves any more")
	time.Sleep(4 * time.Second)
	stop()
	sending.Wait()
	status, left := map[int]int{}, 0
	for _, a := range rec.all() {
		if a.id[0] == 't' {
			status[a.status]++
			if a.left {
				left++
			}
		}
	}
	most, at := mostInWindow(rec, tenants[0].Name)
	rec.note("answers to the tenant by status: %v; clients that left: %d", status, left)
	rec.note("most requests of the tenant sent and run in %s: %d, from %.3f s; QUOTA allows %.0f", quotaWindow, most, at, quotaBound)
	if float64(most) > quotaBound {
		return exitBroken, nil
	}
	return exitHeld, nil
}

// mostInWindow returns the largest number of a tenant's requests that were sent and began to run within
// a window, and when that window begins.
func mostInWindow(rec *record, name string) (int, float64) {
	runs := rec.runsOf()
	type span struct{ sent, ran time.Time }
	var spans []span
	for _, a := range rec.all() {
		if r := runs[a.id]; len(r) > 0 && r[0].tenant == name {
			spans = append(spans, span{a.sent, r[0].at})
		}
	}
	sort.Slice(spans, func(a, b int) bool { return spans[a].sent.Before(spans[b].sent) })
	most, from := 0, 0.0
	for i := range spans {
		end := spans[i].sent.Add(quotaWindow)
		n := 0
		for _, s := range spans[i:] {
			if s.sent.After(end) {
				break
			}
			if !s.ran.After(end) {
				n++
			}
		}
		if n > most {
			most, from = n, spans[i].sent.Sub(rec.start).Seconds()
		}
	}
	return most, from
}
