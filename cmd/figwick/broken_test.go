package main

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/figwick/figwick/internal/fake/server"
)

// accepted is the reply to a file that was accepted.
const accepted = `{"state": "accepted", "revision": 7}`

// brokenNode returns the address of an administration API that sends the given bytes to each call.
func brokenNode(t *testing.T, sent string, reset bool) string {
	t.Helper()
	address, err := server.Bytes{Sent: sent, Reset: reset}.Start(t.Context())
	assert.NilError(t, err)
	return address
}

// run runs the command line and returns what it prints and its exit code.
func run(t *testing.T, stdin string, args ...string) (string, int) {
	t.Helper()
	var out strings.Builder
	c := command()
	c.Reader, c.Writer = strings.NewReader(stdin), &out
	err := c.Run(t.Context(), append([]string{"figwick"}, args...))
	return out.String(), exitCode(err)
}

// TestInvalidStatusIsNoReply guards against a reply without a meaning, such as one with status 000, that the
// command line takes for a success. A file that was sent may have been accepted.
func TestInvalidStatusIsNoReply(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		checkBroken(t, fmt.Sprintf("HTTP/1.1 %s X\r\nContent-Length: %d\r\n\r\n%s", status, len(accepted), accepted), codeFailed)
	}
}

// TestBrokenFieldIsNoReply guards against a reply that the command line takes for a success, although a line of its head
// is no field.
func TestBrokenFieldIsNoReply(t *testing.T) {
	for line, code := range map[string]int{
		"X Y: z": codeFailed, fmt.Sprintf("Content-Length : %d", len(accepted)): codeFailed, "X\x01: z": codeUnreachable,
	} {
		checkBroken(t, fmt.Sprintf("HTTP/1.1 200 OK\r\n%s\r\n\r\n%s", line, accepted), code)
	}
}

// checkBroken checks that no command takes what a node sends for a reply. An apply must end as unresolved, the other
// commands with the given exit code.
func checkBroken(t *testing.T, sent string, code int) {
	t.Helper()
	node := brokenNode(t, sent, false)
	for command, want := range map[string]int{
		"get": code, "dump": code, "drain": code, "status": code, "diff": code, "apply": codeUnresolved,
	} {
		args := []string{command, "--admin", node}
		if command == "diff" || command == "apply" {
			args = append(args, "-")
		}
		out, got := run(t, "version: 1\n", args...)
		assert.Check(t, got == want, "%q, %s: exit code %d", sent, command, got)
		assert.Check(t, out == "", "%q, %s: prints %q", sent, command, out)
	}
}

// TestLostReplyLeavesApplyOpen guards against an apply that seems not to have been made, although the node may
// have accepted the file before its answer was lost or cut.
func TestLostReplyLeavesApplyOpen(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	for _, sent := range []string{
		"", head, head + "Content-Length: 100\r\n\r\n{}", head + "\r\n" + `{"state": "acc`, "no answer",
	} {
		for _, reset := range []bool{false, true} {
			out, code := run(t, "version: 1\n", "apply", "--admin", brokenNode(t, sent, reset), "-")
			assert.Check(t, code == codeUnresolved, "%q, reset=%t: exit code %d", sent, reset, code)
			assert.Check(t, out == "", "%q, reset=%t: prints %q", sent, reset, out)
		}
	}
}

// TestResetReplyIsNoReply guards against a part of a reply that is printed as the whole, because the node has
// reset the connection while the file was being sent.
func TestResetReplyIsNoReply(t *testing.T) {
	node := brokenNode(t, "HTTP/1.1 200 OK\r\n\r\n[{\"service\": \"a\"", true)
	file := "version: 1\n" + strings.Repeat("# comment\n", 400_000)
	for round := range 150 {
		out, code := run(t, file, "diff", "--admin", node, "--output", "json", "-")
		assert.Assert(t, code != codeDone, "round %d: prints %q", round, out)
	}
}
