package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// newTenants returns tenants with one key each.
func newTenants(n int, rate, burst float64) []tenant {
	var list []tenant
	for i := range n {
		list = append(list, tenant{Name: fmt.Sprintf("hule%03d", i), Keys: []string{fmt.Sprintf("m82thhkmgjqnirth5%03d", i)}, Rate: rate, Burst: burst})
	}
	return list
}

var quotaBounds = bounds{"strict_revoke": true, "revoke": "5000ms", "quota_window": "5s", "quota_overshoot": 0.1, "quota_slack": 20}

// sixMachines is a small deployment of one service in three zones.
func sixMachines(service string) []machine {
	return []machine{
		{"lisboa-a", service, 5},
		{"lisboa-b", service, 5},
		{"lisboa-c", service, 5},
		{"lisboa-a", service, 5},
		{"lisboa-b", service, 5},
		{"lisboa-c", service, 5},
	}
}

// stormGap is the time between two configurations of a config_storm.
const stormGap = 330 * time.Millisecond

// firstTenants lets two configurations follow each other, the second of which has the deployment's first
// tenants, while clients send requests to all nodes. It shows nodes that end by themselves, with the
// requests that they had read and passed on.
func firstTenants(rec *record, trouble bool) (int, error) {
	const service = "huvo11a"
	rules := func(timeout time.Duration) []map[string]any {
		return []map[string]any{
			rule("r-4e9bsvy", "idempotent", readPrefix, service, false, 1500*time.Millisecond, timeout, 0, 2),
			rule("r-2878wnb", "non_idempotent", writePrefix, service, false, 1500*time.Millisecond, timeout, 1, 2),
		}
	}
	c := configuration{version: "r3", rules: rules(4 * time.Second), service: []string{service}}
	work := func(int) time.Duration { return time.Duration(50+rand.IntN(150)) * time.Millisecond }
	f, err := newFleet(rec, sixMachines(service), quotaBounds, work, c.text())
	defer f.close()
	if err != nil {
		return exitCannot, err
	}
	time.Sleep(4 * time.Second)
	tenants := newTenants(40, 40, 40)
	var keyed sync.Map
	ctx, stop := context.WithCancel(context.Background())
	var sending sync.WaitGroup
	for i, cl := range f.clients {
		for k := range 6 {
			sending.Go(func() {
				for n := 0; ctx.Err() == nil; n++ {
					r := request{id: fmt.Sprintf("a%d-%d-%05d", i, k, n), method: http.MethodGet, path: readPrefix + "2f", deadline: 4 * time.Second}
					if rand.IntN(2) == 0 {
						r.method, r.path, r.body = http.MethodPost, writePrefix+"2f", "order"
					}
					if _, on := keyed.Load("on"); on {
						r.key = tenants[rand.IntN(len(tenants))].Keys[0]
					}
					cl.do(ctx, r)
					time.Sleep(time.Duration(rand.IntN(100)) * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(3 * time.Second)
	acknowledged := time.Now()
	if trouble {
		c.version, c.rules = "r4", rules(5*time.Second)
		f.store.put("op/config", c.text())
		rec.note("r4 is acknowledged")
		time.Sleep(stormGap)
		c.version, c.tenants = "r5", tenants
		acknowledged = f.store.put("op/config", c.text())
		keyed.Store("on", true)
		rec.note("r5 with the first %d tenants is acknowledged", len(tenants))
	}
	time.Sleep(6 * time.Second)
	stop()
	sending.Wait()
	ends := 0
	for _, n := range f.nodes {
		for _, at := range n.endedByItself() {
			ends++
			rec.note("node %s ended by itself %.3f s after the acknowledgement", n.name, at.Sub(acknowledged).Seconds())
		}
		for _, line := range n.fatalLines(8) {
			rec.note("  %s", line)
		}
	}
	cut := cutRequests(rec, f, acknowledged)
	rec.note("processes ended by themselves %d times; LOST counts %d requests", ends, cut)
	if cut > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}

// lostWindow is config_apply and one second, for which LOST counts beside a configuration.
const lostWindow = 3500 * time.Millisecond

// lostTime is seven tenths of the clients' deadline. LOST does not count a request beside a configuration
// that has used so much.
const lostTime = 7 * 4 * time.Second / 10

// cutRequests counts the requests of LOST: passed on to a worker, and the connection ended without an
// answer from the sending of a configuration until lostWindow later, at machines that cut requests
// over three times as often then as at other times.
func cutRequests(rec *record, f *fleet, from time.Time) int {
	runs := rec.runsOf()
	all := rec.all()
	total := 0
	for _, n := range f.nodes {
		var inside []attempt
		outside := 0
		first, last := from, from
		for _, a := range all {
			if a.node != n.name || a.ended.IsZero() {
				continue
			}
			if a.sent.Before(first) {
				first = a.sent
			}
			if a.ended.After(last) {
				last = a.ended
			}
			if a.status != 0 || a.left || len(runs[a.id]) == 0 || a.ended.Sub(a.sent) >= lostTime {
				continue
			}
			if a.ended.After(from) && a.ended.Before(from.Add(lostWindow)) {
				inside = append(inside, a)
			} else {
				outside++
			}
		}
		others := max(last.Sub(first)-lostWindow, time.Second)
		if float64(len(inside))/lostWindow.Seconds() <= 3*float64(outside)/others.Seconds() {
			continue
		}
		total += len(inside)
		for _, a := range inside {
			rec.note("request %s (%s) to %s: run at %s, connection ended without an answer: %v", a.id, a.method, a.node, runs[a.id][0].worker, a.err)
		}
	}
	return total
}
