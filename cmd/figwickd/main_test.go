package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// asProgram makes the test binary run as figwickd itself.
	asProgram = "FIGWICK_TEST_AS_PROGRAM"
	grace     = 4 * time.Second
	// firstPort is below the first port that nextPort returns.
	firstPort = 7000
)

// ports counts the ports that nextPort has returned.
var ports atomic.Int32

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// node is a figwickd process and its addresses.
type node struct {
	*exec.Cmd
	log      bytes.Buffer
	outbound string
	settings []byte
	ended    chan error
}

// newNode returns a node that is not started, with its settings at the given path.
func newNode(t *testing.T, path string) *node {
	t.Helper()
	host := ownHost()
	addresses := make([]string, 4)
	for i := range addresses {
		addresses[i] = net.JoinHostPort(host, strconv.Itoa(nextPort()))
	}
	text, err := json.Marshal(map[string]any{
		"node": "node-1", "ip": host, "zone": "zone-1", "service": "shop",
		"listen":         map[string]any{"outbound": addresses[0], "ready": addresses[1], "control": addresses[2]},
		"internal_ports": []int{nextPort(), nextPort()}, "heartbeat": "300ms", "limits": map[string]any{"memory_mb": 284},
		"bounds": map[string]any{
			"grace": grace.String(), "retry_budget_ratio": 0.2, "retry_budget_base": 30, "budget_window": "10s",
		},
		"platform": map[string]any{"address": addresses[3], "ttl_min": "1000ms"},
	})
	assert.NilError(t, err)
	n := &node{outbound: addresses[0], settings: text, ended: make(chan error, 1)}
	n.Cmd = exec.CommandContext(t.Context(), os.Args[0], "--settings", path)
	n.Env = append(os.Environ(), asProgram+"=1")
	n.Stdout, n.Stderr = &n.log, &n.log
	return n
}

// ownHost returns a loopback address for this process. A port that was found free on 127.0.0.1 may
// be taken by a connection of another process before it is bound; nobody connects from this one.
func ownHost() string {
	id := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+id>>16&63, id>>8&255, max(1, id&255))
}

// nextPort returns a port of ownHost that no other call returns.
func nextPort() int {
	return firstPort + int(ports.Add(1))
}

func (n *node) start(t *testing.T) {
	t.Helper()
	assert.NilError(t, n.Start())
	go func() { n.ended <- n.Wait() }()
}

// awaitEnd waits for the process's end and checks that it stopped gracefully.
func (n *node) awaitEnd(t *testing.T) {
	t.Helper()
	select {
	case err := <-n.ended:
		assert.NilError(t, err, n.log.String())
		assert.Check(t, bytes.Contains(n.log.Bytes(), []byte("node-stopped")), n.log.String())
	case <-time.After(2 * grace):
		_ = n.Process.Kill()
		t.Fatalf("figwickd still runs %v after SIGTERM", 2*grace)
	}
}

func (n *node) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	assert.NilError(t, n.Process.Signal(s))
}

// status returns the status of a caller's request.
func (n *node) status() (int, error) {
	response, err := http.Get(fmt.Sprintf("http://%s/", n.outbound))
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}

// TestRepeatedSignalsKeepServing guards against callers that lose their requests because
// a stopping process gets SIGTERM or SIGHUP again.
func TestRepeatedSignalsKeepServing(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	n := newNode(t, path)
	assert.NilError(t, os.WriteFile(path, n.settings, 0o600))
	n.start(t)
	for _, err := n.status(); err != nil; _, err = n.status() {
		time.Sleep(20 * time.Millisecond)
	}
	for range 10 {
		n.signal(t, syscall.SIGTERM)
		n.signal(t, syscall.SIGHUP)
		time.Sleep(100 * time.Millisecond)
		status, err := n.status()
		assert.NilError(t, err)
		// Without a store the node has no configuration.
		assert.Equal(t, status, http.StatusServiceUnavailable)
	}
	n.awaitEnd(t)
}

// TestSignalsBeforeSettings guards against a process that a signal kills before it has
// read its settings.
func TestSignalsBeforeSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	n := newNode(t, path)
	assert.NilError(t, syscall.Mkfifo(path, 0o600))
	n.start(t)
	pipe, err := os.OpenFile(path, os.O_WRONLY, 0)
	assert.NilError(t, err)
	for range 2 {
		n.signal(t, syscall.SIGHUP)
		n.signal(t, syscall.SIGTERM)
		time.Sleep(50 * time.Millisecond)
	}
	// The settings are read again later, from a regular file.
	assert.NilError(t, os.WriteFile(path+".next", n.settings, 0o600))
	assert.NilError(t, os.Rename(path+".next", path))
	_, err = pipe.Write(n.settings)
	assert.NilError(t, err)
	assert.NilError(t, pipe.Close())
	n.awaitEnd(t)
}
