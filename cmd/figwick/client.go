package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/figwick/figwick/internal/base/heads"
	"github.com/figwick/figwick/internal/base/sock"
	"github.com/figwick/figwick/internal/proxy/admin"
	"github.com/figwick/figwick/internal/proxy/node"
	"github.com/figwick/figwick/internal/state/accept"
	"github.com/figwick/figwick/internal/state/config"
)

const (
	clientTimeout = 30 * time.Second
	watchEvery    = 2 * time.Second
	mostAnswer    = 64 << 20
)

// httpClient sends the calls.
var httpClient = newHTTPClient()

// client calls a node's administration API.
type client struct {
	address string
	token   string
	output  string
}

// newHTTPClient returns a client whose connections report resets. A reply without a length ends with its connection, and
// a reset must not be taken for that.
func newHTTPClient() *http.Client {
	dialer := &net.Dialer{}
	return &http.Client{Transport: &http.Transport{
		Proxy: http.ProxyFromEnvironment,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return sock.ReportResets(c), nil
		},
	}}
}

func (c *client) flags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		text("admin", &c.address, "127.0.0.1:7403", "a node's admin-listen address"),
		text("admin-token", &c.token, "", "the bearer token of the administration API"),
		&cli.StringFlag{
			Name: "output", Aliases: []string{"o"}, Usage: "text or json", Value: "text",
			Destination: &c.output,
			Validator: func(value string) error {
				if value != "text" && value != "json" {
					return coded(codeUsage, errors.Newf("--output %q: must be text or json", value))
				}
				return nil
			},
		},
	}, more...)
}

func (c *client) call(ctx context.Context, method, path string, body []byte) (int, []byte, error) {
	ctx, done := context.WithTimeout(ctx, clientTimeout)
	defer done()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, coded(codeUsage, errors.Wrapf(err, "--admin %q", c.address))
	}
	if c.token != "" {
		request.Header.Set("Authorization", "Bearer "+c.token)
	}
	response, err := httpClient.Do(request)
	if err != nil {
		return 0, nil, coded(codeUnreachable, err)
	}
	defer response.Body.Close()
	if err := heads.Check(response); err != nil {
		return 0, nil, coded(codeFailed, errors.Wrap(err, "the node's answer"))
	}
	answer, err := io.ReadAll(io.LimitReader(response.Body, mostAnswer))
	if err != nil {
		return 0, nil, coded(codeUnreachable, err)
	}
	if response.StatusCode == http.StatusUnauthorized {
		return 0, nil, coded(codeUsage, errors.New("--admin-token: the node wants another"))
	}
	return response.StatusCode, answer, nil
}

// show calls and prints the answer as it is.
func (c *client) show(ctx context.Context, out io.Writer, method, path string) error {
	status, answer, err := c.call(ctx, method, path, nil)
	if err != nil {
		return err
	}
	if _, err := out.Write(answer); err != nil {
		return err
	}
	if status >= http.StatusBadRequest {
		return errors.Newf("the node answered with status %d", status)
	}
	return nil
}

func readFile(c *cli.Command) ([]byte, error) {
	path := c.Args().First()
	if path == "" || c.Args().Len() > 1 {
		return nil, coded(codeUsage, errors.New("name one file, or - for standard input"))
	}
	if path == "-" {
		return io.ReadAll(c.Root().Reader)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, coded(codeUsage, err)
	}
	return text, nil
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name: "check", Usage: "check a file without a node", ArgsUsage: "FILE",
		Action: func(_ context.Context, c *cli.Command) error {
			text, err := readFile(c)
			if err != nil {
				return err
			}
			if _, err := config.Parse(text); err != nil {
				return coded(codeInvalid, errors.Newf("%s is invalid:\n%v", c.Args().First(), err))
			}
			_, err = fmt.Fprintln(c.Root().Writer, "the file is valid")
			return err
		},
	}
}

func applyCommand() *cli.Command {
	var c client
	var by string
	var expect uint64
	return &cli.Command{
		Name: "apply", Usage: "have a whole file accepted", ArgsUsage: "FILE",
		Description: "Prints whether the file was accepted, and as which revision. Where another operator's file " +
			"was accepted instead, it names that one.",
		Flags: c.flags(
			text("by", &by, os.Getenv("USER"), "who applies, for others to see"),
			&cli.Uint64Flag{Name: "expect", Usage: "apply only over this revision", Destination: &expect},
		),
		Action: func(ctx context.Context, k *cli.Command) error {
			file, err := readFile(k)
			if err != nil {
				return err
			}
			path := fmt.Sprintf("/v1/config?by=%s&expect=%d", strings.ReplaceAll(by, " ", "-"), expect)
			status, answer, err := c.call(ctx, http.MethodPost, path, file)
			if err == nil && !json.Valid(answer) {
				err = errors.Newf("the node answered with status %d", status)
			}
			if err != nil {
				return asUnresolved(err)
			}
			return c.printApplied(k.Root().Writer, status, answer)
		},
	}
}

// asUnresolved returns the error of an apply without an answer, upon which the file may be in force. It is not if
// the node was not reached or did not permit the call.
func asUnresolved(err error) error {
	var call *codedError
	var network *net.OpError
	if errors.As(err, &call) && call.code == codeUsage || errors.As(err, &network) && network.Op == "dial" {
		return err
	}
	return coded(codeUnresolved, errors.Wrap(err, "not known whether it was accepted"))
}

func (c *client) printApplied(out io.Writer, status int, answer []byte) error {
	if c.output == "json" {
		_, _ = out.Write(answer)
	}
	var applied admin.ApplyReply
	if err := json.Unmarshal(answer, &applied); err != nil {
		return errors.Newf("the node answered with status %d", status)
	}
	switch {
	case status == http.StatusUnprocessableEntity:
		return coded(codeInvalid, errors.Newf("%s:\n%v", applied.Detail, applied.Faults))
	case applied.State == accept.Accepted:
		return c.say(out, "accepted as revision %d\n", applied.Revision)
	case applied.State == accept.Superseded:
		return c.say(out, "accepted as revision %d, superseded by revision %d of %s\n",
			applied.Revision, applied.Current.Revision, applied.Current.By)
	case applied.State == accept.Conflicting && status == http.StatusConflict:
		return coded(codeConflict, errors.Newf("not accepted: revision %d of %s stands",
			applied.Current.Revision, applied.Current.By))
	case applied.State == accept.Unresolved:
		return coded(codeUnresolved, errors.Newf("not known whether it was accepted: %s", applied.Detail))
	default:
		return errors.Newf("not accepted: %s", applied.Detail)
	}
}

func (c *client) say(out io.Writer, format string, args ...any) error {
	if c.output == "json" {
		return nil
	}
	_, err := fmt.Fprintf(out, format, args...)
	return err
}

func getCommand() *cli.Command {
	var c client
	return &cli.Command{
		Name: "get", Usage: "print the file in force", Flags: c.flags(),
		Action: func(ctx context.Context, k *cli.Command) error {
			path := "/v1/config"
			if c.output == "json" {
				path += "?format=json"
			}
			return c.show(ctx, k.Root().Writer, http.MethodGet, path)
		},
	}
}

func diffCommand() *cli.Command {
	var c client
	return &cli.Command{
		Name: "diff", Usage: "tell which services a file would change", ArgsUsage: "FILE", Flags: c.flags(),
		Action: func(ctx context.Context, k *cli.Command) error {
			file, err := readFile(k)
			if err != nil {
				return err
			}
			status, answer, err := c.call(ctx, http.MethodPost, "/v1/config/diff", file)
			if err != nil {
				return err
			}
			if status != http.StatusOK {
				return c.printApplied(k.Root().Writer, status, answer)
			}
			return c.printDiff(k.Root().Writer, answer)
		},
	}
}

func (c *client) printDiff(out io.Writer, answer []byte) error {
	if c.output == "json" {
		_, err := out.Write(answer)
		return err
	}
	var differences []admin.Difference
	if err := json.Unmarshal(answer, &differences); err != nil {
		return errors.Wrap(err, "answer")
	}
	for _, d := range differences {
		name := string(d.Service)
		if d.Organisation != "" {
			name = "organisation " + string(d.Organisation)
		}
		if _, err := fmt.Fprintf(out, "%s %s\n", d.Change, name); err != nil {
			return err
		}
	}
	return nil
}

func statusCommand() *cli.Command {
	var c client
	var watch bool
	return &cli.Command{
		Name: "status", Usage: "show the fleet as one node sees it",
		Flags: c.flags(&cli.BoolFlag{Name: "watch", Usage: "show it again and again", Destination: &watch}),
		Action: func(ctx context.Context, k *cli.Command) error {
			for {
				if err := c.status(ctx, k.Root().Writer); err != nil || !watch {
					return err
				}
				select {
				case <-time.After(watchEvery):
				case <-ctx.Done():
					return nil
				}
			}
		},
	}
}

func (c *client) status(ctx context.Context, out io.Writer) error {
	status, answer, err := c.call(ctx, http.MethodGet, "/v1/status", nil)
	if err != nil {
		return err
	}
	if c.output == "json" || status != http.StatusOK {
		_, err := out.Write(answer)
		return err
	}
	var s node.Status
	if err := json.Unmarshal(answer, &s); err != nil {
		return errors.Wrap(err, "answer")
	}
	return printStatus(out, &s)
}

func printStatus(out io.Writer, s *node.Status) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "revision %d by %s, %s, store %s, %d of %d nodes lag\n\n",
		s.Accepted.Revision, s.Accepted.By, s.Ready.State, s.Ready.Store, len(s.Lagging), len(s.Nodes))
	fmt.Fprintln(w, "NODE\tZONE\tSTATE\tREVISION\tPEER ADDRESS\t")
	for _, n := range s.Nodes {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\n", n.ID, n.Zone, n.State, n.Revision, n.Address, n.Error)
	}
	fmt.Fprintln(w, "\nSERVICE\tFLOOR\tIN SERVICE\tEJECTED\tLEAVING\tSLOTS\tSIDECARS")
	for _, v := range s.Services {
		if !v.Known {
			fmt.Fprintf(w, "%s\t%d\tunknown\t\t\t\t\n", v.Name, v.Floor)
			continue
		}
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\n", v.Name, v.Floor, v.InService, v.Ejected, v.Leaving, v.Slots, v.Sidecars)
	}
	return w.Flush()
}

func dumpCommand() *cli.Command {
	var c client
	return &cli.Command{
		Name: "dump", Usage: "print the whole state of one node", Flags: c.flags(),
		Action: func(ctx context.Context, k *cli.Command) error {
			return c.show(ctx, k.Root().Writer, http.MethodGet, "/v1/dump")
		},
	}
}

func drainCommand() *cli.Command {
	var c client
	return &cli.Command{
		Name: "drain", Usage: "stop one node gracefully", Flags: c.flags(),
		Action: func(ctx context.Context, k *cli.Command) error {
			return c.show(ctx, k.Root().Writer, http.MethodPost, "/v1/drain")
		},
	}
}
