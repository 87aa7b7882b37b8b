package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// shedShare is the share of its requests that the worker refuses, for shedTime in each
	// troubleCycle.
	shedShare    = 0.55
	shedTime     = 8500 * time.Millisecond
	troubleCycle = 10 * time.Second
	// copyShare is the share of its answers that the worker sends once more, for copyTime
	// in each troubleCycle.
	copyShare = 0.03
	copyTime  = 5 * time.Second
	// lateCopyTime is how long the clients send.
	lateCopyTime = 100 * time.Second
)

func init() {
	cases["late-copy"] = runLateCopy
}

// runLateCopy lets a worker send the copy of a refusal late, on a connection that is in use
// again.
func runLateCopy(record *recorder, trouble bool) ([]string, error) {
	f, err := newFleet(record, "z1/orders", "z2/web", "z3/web")
	if err != nil {
		return nil, err
	}
	defer f.close()
	runs := newRunTable()
	began := time.Now()
	for i, m := range f.machines {
		w := &worker{
			id: fmt.Sprintf("i-%d", i+1), service: m.service, zone: m.zone, slots: 3, address: m.app, control: m.control,
			record: record, runs: runs,
			behave: func(string) behavior {
				b := behavior{work: 60 * time.Millisecond}
				if sinceCycle := time.Since(began) % troubleCycle; trouble && m.service == "orders" {
					b.refuse = sinceCycle < shedTime && rand.Float64() < shedShare
					b.repeatLate = sinceCycle < copyTime && rand.Float64() < copyShare
				}
				return b
			},
		}
		if err := w.start(); err != nil {
			return nil, err
		}
		defer w.stop()
		if err := f.start(m); err != nil {
			return nil, err
		}
	}
	f.configure(7, route{
		name: "r-order", kind: "non_idempotent", prefix: "/order/", service: "orders", target: "600ms", timeout: "1500ms", attempts: 2,
	})
	if err := f.awaitReady(10 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	var mutex sync.Mutex
	var answers []answer
	var pending sync.WaitGroup
	end := time.Now().Add(lateCopyTime)
	for range 4 {
		pending.Go(func() {
			c := &client{machine: f.machines[1], record: record}
			defer c.close()
			for time.Now().Before(end) {
				a := c.send(http.MethodPost, "/order/1", "one order", 1500*time.Millisecond)
				mutex.Lock()
				answers = append(answers, a)
				mutex.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	pending.Wait()
	time.Sleep(time.Second)
	return judgeOnce(answers, runs), nil
}

// judgeOnce applies TWICE and REFUSED to the answers of requests that are not idempotent.
func judgeOnce(answers []answer, runs *runTable) []string {
	var broken []string
	served := 0
	for _, a := range answers {
		n := len(runs.of(a.id))
		if a.status == http.StatusOK {
			served++
		}
		if n > 1 {
			broken = append(broken, fmt.Sprintf("TWICE: %s ran %d times, answered %d", a.id, n, a.status))
		}
		if n > 0 && promisesNotRun(a.status) {
			broken = append(broken, fmt.Sprintf("REFUSED: %s was answered %d and has run", a.id, a.status))
		}
	}
	fmt.Printf("%d requests, %d answered 200\n", len(answers), served)
	return broken
}

func promisesNotRun(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable ||
		status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest
}
