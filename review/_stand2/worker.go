package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	workerQueue       = 24
)

// run is one request on which a worker began to work.
type run struct {
	id, worker, caller, tenant, key, path string
	at                                    time.Time
}

// worker is the stand-in for an application worker beside a node. It follows the platform's
// protocol: slots, a queue, refusals that say so, and a deadline at which it stops.
type worker struct {
	id, service, zone, control string
	address                    string
	slots                      int
	born                       int64
	work                       func(r *http.Request) time.Duration
	onRun                      func(run)
	hooks                      workerHooks
	// answersEarly is set before requests come.
	answersEarly bool
	server       *http.Server
	tokens       chan struct{}
	queued       atomic.Int32
	seq          atomic.Uint64
	stop         context.CancelFunc
	once         sync.Once
}

type workerConfig struct {
	id, service, zone, control, address string
	slots                               int
	work                                func(r *http.Request) time.Duration
	onRun                               func(run)
	hooks                               workerHooks
}

// workerHooks change what a worker does. before reports whether it has dealt with a request, answer
// writes the answer of a run.
type workerHooks struct {
	before func(w *worker, out http.ResponseWriter, r *http.Request) bool
	answer func(out http.ResponseWriter, r *http.Request)
}

// startWorker serves at the address and sends heartbeats until the worker is stopped.
func startWorker(c workerConfig) (*worker, error) {
	w := &worker{
		id: c.id, service: c.service, zone: c.zone, control: c.control, address: c.address, slots: c.slots,
		born: time.Now().UnixMilli(), work: c.work, onRun: c.onRun, hooks: c.hooks, tokens: make(chan struct{}, c.slots),
	}
	l, err := net.Listen("tcp", c.address)
	if err != nil {
		return nil, err
	}
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve)}
	go func() { _ = w.server.Serve(l) }()
	ctx, cancel := context.WithCancel(context.Background())
	w.stop = cancel
	go w.beat(ctx)
	return w, nil
}

func (w *worker) close() {
	w.once.Do(func() {
		w.stop()
		_ = w.server.Close()
	})
}

func (w *worker) beat(ctx context.Context) {
	for ctx.Err() == nil {
		wait := heartbeatInterval
		if w.announce("ready") != http.StatusOK {
			wait = 300 * time.Millisecond
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
}

// announce sends one heartbeat and returns the status of its answer, 0 without one.
func (w *worker) announce(state string) int {
	body, _ := json.Marshal(map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": w.slots,
		"state": state, "cold_left": "0ms", "seq": w.seq.Add(1), "born": w.born,
	})
	client := http.Client{Timeout: time.Second}
	r, err := client.Post(fmt.Sprintf("http://%s/api/instances/%s/heartbeat", w.control, w.id), "application/json", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, r.Body)
	_ = r.Body.Close()
	return r.StatusCode
}

func (w *worker) serve(out http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Figwick-Attempt-Id")
	if r.URL.Path == "/health" {
		out.Header().Set("Figwick-Instance", w.id)
		return
	}
	arrived := time.Now()
	if w.hooks.before != nil && w.hooks.before(w, out, r) {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	out.Header().Set("Figwick-Attempt-Id", id)
	if want := r.Header.Get("Figwick-Expect-Instance"); want != "" && want != w.id {
		out.Header().Set("Figwick-Instance", w.id)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	deadline := arrived.Add(time.Minute)
	if ms, err := strconv.Atoi(r.Header.Get("Figwick-Deadline-Ms")); err == nil {
		deadline = arrived.Add(time.Duration(ms) * time.Millisecond)
	}
	if !w.take(r.Context(), deadline) {
		out.Header().Set("Figwick-Not-Run", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-w.tokens }()
	w.onRun(run{
		id: id, worker: w.id, caller: r.Header.Get("Figwick-Caller"), tenant: r.Header.Get("Figwick-Tenant"),
		key: r.Header.Get("Credential"), path: r.URL.Path, at: time.Now(),
	})
	select {
	case <-time.After(w.work(r)):
	case <-time.After(time.Until(deadline)):
		out.Header().Set("Figwick-Stamp", "stand")
		out.WriteHeader(http.StatusGatewayTimeout)
		return
	case <-r.Context().Done():
		return
	}
	if w.hooks.answer != nil {
		w.hooks.answer(out, r)
		return
	}
	out.Header().Set("Figwick-Stamp", "stand")
	_, _ = io.WriteString(out, "done "+id)
}

// take waits for a slot until the deadline. It reports false if the queue is full, or if no slot
// became free.
func (w *worker) take(ctx context.Context, deadline time.Time) bool {
	select {
	case w.tokens <- struct{}{}:
		return true
	default:
	}
	if w.queued.Add(1) > workerQueue {
		w.queued.Add(-1)
		return false
	}
	defer w.queued.Add(-1)
	select {
	case w.tokens <- struct{}{}:
		return true
	case <-time.After(time.Until(deadline)):
		return false
	case <-ctx.Done():
		return false
	}
}
