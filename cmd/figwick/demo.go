package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v3"

	"github.com/figwick/figwick/examples"
	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/base/proc"
	"github.com/figwick/figwick/internal/fake/fleet"
	"github.com/figwick/figwick/internal/fake/server"
	"github.com/figwick/figwick/internal/policy/limit"
)

const (
	demoNodes = 3
	// grayAfter is when one backend server of the demo turns gray.
	grayAfter = 10 * time.Second
	demoReady = 30 * time.Second
)

// demoServices are the services of the sample file and their backend servers.
var demoServices = []struct {
	name  ident.Service
	count int
	work  time.Duration
}{
	{"shopfront", 15, 5 * time.Millisecond},
	{"ledger", 9, 15 * time.Millisecond},
}

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run a whole fleet with its stand-ins in one process, on loopback",
		Description: "Three nodes in three availability zones, a store, and the backend servers of " +
			"examples/wickhollow.yaml, one of which turns gray. Ctrl-C stops it.",
		Action: func(ctx context.Context, c *cli.Command) error {
			ctx, stop := proc.StopSignals(ctx, func() { os.Exit(codeFailed) })
			defer stop()
			return demo(ctx, c.Root().Writer)
		},
	}
}

func demo(ctx context.Context, out io.Writer) error {
	log := hclog.New(&hclog.LoggerOptions{Name: "figwick", Level: hclog.Warn, Output: os.Stderr})
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	f, err := fleet.Start(running, fleet.Config{Nodes: demoNodes, Log: log})
	if err != nil {
		return err
	}
	defer f.Stop()
	starting, done := context.WithTimeout(ctx, demoReady)
	defer done()
	if err := f.Apply(starting, examples.Wickhollow); err != nil {
		return err
	}
	servers, err := demoServers(running, f)
	if err != nil {
		return err
	}
	for _, s := range demoServices {
		if err := f.InService(starting, s.name, s.count); err != nil {
			return err
		}
	}
	printDemo(out, f)
	// New homes share out no limits for one lease.
	select {
	case <-time.After(limit.Lease):
	case <-ctx.Done():
	}
	load := startLoad(running, f)
	select {
	case <-time.After(grayAfter):
		servers[0].Fall(server.Sickness{Slower: 30, Failing: 0.3})
		fmt.Fprintf(out, "\nshopfront-1 has turned gray: slow, and one answer in three fails. Watch it go: %s status --watch\n", os.Args[0])
	case <-ctx.Done():
	}
	<-ctx.Done()
	fmt.Fprintln(out, "\nstopping")
	load.stop(out)
	return nil
}

func demoServers(ctx context.Context, f *fleet.Fleet) ([]*server.Server, error) {
	var servers []*server.Server
	for _, s := range demoServices {
		for i := range s.count {
			b, err := f.Serve(ctx, i%demoNodes, server.Config{
				ID:      ident.Backend(fmt.Sprintf("%s-%d", s.name, i+1)),
				Service: s.name,
				Slots:   3,
				Work:    s.work,
			})
			if err != nil {
				return nil, err
			}
			servers = append(servers, b)
		}
	}
	return servers, nil
}

func printDemo(out io.Writer, f *fleet.Fleet) {
	caller, admin := f.Nodes[0].Callers, f.Nodes[0].Admin
	fmt.Fprintf(out, `A fleet of %d nodes runs with %d backend servers. Try, in another terminal:

  curl -i -H 'Host: shop.wickhollow.example' http://%s/candles
  curl -i -H 'Host: ledger.wickhollow.example' -H 'Idempotency-Key: order-1' -d 'two boxes' http://%s/orders
  %[5]s status --admin %[6]s
  %[5]s dump --admin %[6]s
  %[5]s get --admin %[6]s > file.yaml
  %[5]s apply --admin %[6]s file.yaml

Ctrl-C stops it.
`, len(f.Nodes), 24, caller, caller, os.Args[0], admin)
}
