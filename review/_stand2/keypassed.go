package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// keyPassedOn lets two configurations follow each other, the second of which has the first tenants,
// without quotas. It shows requests that reach a worker together with the key of their client.
func keyPassedOn(rec *record, trouble bool) (int, error) {
	const service = "huvo11a"
	rules := func(timeout time.Duration) []map[string]any {
		return []map[string]any{
			rule("r-4e9bsvy", "idempotent", readPrefix, service, false, 1500*time.Millisecond, timeout, 0, 2),
			rule("r-2878wnb", "non_idempotent", writePrefix, service, false, 1500*time.Millisecond, timeout, 1, 2),
		}
	}
	c := configuration{version: "r3", rules: rules(4 * time.Second), service: []string{service}}
	work := func(int) time.Duration { return time.Duration(50+rand.IntN(100)) * time.Millisecond }
	f, err := newFleet(rec, sixMachines(service), quotaBounds, work, c.text())
	defer f.close()
	if err != nil {
		return exitCannot, err
	}
	time.Sleep(4 * time.Second)
	tenants := newTenants(4, 0, 0)
	var keyed sync.Map
	ctx, stop := context.WithCancel(context.Background())
	var sending sync.WaitGroup
	for i, cl := range f.clients {
		for k := range 4 {
			sending.Go(func() {
				for n := 0; ctx.Err() == nil; n++ {
					r := request{id: fmt.Sprintf("a%d-%d-%05d", i, k, n), method: http.MethodGet, path: readPrefix + "2f", deadline: 4 * time.Second}
					if _, on := keyed.Load("on"); on {
						r.key = tenants[rand.IntN(len(tenants))].Keys[0]
					}
					cl.do(ctx, r)
					time.Sleep(time.Duration(rand.IntN(100)) * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(2 * time.Second)
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
	time.Sleep(5 * time.Second)
	stop()
	sending.Wait()
	passed := 0
	for _, runs := range rec.runsOf() {
		for _, x := range runs {
			if x.key == "" {
				continue
			}
			passed++
			rec.note("request %s ran at %s %.3f s after the acknowledgement with Credential %q, Figwick-Tenant %q",
				x.id, x.worker, x.at.Sub(acknowledged).Seconds(), x.key, x.tenant)
		}
	}
	rec.note("%d runs got the key itself", passed)
	if passed > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}
