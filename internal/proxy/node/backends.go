package node

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/figwick/figwick/internal/base/eval"
	"github.com/figwick/figwick/internal/base/events"
	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/policy/admit"
	"github.com/figwick/figwick/internal/state/roster"
)

const (
	maxAnnouncementBytes = 16 << 10
	backendPattern       = "/v1/backend-servers/{id}"
)

type (
	// AnnounceReply is the response to an announcement.
	AnnounceReply struct {
		// RenewAfterMS is the time in milliseconds after which the backend server
		// should announce itself again.
		RenewAfterMS int64 `json:"renew-after-ms"`
		// Allowed reports whether the current configuration lets the server serve.
		Allowed bool `json:"allowed"`
		// Leaving is set while this node shuts down. The server should then announce
		// itself to another node, with a higher incarnation.
		Leaving bool `json:"leaving,omitempty"`
	}

	// announceProblem is the response to a rejected announcement or leave request.
	announceProblem struct {
		Title  string `json:"title"`
		Status int    `json:"status"`
		Field  string `json:"field,omitempty"`
		Detail string `json:"detail"`
	}
)

// renewAfter is the interval between announcements. Two renewals in a row may be
// lost before the lease expires.
const renewAfter = roster.Lease / 4

// backendHandler serves the API through which backend servers announce themselves
// and leave.
func (n *Node) backendHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT "+backendPattern, n.serveAnnounce)
	mux.HandleFunc("DELETE "+backendPattern, n.serveLeave)
	return mux
}

func (n *Node) serveAnnounce(w http.ResponseWriter, r *http.Request) {
	var a roster.Announcement
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&a); err != nil {
		refuseAnnouncement(w, http.StatusBadRequest, &roster.FieldError{Field: fieldOf(err), Text: err.Error()})
		return
	}
	if id := ident.Backend(r.PathValue("id")); a.ID == "" {
		a.ID = id
	} else if a.ID != id {
		refuseAnnouncement(w, http.StatusBadRequest, &roster.FieldError{Field: "id", Text: "differs from the path"})
		return
	}
	if _, err := a.Check(); err != nil {
		refuseAnnouncement(w, http.StatusBadRequest, err)
		return
	}
	if a.Zone == "" {
		a.Zone = n.config.Zone
	}
	phase := n.state.Load()
	if phase == phaseDraining {
		writeJSON(w, http.StatusServiceUnavailable, AnnounceReply{Leaving: true})
		return
	}
	allowed, err := n.announce(a)
	if err != nil {
		refuseAnnouncement(w, http.StatusConflict, err)
		return
	}
	writeJSON(w, http.StatusOK, AnnounceReply{
		RenewAfterMS: renewAfter.Milliseconds(),
		Allowed:      allowed,
		Leaving:      phase != phaseServing,
	})
}

// Announce registers, renews or drains a backend server. The caller has validated
// the announcement. Announce reports whether the current configuration lets the
// server serve. It returns roster.ErrStale for an announcement older than what is
// known. If Config.StoreDiscovery is set, it may wait for the store: for the departures
// that earlier runs of the node acknowledged, and to persist a departure.
func (n *Node) Announce(a roster.Announcement) (allowed bool, err error) {
	if a.Zone == "" {
		a.Zone = n.config.Zone
	}
	if n.config.StoreDiscovery {
		if err := n.registration.awaitRestore(); err != nil {
			return false, err
		}
	}
	allowed, err = n.announce(a)
	if a.State == roster.Draining && errors.Is(err, roster.ErrStale) {
		// The server has already left, which is what a draining announcement
		// asks for.
		err = nil
	}
	if a.State == roster.Draining && err == nil && n.config.StoreDiscovery {
		n.registration.persistDeparture(a.ID, a.Incarnation)
	}
	n.updateServing()
	return allowed, err
}

// Depart removes a backend server, whatever its incarnation. Late announcements
// of it are ignored. If Config.StoreDiscovery is set, the departure is persisted in the
// store and so also binds later runs of the node.
func (n *Node) Depart(id ident.Backend) {
	known := false
	n.side.Do(func(t eval.Context, d *admit.Controller) admit.Ops {
		var ops admit.Ops
		ops, known = d.Depart(t, id)
		return ops
	})
	if n.config.StoreDiscovery {
		// Incarnations are start times in milliseconds, so this covers every
		// incarnation that started before now.
		n.registration.persistDeparture(id, ident.Incarnation(n.config.Clock.Now().UnixMilli()))
	}
	n.updateServing()
	events.Emit(n.log, events.BackendGone, "backend-server", string(id), "known", known)
}

// onLeaving spreads and persists, as for an announcement, that a backend server has said in
// a response that it is leaving. It doesn't wait for that.
func (n *Node) onLeaving(id ident.Backend, incarnation ident.Incarnation) {
	events.Emit(n.log, events.BackendLeaving, "backend-server", string(id), "incarnation", uint64(incarnation))
	if !n.config.StoreDiscovery {
		return
	}
	go func() {
		n.registration.persistDeparture(id, incarnation)
		n.updateServing()
	}()
}

func (n *Node) announce(a roster.Announcement) (allowed bool, err error) {
	known := false
	n.side.Do(func(t eval.Context, d *admit.Controller) admit.Ops {
		var ops admit.Ops
		known = d.IsAnnounced(a.ID, a.Incarnation)
		ops, err = d.Announce(t, a)
		allowed = d.Allowed(a.ID)
		return ops
	})
	if err == nil && !known {
		events.Emit(n.log, events.BackendAnnounced, "service", string(a.Service),
			"backend-server", string(a.ID), "address", a.Address, "state", string(a.State),
			"incarnation", uint64(a.Incarnation), "allowed", allowed)
	}
	return allowed, err
}

func (n *Node) serveLeave(w http.ResponseWriter, r *http.Request) {
	incarnation, err := strconv.ParseUint(r.URL.Query().Get("incarnation"), 10, 64)
	if err != nil {
		refuseAnnouncement(w, http.StatusBadRequest, &roster.FieldError{Field: "incarnation", Text: "must be a number"})
		return
	}
	known := false
	n.side.Do(func(t eval.Context, d *admit.Controller) admit.Ops {
		var ops admit.Ops
		ops, known = d.Leave(t, ident.Backend(r.PathValue("id")), ident.Incarnation(incarnation))
		return ops
	})
	if !known {
		refuseAnnouncement(w, http.StatusNotFound, errors.New("not announced here"))
		return
	}
	events.Emit(n.log, events.BackendGone, "backend-server", r.PathValue("id"))
	w.WriteHeader(http.StatusNoContent)
}

// fieldOf returns the field that a JSON decoding error is about, or "body" if the
// error names none.
func fieldOf(err error) string {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) && typeErr.Field != "" {
		return typeErr.Field
	}
	return "body"
}

func refuseAnnouncement(w http.ResponseWriter, status int, err error) {
	problem := announceProblem{Title: http.StatusText(status), Status: status, Detail: err.Error()}
	var field *roster.FieldError
	if errors.As(err, &field) {
		problem.Field = field.Field
		problem.Detail = field.Text
	}
	writeJSON(w, status, problem)
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
