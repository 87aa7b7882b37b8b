package node

import (
	"context"
	"net/http"
	"time"

	"github.com/figwick/figwick/internal/base/eval"
	"github.com/figwick/figwick/internal/base/events"
	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/policy/admit"
	"github.com/figwick/figwick/internal/state/accept"
	"github.com/figwick/figwick/internal/state/config"
)

// statusTimeout bounds a status call, which queries every node of the fleet.
const statusTimeout = 10 * time.Second

// Configuration returns the operators' configuration file that is active on this
// node. The revision is zero if there is none yet. The error is that of decoding
// the file.
func (n *Node) Configuration() (ident.Revision, *config.File, error) {
	current := n.configs.current()
	file, err := current.File()
	return current.Revision(), file, err
}

// configure activates a configuration in all parts of the node.
func (n *Node) configure(table *config.Table) {
	neededKeys := n.front.Table().HasOrganisations()
	n.front.Configure(table)
	n.setCallerLimits(&table.Intake)
	n.side.Do(func(t eval.Context, d *admit.Controller) admit.Ops { return d.Configure(t, table) })
	n.proofs.noteAdopted(table.Revision)
	n.meter.Revision.Update(float64(table.Revision))
	n.meter.Organisations.Update(float64(len(table.Organisations())))
	n.meter.APIKeys.Update(float64(table.APIKeys()))
	n.fleet.setRevision(table.Revision)
	events.Emit(n.log, events.ConfigAdopted, "revision", uint64(table.Revision))
	if needsKeys := table.HasOrganisations(); needsKeys != neededKeys {
		event := events.KeysNeeded
		if !needsKeys {
			event = events.KeysUnneeded
		}
		events.Emit(n.log, event, "revision", uint64(table.Revision),
			"organisations", len(table.Organisations()), "keys", table.APIKeys())
	}
}

// Apply submits a configuration file to the store and returns the outcome, which is
// also logged. A file that is accepted is in force at this node when Apply returns.
// Apply blocks on the store until ctx ends.
func (n *Node) Apply(ctx context.Context, r accept.Request) (accept.Result, error) {
	acceptor := accept.Applier{Store: n.configs.store, Clock: n.config.Clock, Fleet: n.configs}
	result, err := acceptor.Apply(ctx, r)
	fields := []any{"state", string(result.State), "revision", uint64(result.Revision), "error", err}
	if result.State == accept.Accepted || result.State == accept.Superseded {
		events.Emit(n.log, events.ConfigAccepted, fields...)
		return result, err
	}
	events.Emit(n.log, events.ConfigRefused, fields...)
	return result, err
}

// ReadOnlyAdmin returns the handler of the operators' read-only calls: readiness,
// status, dump and metrics.
func (n *Node) ReadOnlyAdmin() http.Handler {
	mux := http.NewServeMux()
	show := func(path string, value func(ctx context.Context) any) {
		mux.HandleFunc("GET "+path, func(w http.ResponseWriter, r *http.Request) {
			ctx, done := context.WithTimeout(r.Context(), statusTimeout)
			defer done()
			writeJSON(w, http.StatusOK, value(ctx))
		})
	}
	show("/v1/ready", func(context.Context) any { return n.Ready() })
	show("/v1/status", func(ctx context.Context) any { return n.Status(ctx) })
	show("/v1/dump", func(context.Context) any { return n.Dump() })
	if n.config.Metrics != nil {
		mux.Handle("GET /v1/metrics", n.config.Metrics)
	}
	return mux
}
