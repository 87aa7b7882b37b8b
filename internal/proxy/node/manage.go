package node

import (
	"context"
	"net/http"
	"time"

	"github.com/figwick/figwick/internal/base/events"
	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/state/accept"
	"github.com/figwick/figwick/internal/state/config"
)

// statusLimit bounds the asking of the fleet.
const statusLimit = 10 * time.Second

// Configuration returns the operators' file in force; its revision is zero where
// there is none.
func (n *Node) Configuration() (ident.Revision, *config.File, error) {
	current := n.configs.current()
	file, err := current.File()
	return current.Revision(), file, err
}

// Apply asks for a file to be accepted, and tells what became of it.
func (n *Node) Apply(ctx context.Context, r accept.Request) (accept.Result, error) {
	acceptor := accept.Applier{Store: n.configs.store, Clock: n.config.Clock}
	result, err := acceptor.Apply(ctx, r)
	fields := []any{"state", string(result.State), "revision", uint64(result.Revision), "error", err}
	if result.State == accept.Accepted || result.State == accept.Superseded {
		events.Emit(n.log, events.ConfigAccepted, fields...)
		n.configs.fetchApplied(result.Revision)
		return result, err
	}
	events.Emit(n.log, events.ConfigRefused, fields...)
	return result, err
}

// ReadOnlyAdmin serves what operators may see, and changes nothing.
func (n *Node) ReadOnlyAdmin() http.Handler {
	mux := http.NewServeMux()
	show := func(path string, value func(ctx context.Context) any) {
		mux.HandleFunc("GET "+path, func(w http.ResponseWriter, r *http.Request) {
			ctx, done := context.WithTimeout(r.Context(), statusLimit)
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
