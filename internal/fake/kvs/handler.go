package kvs

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/figwick/figwick/internal/state/store"
)

// Handler serves a Store over HTTP. Where the token is not empty, every call
// must bear it.
func Handler(s *Store, token string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/keys/{key}", s.serveGet)
	mux.HandleFunc("PUT /v1/keys/{key}", s.servePut)
	mux.HandleFunc("DELETE /v1/keys/{key}", s.serveDelete)
	mux.HandleFunc("GET /v1/list", s.serveList)
	mux.HandleFunc("POST /v1/leases", s.serveGrant)
	mux.HandleFunc("PUT /v1/leases/{id}", s.serveKeepAlive)
	mux.HandleFunc("DELETE /v1/leases/{id}", s.serveRevoke)
	mux.HandleFunc("GET /v1/counts", func(w http.ResponseWriter, _ *http.Request) { reply(w, s.Counts(), nil) })
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if token != "" && r.Header.Get("Authorization") != "Bearer "+token {
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	if !query.Has("after") {
		item, err := s.Get(r.Context(), r.PathValue("key"))
		reply(w, item, err)
		return
	}
	wait, err := time.ParseDuration(query.Get("wait"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	item, err := s.Watch(r.Context(), r.PathValue("key"), store.WatchOptions{
		After:   parse[store.Version](query.Get("after")),
		Timeout: wait,
	})
	reply(w, item, err)
}

func (s *Store) servePut(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, store.MaxValueBytes))
	if err != nil {
		reply(w, nil, store.ErrTooLarge)
		return
	}
	query := r.URL.Query()
	item, err := s.CAS(r.Context(), r.PathValue("key"), value,
		parse[store.Version](query.Get("version")), parse[store.Lease](query.Get("lease")))
	reply(w, item, err)
}

func (s *Store) serveDelete(w http.ResponseWriter, r *http.Request) {
	version := parse[store.Version](r.URL.Query().Get("version"))
	reply(w, struct{}{}, s.Delete(r.Context(), r.PathValue("key"), version))
}

func (s *Store) serveList(w http.ResponseWriter, r *http.Request) {
	items, err := s.List(r.Context(), r.URL.Query().Get("prefix"))
	reply(w, items, err)
}

func (s *Store) serveGrant(w http.ResponseWriter, r *http.Request) {
	ttl, err := time.ParseDuration(r.URL.Query().Get("ttl"))
	if err != nil || ttl <= 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	id, err := s.Grant(r.Context(), ttl)
	reply(w, id, err)
}

func (s *Store) serveKeepAlive(w http.ResponseWriter, r *http.Request) {
	reply(w, struct{}{}, s.KeepAlive(r.Context(), parse[store.Lease](r.PathValue("id"))))
}

func (s *Store) serveRevoke(w http.ResponseWriter, r *http.Request) {
	reply(w, struct{}{}, s.Revoke(r.Context(), parse[store.Lease](r.PathValue("id"))))
}

func parse[T ~uint64](text string) T {
	n, _ := strconv.ParseUint(text, 10, 64)
	return T(n)
}

func reply(w http.ResponseWriter, value any, err error) {
	switch {
	case err == nil:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(value)
	case errors.Is(err, store.ErrNotFound):
		w.WriteHeader(http.StatusNotFound)
	case errors.Is(err, store.ErrConflict):
		w.WriteHeader(http.StatusConflict)
	case errors.Is(err, store.ErrLeaseLost):
		w.WriteHeader(http.StatusGone)
	case errors.Is(err, store.ErrTooLarge):
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
