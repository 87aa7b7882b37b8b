package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// ordersPerSecond is what the clients of each machine of the other service send.
	ordersPerSecond = 3.0
	// killed machines of seven are a share of 0.43. The largest herd_kill has 0.55, for 2 s.
	killed   = 3
	killTime = 2 * time.Second
)

// lastRequests lets each client close its sending side behind its request, while processes are killed. It
// shows orders that were answered with a promise that they have not run, though they have.
func lastRequests(rec *record, trouble bool) (int, error) {
	const orders, reports = "huvo11a", "wuno96b"
	c := configuration{version: "r3", service: []string{orders, reports}, rules: []map[string]any{
		rule("r-2878wnb", "non_idempotent", writePrefix, orders, false, 800*time.Millisecond, 2500*time.Millisecond, 1, 2),
	}}
	machines := []machine{
		{"eg-north-a", orders, 5},
		{"eg-north-b", orders, 5},
		{"eg-north-a", orders, 5},
		{"eg-north-b", orders, 5},
		{"eg-north-a", orders, 5},
		{"eg-north-c", reports, 5},
		{"eg-north-c", reports, 5},
	}
	work := func(int) time.Duration { return time.Duration(200+rand.IntN(180)) * time.Millisecond }
	f, err := newFleet(rec, machines, nil, work, c.text())
	defer f.close()
	if err != nil {
		return exitCannot, err
	}
	time.Sleep(4 * time.Second)
	body := strings.Repeat("sheet ", 660)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var sending sync.WaitGroup
	for i, cl := range f.clients {
		if machines[i].service == orders {
			continue
		}
		sending.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-time.After(time.Duration(rand.ExpFloat64() / ordersPerSecond * float64(time.Second))):
					sending.Go(func() {
						cl.do(ctx, request{
							id: fmt.Sprintf("o%d-%04d", i, n), method: http.MethodPost, path: writePrefix + "2f", body: body,
							deadline: 5 * time.Second, lastOne: true,
						})
					})
				case <-ctx.Done():
					return
				}
			}
		})
	}
	time.Sleep(4 * time.Second)
	if trouble {
		rec.note("%d of %d processes are killed, for %s", killed, len(f.nodes), killTime)
		for _, n := range f.nodes[:killed] {
			n.kill()
		}
		time.Sleep(killTime)
		for _, n := range f.nodes[:killed] {
			n.stopping.Store(false)
			if err := n.start(); err != nil {
				return exitCannot, err
			}
		}
		rec.note("they are started again")
	}
	time.Sleep(6 * time.Second)
	stop()
	sending.Wait()
	time.Sleep(3 * time.Second)
	runs := rec.runsOf()
	status, broken := map[int]int{}, 0
	for _, a := range rec.all() {
		status[a.status]++
		switch a.status {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			if len(runs[a.id]) > 0 {
				broken++
				rec.note("%s: answered %d at %.3f, run at %s at %.3f", a.id, a.status, a.ended.Sub(rec.start).Seconds(),
					runs[a.id][0].worker, runs[a.id][0].at.Sub(rec.start).Seconds())
			}
		}
	}
	rec.note("answers by status: %v; answered as not run, and run: %d", status, broken)
	if broken > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}
