package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// longShare is the share of the requests that run for longWork, the others run for
	// shortWork at most.
	longShare = 0.1
	shortWork = 400 * time.Millisecond
	longWork  = 2 * time.Second
	// stopRounds is how often the nodes are stopped and started in turn.
	stopRounds = 2
	// stopGap is the time between the starts of two stops.
	stopGap = 13 * time.Second
	// lateSent is how long after a SIGTERM a request must have been sent at most for that its
	// worker's being at work in the last sixth of the grace period excuses its loss.
	lateSent = 3 * time.Second
	// stopTimeout is the timeout of the route, stopDeadline that of the clients.
	stopTimeout  = 2500 * time.Millisecond
	stopDeadline = 5 * time.Second
	// cutMargin is how long before a timeout an answer may come because of it.
	cutMargin = 100 * time.Millisecond
)

func init() {
	cases["late-stop"] = runLateStop
}

// runLateStop stops and starts the nodes in turn while clients go on sending.
func runLateStop(record *recorder, trouble bool) ([]string, error) {
	f, err := newFleet(record, "z1/orders", "z2/orders", "z3/orders")
	if err != nil {
		return nil, err
	}
	defer f.close()
	runs := newRunTable()
	for i, m := range f.machines {
		w := &worker{
			id: fmt.Sprintf("i-%d", i+1), service: m.service, zone: m.zone, slots: 24, address: m.app, control: m.control,
			record: record, runs: runs,
			behave: func(string) behavior {
				if rand.Float64() < longShare {
					return behavior{work: longWork}
				}
				return behavior{work: shortWork/2 + time.Duration(rand.Int64N(int64(shortWork/2)))}
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
		name: "r-order", kind: "non_idempotent", prefix: "/order/", service: "orders",
		target: "800ms", timeout: "2500ms", attempts: 2,
	})
	if err := f.awaitReady(10 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	var mutex sync.Mutex
	var answers []answer
	var pending sync.WaitGroup
	done := make(chan struct{})
	for _, m := range f.machines {
		for range 16 {
			pending.Go(func() {
				c := &client{machine: m, record: record}
				defer c.close()
				for {
					select {
					case <-done:
						return
					case <-time.After(time.Duration(20+rand.IntN(60)) * time.Millisecond):
					}
					if !f.getsWork(m) {
						continue
					}
					a := c.send(http.MethodPost, "/order/1", "one order", stopDeadline)
					mutex.Lock()
					answers = append(answers, a)
					mutex.Unlock()
				}
			})
		}
	}
	time.Sleep(4 * time.Second)
	var stops []stop
	for range stopRounds {
		for _, m := range f.machines {
			began := time.Now()
			stops = append(stops, stop{machine: m, at: began})
			if trouble {
				if err := f.restart(m, 500*time.Millisecond); err != nil {
					return nil, err
				}
			}
			time.Sleep(stopGap - time.Since(began))
		}
	}
	close(done)
	pending.Wait()
	return judgeStops(answers, runs, stops), nil
}

// stop is a planned stop of a node.
type stop struct {
	machine *machine
	at      time.Time
}

// judgeStops applies LOST to the requests around planned stops of the nodes that took them.
func judgeStops(answers []answer, runs *runTable, stops []stop) []string {
	var broken []string
	served, failed := 0, 0
	for _, a := range answers {
		if !a.connected {
			continue
		}
		if a.stamped {
			served++
			continue
		}
		failed++
		for _, s := range stops {
			if a.node != s.machine || a.at.Before(s.at) || a.sent.After(s.at.Add(grace+time.Second)) {
				continue
			}
			if line := lostIn(a, runs.of(a.id), s); line != "" {
				broken = append(broken, line)
			}
		}
	}
	fmt.Printf("%d requests were served, %d were not\n", served, failed)
	return broken
}

// lostIn returns how a request was lost in a stop, or nothing if it was not, or if its loss is
// excused.
func lostIn(a answer, ran []run, s stop) string {
	for _, r := range ran {
		// The worker stops at the deadline that it is handed. If that comes before the
		// client's and the route's, the node has broken the request off.
		brokenOff := r.cut && r.end.Before(a.sent.Add(min(stopTimeout, stopDeadline)-cutMargin))
		atWork := r.end.IsZero() || r.end.After(a.at) || brokenOff
		lastSixth := s.at.Add(grace * 5 / 6)
		excused := !a.sent.After(s.at.Add(lateSent)) && (r.end.IsZero() || r.end.After(lastSixth))
		timedOut := a.at.Sub(a.sent) >= stopTimeout-cutMargin
		if atWork && !excused && !timedOut {
			return fmt.Sprintf("LOST: %s, sent %.2f s after SIGTERM to %s, ended with status %d (error %v) %.2f s after SIGTERM; "+
				"worker %s was at work, and had been handed %d ms",
				a.id, a.sent.Sub(s.at).Seconds(), a.node.name, a.status, a.err, a.at.Sub(s.at).Seconds(), r.worker, r.handed.Milliseconds())
		}
	}
	return ""
}
