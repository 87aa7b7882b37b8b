package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"os/signal"
	"regexp"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/urfave/cli/v3"

	"github.com/figwick/figwick/internal/base/eval"
	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/base/meter"
	"github.com/figwick/figwick/internal/base/proc"
	"github.com/figwick/figwick/internal/proxy/admin"
	"github.com/figwick/figwick/internal/proxy/node"
	"github.com/figwick/figwick/internal/state/store"
)

const (
	minDrain = time.Second
	maxDrain = time.Hour
	// minRevoke leaves time for several proofs that a configuration is the newest.
	minRevoke = 2 * time.Second
	maxRevoke = time.Hour
)

var (
	idPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)
	levels    = []string{"trace", "debug", "info", "warn", "error"}
)

// settings is everything a node is told by flags and environment variables.
type settings struct {
	id             string
	zone           string
	callersListen  string
	peersListen    string
	peersAddress   string
	backendsListen string
	adminListen    string
	storeURL       string
	storeToken     string
	join           []string
	fleetToken     string
	adminToken     string
	drainTimeout   time.Duration
	revokeWithin   time.Duration
	logLevel       string
	logJSON        bool
}

func nodeCommand() *cli.Command {
	var s settings
	return &cli.Command{
		Name:  "node",
		Usage: "run one node of the fleet",
		Description: "Takes callers' requests, serves the backend servers that announce themselves to it, and " +
			"acts with the other nodes. SIGTERM or SIGINT stops it gracefully, a second SIGINT at once; " +
			"further SIGTERMs change nothing.",
		Flags: s.flags(),
		Action: func(ctx context.Context, _ *cli.Command) error {
			return s.run(ctx)
		},
	}
}

func (s *settings) flags() []cli.Flag {
	return []cli.Flag{
		text("id", &s.id, "", "the node's name, the same over restarts"),
		text("zone", &s.zone, "", "the availability zone it runs in"),
		text("callers-listen", &s.callersListen, "127.0.0.1:7400", "where callers' HTTP requests come in"),
		text("peers-listen", &s.peersListen, "127.0.0.1:7401", "where other nodes connect"),
		text("peers-address", &s.peersAddress, "", "the IP address and port by which other nodes reach peers-listen; the same where empty"),
		text("backends-listen", &s.backendsListen, "127.0.0.1:7402", "where backend servers announce themselves"),
		text("admin-listen", &s.adminListen, "127.0.0.1:7403", "where operators' calls come in; loopback only without admin-token"),
		text("store-url", &s.storeURL, "", "the platform's key-value service"),
		text("store-token", &s.storeToken, "", "bearer token for the store"),
		&cli.StringSliceFlag{
			Name: "join", Usage: "peers-address of another node; may be repeated",
			Sources: cli.EnvVars("FIGWICK_JOIN"), Destination: &s.join,
		},
		text("fleet-token", &s.fleetToken, "", "secret that the nodes of one fleet share"),
		text("admin-token", &s.adminToken, "", "bearer token that operators must show"),
		&cli.DurationFlag{
			Name: "drain-timeout", Usage: "bound of a graceful stop", Value: 10 * time.Minute,
			Sources: cli.EnvVars("FIGWICK_DRAIN_TIMEOUT"), Destination: &s.drainTimeout,
		},
		&cli.DurationFlag{
			Name:    "revoke-within",
			Usage:   "time after which a removed API key no longer has an effect at any node; 0 sets no bound",
			Sources: cli.EnvVars("FIGWICK_REVOKE_WITHIN"), Destination: &s.revokeWithin,
		},
		text("log-level", &s.logLevel, "info", "one of "+strings.Join(levels, ", ")),
		&cli.BoolFlag{
			Name: "log-json", Usage: "log in JSON",
			Sources: cli.EnvVars("FIGWICK_LOG_JSON"), Destination: &s.logJSON,
		},
	}
}

// text is a flag with its environment variable.
func text(name string, destination *string, value, usage string) *cli.StringFlag {
	variable := "FIGWICK_" + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
	return &cli.StringFlag{
		Name: name, Usage: usage, Value: value,
		Sources: cli.EnvVars(variable), Destination: destination,
	}
}

// check returns every fault of the settings.
func (s *settings) check() error {
	var faults []string
	fault := func(flag, value, allowed string) {
		faults = append(faults, fmt.Sprintf("--%s %q: %s", flag, value, allowed))
	}
	if !idPattern.MatchString(s.id) {
		fault("id", s.id, "must be 1 to 63 of a-z, 0-9, dot and hyphen")
	}
	if !idPattern.MatchString(s.zone) {
		fault("zone", s.zone, "must be 1 to 63 of a-z, 0-9, dot and hyphen")
	}
	for flag, value := range map[string]string{
		"callers-listen": s.callersListen, "peers-listen": s.peersListen,
		"backends-listen": s.backendsListen, "admin-listen": s.adminListen,
	} {
		if _, err := netip.ParseAddrPort(value); err != nil {
			fault(flag, value, "must be an IP address and port, such as 10.0.0.4:7400")
		}
	}
	s.checkPeers(fault)
	s.checkRest(fault)
	if len(faults) > 0 {
		return coded(codeUsage, errors.Newf("settings:\n  %s", strings.Join(faults, "\n  ")))
	}
	return nil
}

func (s *settings) checkRest(fault func(flag, value, allowed string)) {
	if u, err := url.Parse(s.storeURL); err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		fault("store-url", s.storeURL, "must be an http or https URL")
	}
	if admin, err := netip.ParseAddrPort(s.adminListen); err == nil && s.adminToken == "" && !admin.Addr().IsLoopback() {
		fault("admin-listen", s.adminListen, "must be a loopback address while admin-token is empty")
	}
	if s.drainTimeout < minDrain || s.drainTimeout > maxDrain {
		fault("drain-timeout", s.drainTimeout.String(), fmt.Sprintf("must be %v to %v", minDrain, maxDrain))
	}
	if s.revokeWithin != 0 && (s.revokeWithin < minRevoke || s.revokeWithin > maxRevoke) {
		fault("revoke-within", s.revokeWithin.String(), fmt.Sprintf("must be 0 or %v to %v", minRevoke, maxRevoke))
	}
	if hclog.LevelFromString(s.logLevel) == hclog.NoLevel {
		fault("log-level", s.logLevel, "must be one of "+strings.Join(levels, ", "))
	}
}

func (s *settings) checkPeers(fault func(flag, value, allowed string)) {
	if s.peersAddress == "" {
		s.peersAddress = s.peersListen
	}
	address, err := netip.ParseAddrPort(s.peersAddress)
	if err != nil || address.Addr().IsUnspecified() || address.Port() == 0 {
		fault("peers-address", s.peersAddress, "must be an IP address and port that other nodes can reach")
	}
	for _, value := range s.join {
		if _, err := netip.ParseAddrPort(value); err != nil {
			fault("join", value, "must be an IP address and port")
		}
	}
}

func (s *settings) run(ctx context.Context) error {
	if err := s.check(); err != nil {
		return err
	}
	log := hclog.New(&hclog.LoggerOptions{
		Name: "figwick", Level: hclog.LevelFromString(s.logLevel), JSONFormat: s.logJSON, Output: os.Stderr,
	})
	listeners, err := s.listen()
	if err != nil {
		return err
	}
	scope := meter.NewScope()
	defer scope.Close()
	n, err := node.New(node.Config{
		ID:           ident.Node(s.id),
		Zone:         ident.Zone(s.zone),
		Address:      s.peersAddress,
		Listeners:    listeners,
		Store:        store.NewHTTP(store.Config{URL: strings.TrimSuffix(s.storeURL, "/"), Token: s.storeToken}),
		Join:         s.join,
		FleetToken:   s.fleetToken,
		DrainTimeout: s.drainTimeout,
		RevokeWithin: s.revokeWithin,
		Clock:        clockwork.NewRealClock(),
		Random:       eval.GlobalRandom{},
		Log:          log,
		Scope:        scope,
		Metrics:      scope.Handler,
		Version:      version,
		Admin: func(n *node.Node) http.Handler {
			return admin.Handler(n, s.adminToken, scope.Handler)
		},
	})
	if err != nil {
		return err
	}
	ctx, stop := proc.StopSignals(ctx, n.Abort)
	defer stop()
	// A log whose reader has ended must not end the process.
	signal.Ignore(syscall.SIGPIPE)
	return n.Run(ctx)
}

func (s *settings) listen() (node.Listeners, error) {
	var l node.Listeners
	for _, socket := range []struct {
		flag     string
		address  string
		listener *net.Listener
	}{
		{"callers-listen", s.callersListen, &l.Callers},
		{"peers-listen", s.peersListen, &l.Peers},
		{"backends-listen", s.backendsListen, &l.Backends},
		{"admin-listen", s.adminListen, &l.Admin},
	} {
		listener, err := net.Listen("tcp", socket.address)
		if err != nil {
			return l, coded(codeUsage, errors.Newf("--%s %s: %v", socket.flag, socket.address, err))
		}
		*socket.listener = listener
	}
	return l, nil
}
