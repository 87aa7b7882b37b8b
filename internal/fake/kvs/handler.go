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
		mux.ServeHTTP(&eraWriter{ResponseWriter: w, store: s}, r)
	})
}

// eraWriter adds the Store's era to the header of a reply.
type eraWriter struct {
	http.ResponseWriter
	store *Store
}

// WriteHeader writes the header with the era.
func (e *eraWriter) WriteHeader(status int) {
	e.Header().Set(store.EraHeader, strconv.FormatUint(uint64(e.store.Era()), 10))
	e.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body.
func (e *eraWriter) Write(p []byte) (int, error) {
	if e.Header().Get(store.EraHeader) == "" {
		e.WriteHeader(http.StatusOK)
	}
	return e.ResponseWriter.Write(p)
}

// version and lease return the request's numbers in the present era, as the service knows no
// other.
func (s *Store) version(text string) store.Version {
	return store.Version{Era: s.Era(), Number: parse(text)}
}

func (s *Store) lease(text string) store.Lease {
	return store.Lease{Era: s.Era(), ID: parse(text)}
}

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	if !query.Has("after") {
		item, err := s.Get(r.Context(), r.PathValue("key"))
		reply(w, wireItem(item), err)
		return
	}
	wait, err := time.ParseDuration(query.Get("wait"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	item, err := s.Watch(r.Context(), r.PathValue("key"), store.WatchOptions{
		After:   s.version(query.Get("after")),
		Timeout: wait,
	})
	reply(w, wireItem(item), err)
}

func (s *Store) servePut(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, store.MaxValueBytes))
	if err != nil {
		reply(w, nil, store.ErrTooLarge)
		return
	}
	query := r.URL.Query()
	item, err := s.CAS(r.Context(), r.PathValue("key"), value,
		s.version(query.Get("version")), s.lease(query.Get("lease")))
	reply(w, wireItem(item), err)
}

func (s *Store) serveDelete(w http.ResponseWriter, r *http.Request) {
	reply(w, struct{}{}, s.Delete(r.Context(), r.PathValue("key"), s.version(r.URL.Query().Get("version"))))
}

func (s *Store) serveList(w http.ResponseWriter, r *http.Request) {
	items, err := s.List(r.Context(), r.URL.Query().Get("prefix"))
	found := make([]store.WireItem, len(items))
	for i, item := range items {
		found[i] = wireItem(item)
	}
	reply(w, found, err)
}

func (s *Store) serveGrant(w http.ResponseWriter, r *http.Request) {
	ttl, err := time.ParseDuration(r.URL.Query().Get("ttl"))
	if err != nil || ttl <= 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	id, err := s.Grant(r.Context(), ttl)
	reply(w, id.ID, err)
}

func (s *Store) serveKeepAlive(w http.ResponseWriter, r *http.Request) {
	reply(w, struct{}{}, s.KeepAlive(r.Context(), s.lease(r.PathValue("id"))))
}

func (s *Store) serveRevoke(w http.ResponseWriter, r *http.Request) {
	reply(w, struct{}{}, s.Revoke(r.Context(), s.lease(r.PathValue("id"))))
}

func wireItem(item store.Item) store.WireItem {
	return store.WireItem{Key: item.Key, Value: item.Value, Version: item.Version.Number}
}

func parse(text string) uint64 {
	n, _ := strconv.ParseUint(text, 10, 64)
	return n
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
