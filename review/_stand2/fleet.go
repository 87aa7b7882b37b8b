package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	exitHeld    = 0
	exitBroken  = 1
	exitCannot  = 2
	routeHost   = "ficu95.example"
	readPrefix  = "/lohu930/"
	writePrefix = "/pufi791/"
)

// record collects what was sent, answered and run, for record.txt.
type record struct {
	mutex    sync.Mutex
	start    time.Time
	notes    []string
	attempts []attempt
	runs     []run
}

func (r *record) note(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	line := fmt.Sprintf("%8.3f  ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...)
	r.notes = append(r.notes, line)
	fmt.Println(line)
}

func (r *record) addAttempt(a attempt) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.attempts = append(r.attempts, a)
}

func (r *record) addRun(x run) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.runs = append(r.runs, x)
}

// runsOf returns the runs by the ids of their requests.
func (r *record) runsOf() map[string][]run {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	byID := map[string][]run{}
	for _, x := range r.runs {
		byID[x.id] = append(byID[x.id], x)
	}
	return byID
}

func (r *record) all() []attempt {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]attempt(nil), r.attempts...)
}

// write writes record.txt.
func (r *record) write(folder string) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var text strings.Builder
	text.WriteString("# seconds since the start, and what happened\n")
	for _, n := range r.notes {
		text.WriteString(n + "\n")
	}
	since := func(t time.Time) float64 { return t.Sub(r.start).Seconds() }
	sort.Slice(r.attempts, func(a, b int) bool { return r.attempts[a].sent.Before(r.attempts[b].sent) })
	text.WriteString("\n# requests: sent, ended, id, node, method, path, key, status (0: no answer), left, error\n")
	for i := range r.attempts {
		a := &r.attempts[i]
		fmt.Fprintf(&text, "%8.3f %8.3f %s %s %s %s key=%q %d left=%v err=%v\n",
			since(a.sent), since(a.ended), a.id, a.node, a.method, a.path, a.key, a.status, a.left, a.err)
	}
	sort.Slice(r.runs, func(a, b int) bool { return r.runs[a].at.Before(r.runs[b].at) })
	text.WriteString("\n# runs at workers: time, id, worker, path, Figwick-Caller, Figwick-Tenant, Credential\n")
	for _, x := range r.runs {
		fmt.Fprintf(&text, "%8.3f %s %s %s caller=%q tenant=%q credential=%q\n", since(x.at), x.id, x.worker, x.path, x.caller, x.tenant, x.key)
	}
	return os.WriteFile(filepath.Join(folder, "record.txt"), []byte(text.String()), 0o644)
}

// fleet is a small deployment: a store, and nodes with a worker and a client each.
type fleet struct {
	record  *record
	folder  string
	store   *kvStore
	nodes   []*node
	workers []*worker
	clients []*client
	zones   []string
	extra   bounds
}

// machine describes one machine of a fleet.
type machine struct {
	zone, service string
	slots         int
}

// newFleet starts a store, and a node and a worker for each machine. It waits until all nodes are
// ready and all workers are announced.
func newFleet(rec *record, machines []machine, extra bounds, work func(worker int) time.Duration, first []byte) (*fleet, error) {
	return newFleetWith(rec, machines, extra, work, first, workerHooks{})
}

// newFleetWith is newFleet with workers that do something else.
func newFleetWith(
	rec *record, machines []machine, extra bounds, work func(worker int) time.Duration, first []byte, hooks workerHooks,
) (*fleet, error) {
	folder, err := os.MkdirTemp("", "figwick-review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: rec, folder: folder, extra: extra}
	f.stopOnSignal()
	if f.store, err = newStore(); err != nil {
		return f, err
	}
	f.store.put("op/config", first)
	seen := map[string]bool{}
	for _, m := range machines {
		if !seen[m.zone] {
			seen[m.zone] = true
			f.zones = append(f.zones, m.zone)
		}
	}
	for i, m := range machines {
		n, err := newNode(fmt.Sprintf("sidecar-%s-%d", m.zone, i+1), fmt.Sprintf("127.0.1.%d", i+1), m.zone, m.service)
		if err != nil {
			return f, err
		}
		f.nodes = append(f.nodes, n)
		if err := n.writeSettings(folder, f.store.address, f.zones, true, extra); err != nil {
			return f, err
		}
		if err := n.start(); err != nil {
			return f, err
		}
		f.clients = append(f.clients, &client{node: n, host: routeHost, onEnded: rec.addAttempt})
	}
	// A node that starts again later is not started for the first time.
	for _, n := range f.nodes {
		if err := f.waitReady(n, 10*time.Second); err != nil {
			return f, err
		}
		if err := n.writeSettings(folder, f.store.address, f.zones, false, extra); err != nil {
			return f, err
		}
	}
	for i, m := range machines {
		n := f.nodes[i]
		w, err := startWorker(workerConfig{
			id: fmt.Sprintf("i-%08x", 0x7f3a9100+i), service: m.service, zone: m.zone, control: n.control, address: n.app,
			slots: m.slots, work: func(*http.Request) time.Duration { return work(i) }, onRun: rec.addRun, hooks: hooks,
		})
		if err != nil {
			return f, err
		}
		f.workers = append(f.workers, w)
	}
	rec.note("%d nodes are ready, the store is at %s", len(f.nodes), f.store.address)
	return f, nil
}

// stopOnSignal ends the processes if the test is told to end.
func (f *fleet) stopOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-signals
		f.close()
		os.Exit(exitCannot)
	}()
}

func (f *fleet) waitReady(n *node, most time.Duration) error {
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if n.isReady() {
			return nil
		}
	}
	return fmt.Errorf("node %s is not ready after %s", n.name, most)
}

// close ends all processes and removes the temporary folder.
func (f *fleet) close() {
	for _, w := range f.workers {
		w.close()
	}
	for _, n := range f.nodes {
		n.kill()
	}
	if f.store != nil {
		_ = f.store.server.Close()
	}
	_ = os.RemoveAll(f.folder)
}

// configuration is the operator's configuration.
type configuration struct {
	version string
	tenants []tenant
	rules   []map[string]any
	service []string
}

type tenant struct {
	Name  string   `json:"name"`
	Keys  []string `json:"api_keys"`
	Rate  float64  `json:"rate_per_s,omitempty"`
	Burst float64  `json:"burst,omitempty"`
}

// rule returns a rule of a listener.
func rule(name, kind, prefix, service string, public bool, target, timeout time.Duration, priority, attempts int) map[string]any {
	return map[string]any{
		"name": name, "kind": kind, "target_latency": fmt.Sprintf("%dms", target.Milliseconds()), "priority": priority,
		"public": public, "match": map[string]string{"prefix": prefix},
		"action": map[string]any{"service": service, "timeout": fmt.Sprintf("%dms", timeout.Milliseconds()), "max_attempts": attempts},
	}
}

func (c configuration) text() []byte {
	clusters := []map[string]any{}
	for _, s := range c.service {
		clusters = append(clusters, map[string]any{"name": s, "health_path": "/health", "max_connections": 1590, "protocol": "h1", "tls": false})
	}
	value := map[string]any{
		"version": c.version,
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms",
		},
		"listeners": []map[string]any{{"host": routeHost, "rules": c.rules}}, "clusters": clusters,
	}
	if len(c.tenants) > 0 {
		value["tenants"] = c.tenants
	}
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return text
}
