package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/figwick/figwick/examples"
	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/fake/kvs"
	"github.com/figwick/figwick/internal/fake/server"
)

const (
	// asProgram makes the test binary run as figwick itself.
	asProgram = "FIGWICK_TEST_AS_PROGRAM"
	// firstPort is below the port of the first address that nextAddress returns.
	firstPort = 7000
)

// addresses counts the addresses that nextAddress has returned.
var addresses atomic.Int32

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// process is one figwick node as a process of its own.
type process struct {
	*exec.Cmd
	log                             bytes.Buffer
	callers, peers, backends, admin string
}

// nextAddress returns a loopback address that no other call returns. A port that was found free on
// 127.0.0.1 may be taken by a connection of another process before it is bound; nobody connects
// from the host of this one.
func nextAddress() string {
	id := os.Getpid()
	host := fmt.Sprintf("127.%d.%d.%d", 64+id>>16&63, id>>8&255, max(1, id&255))
	return net.JoinHostPort(host, strconv.Itoa(firstPort+int(addresses.Add(1))))
}

func figwick(t *testing.T, args ...string) *exec.Cmd {
	t.Helper()
	c := exec.CommandContext(t.Context(), os.Args[0], args...)
	c.Env = append(os.Environ(), asProgram+"=1")
	return c
}

func (p *process) start(t *testing.T, at int, store string, join []string) {
	t.Helper()
	args := []string{
		"node", "--id", fmt.Sprintf("node-%d", at), "--zone", fmt.Sprintf("zone-%d", at),
		"--callers-listen", p.callers, "--peers-listen", p.peers, "--backends-listen", p.backends,
		"--admin-listen", p.admin, "--store-url", store,
	}
	for _, address := range join {
		args = append(args, "--join", address)
	}
	p.Cmd = figwick(t, args...)
	p.Stderr = &p.log
	assert.NilError(t, p.Start())
}

func newProcess(t *testing.T) *process {
	t.Helper()
	return &process{
		callers: nextAddress(), peers: nextAddress(), backends: nextAddress(), admin: nextAddress(),
	}
}

// get asks for a page and returns its status, 0 where there is no answer.
func get(address, method, body string) (int, string) {
	r, err := http.NewRequest(method, "http://"+address+"/orders", strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	r.Host = "ledger.wickhollow.example"
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(text)
}

// eventually tries until a condition holds; the test's own deadline ends it.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for !condition() {
		select {
		case <-time.After(20 * time.Millisecond):
		case <-t.Context().Done():
			t.Fatalf("never: %s", what)
		}
	}
}

// TestProcesses runs three nodes as processes: a file applied by the command
// line is in force at all, an order goes in at any node, one node is killed and
// replaced while the store is down, and a planned stop ends with exit code 0.
func TestProcesses(t *testing.T) {
	platform := kvs.New(clockwork.NewRealClock())
	store := httptest.NewServer(kvs.Handler(platform, ""))
	defer store.Close()
	nodes := []*process{newProcess(t), newProcess(t), newProcess(t)}
	for i, p := range nodes {
		p.start(t, i, store.URL, []string{nodes[0].peers})
	}
	defer func() {
		for _, p := range nodes {
			_ = p.Process.Kill()
			_ = p.Wait()
			if t.Failed() {
				t.Log(p.log.String())
			}
		}
	}()
	apply := figwick(t, "apply", "--admin", nodes[1].admin, "--by", "anne", "-")
	apply.Stdin = bytes.NewReader(examples.Wickhollow)
	eventually(t, "the node listens", func() bool {
		conn, err := net.Dial("tcp", nodes[1].admin)
		if err == nil {
			_ = conn.Close()
		}
		return err == nil
	})
	out, err := apply.CombinedOutput()
	assert.NilError(t, err, string(out))
	assert.Equal(t, string(out), "accepted as revision 1\n")

	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for i := range 7 {
		var announce []string
		for j := range nodes {
			announce = append(announce, nodes[(i+j)%3].backends)
		}
		_, err := server.Start(ctx, server.Config{
			ID: ident.Backend(fmt.Sprintf("ledger-%d", i)), Service: "ledger", Slots: 3,
			Nodes: announce, Clock: clockwork.NewRealClock(),
		})
		assert.NilError(t, err)
	}
	serves := func(p *process) func() bool {
		return func() bool {
			status, _ := get(p.callers, http.MethodPost, "two boxes")
			return status == http.StatusOK
		}
	}
	for _, p := range nodes {
		eventually(t, "an order goes in", serves(p))
	}

	platform.Inject(kvs.Faults{Down: true})
	assert.NilError(t, nodes[2].Process.Kill())
	_ = nodes[2].Wait()
	eventually(t, "the others go on", serves(nodes[0]))
	nodes[2].start(t, 2, store.URL, []string{nodes[0].peers})
	eventually(t, "the replaced node serves without the store", serves(nodes[2]))

	status := figwick(t, "status", "--admin", nodes[2].admin)
	out, err = status.CombinedOutput()
	assert.NilError(t, err, string(out))
	assert.Check(t, strings.Contains(string(out), "revision 1 by anne"), string(out))

	assert.NilError(t, nodes[1].Process.Signal(syscall.SIGTERM))
	assert.NilError(t, nodes[1].Wait(), nodes[1].log.String())
	assert.Check(t, strings.Contains(nodes[1].log.String(), "node-stopped"), nodes[1].log.String())
	eventually(t, "the rest serve", serves(nodes[0]))
}

// TestExitCodes holds the command line to its documented exit codes.
func TestExitCodes(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer taken.Close()
	for _, c := range []struct {
		args  []string
		stdin string
		code  int
	}{
		{[]string{"version"}, "", codeDone},
		{[]string{"check", "-"}, string(examples.Cooperative), codeDone},
		{[]string{"check", "-"}, "version: 9\n", codeInvalid},
		{[]string{"check"}, "", codeUsage},
		{[]string{"node"}, "", codeUsage},
		{[]string{"node", "--id", "n", "--zone", "z", "--store-url", "http://127.0.0.1:1", "--callers-listen", "127.0.0.1:80000"}, "", codeUsage},
		{[]string{"node", "--id", "n", "--zone", "z", "--store-url", "http://127.0.0.1:1", "--callers-listen", taken.Addr().String()}, "", codeUsage},
		{[]string{"status", "--admin", "127.0.0.1:1"}, "", codeUnreachable},
		{[]string{"apply", "--admin", "127.0.0.1:1", "-"}, "version: 1\n", codeUnreachable},
	} {
		p := figwick(t, c.args...)
		p.Stdin = strings.NewReader(c.stdin)
		out, _ := p.CombinedOutput()
		assert.Equal(t, p.ProcessState.ExitCode(), c.code, "%v: %s", c.args, out)
	}
}

// TestClosedLogKeepsServing guards against a node that ends because whatever reads its log has
// ended.
func TestClosedLogKeepsServing(t *testing.T) {
	p := newProcess(t)
	p.Cmd = figwick(t, "node", "--id", "n", "--zone", "z", "--callers-listen", p.callers, "--peers-listen", p.peers,
		"--backends-listen", p.backends, "--admin-listen", p.admin, "--store-url", "http://127.0.0.1:1")
	reader, writer, err := os.Pipe()
	assert.NilError(t, err)
	p.Stderr = writer
	assert.NilError(t, reader.Close())
	assert.NilError(t, p.Start())
	assert.NilError(t, writer.Close())
	ended := make(chan error, 1)
	go func() { ended <- p.Wait() }()
	answered := false
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end) && !answered; time.Sleep(20 * time.Millisecond) {
		status, _ := get(p.callers, http.MethodGet, "")
		answered = status != 0
	}
	assert.Check(t, answered, "the node does not serve")
	_ = p.Process.Signal(syscall.SIGTERM)
	assert.NilError(t, <-ended)
}
