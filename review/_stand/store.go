package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

type (
	// item is one key of the platform's metadata store.
	item struct {
		Key        string `json:"key"`
		Value      []byte `json:"value,omitempty"`
		Revision   uint64 `json:"revision"`
		Created    uint64 `json:"created,omitempty"`
		LeaseID    uint64 `json:"lease_id"`
		Removed    bool   `json:"removed,omitempty"`
		CurrentRev uint64 `json:"current_rev,omitempty"`
	}

	// metadataStore is a stand-in for the platform's metadata store.
	metadataStore struct {
		mutex    sync.Mutex
		changed  chan struct{}
		revision uint64
		items    map[string]item
		events   []item
		leases   map[uint64]*storeLease
		lastID   uint64
		address  string
		server   *http.Server
	}

	storeLease struct {
		ttl  time.Duration
		ends time.Time
	}
)

// startStore starts a store on a free port of 127.0.0.1.
func startStore() (*metadataStore, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &metadataStore{
		changed: make(chan struct{}), revision: 10,
		items: map[string]item{}, leases: map[uint64]*storeLease{}, address: l.Addr().String(),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", s.serveKey)
	mux.HandleFunc("GET /api/kv-range", s.serveRange)
	mux.HandleFunc("GET /api/kv-watch", s.serveWatch)
	mux.HandleFunc("POST /api/kv-txn", s.serveTxn)
	mux.HandleFunc("POST /api/kv-lease", s.serveLease)
	mux.HandleFunc("POST /api/kv-keep/{id}", s.serveKeep)
	mux.HandleFunc("DELETE /api/kv-lease-end/{id}", s.serveLeaseEnd)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *metadataStore) close() {
	_ = s.server.Close()
}

// put writes a key as the operator does.
func (s *metadataStore) put(key string, value []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	s.set(key, value, 0)
	s.wake()
}

// set writes a key at the present revision. The mutex is held.
func (s *metadataStore) set(key string, value []byte, leaseID uint64) {
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, LeaseID: leaseID}
	if old, found := s.items[key]; found {
		i.Created = old.Created
	}
	s.items[key] = i
	s.events = append(s.events, i)
}

// remove removes a key at the present revision. The mutex is held.
func (s *metadataStore) remove(key string) {
	if _, found := s.items[key]; found {
		delete(s.items, key)
		s.events = append(s.events, item{Key: key, Revision: s.revision, Removed: true})
	}
}

// wake ends the waits of all watches. The mutex is held.
func (s *metadataStore) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends the leases that have not been renewed. The mutex is held.
func (s *metadataStore) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.ends) {
			s.endLease(id)
		}
	}
}

// endLease ends a lease and removes its keys. The mutex is held.
func (s *metadataStore) endLease(id uint64) {
	delete(s.leases, id)
	s.revision++
	for key, i := range s.items {
		if i.LeaseID == id {
			s.remove(key)
		}
	}
	s.wake()
}

func (s *metadataStore) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire()
	i, found := s.items[r.URL.Query().Get("key")]
	if !found {
		writeBody(w, http.StatusNotFound, map[string]any{"current_rev": s.revision})
		return
	}
	i.CurrentRev = s.revision
	writeBody(w, http.StatusOK, i)
}

func (s *metadataStore) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire()
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	found := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, i)
		}
	}
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	writeBody(w, http.StatusOK, map[string]any{"items": found, "has_more": false, "current_rev": s.revision})
}

func (s *metadataStore) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	prefix := query.Get("prefix")
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	for {
		s.mutex.Lock()
		s.expire()
		found := []item{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				found = append(found, e)
			}
		}
		changed, revision := s.changed, s.revision
		s.mutex.Unlock()
		expired := false
		if len(found) == 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-end.C:
				expired = true
			}
		}
		if len(found) > 0 || expired {
			writeBody(w, http.StatusOK, map[string]any{"events": found, "current_rev": revision})
			return
		}
	}
}

func (s *metadataStore) serveTxn(w http.ResponseWriter, r *http.Request) {
	var t struct {
		ExpectedRev []item `json:"expected_rev"`
		SetKeys     []item `json:"set_keys"`
		Delete      []string
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		writeBody(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire()
	present, conflict := []item{}, false
	for _, e := range t.ExpectedRev {
		i, found := s.items[e.Key]
		if !found {
			i = item{Key: e.Key}
		}
		present = append(present, i)
		conflict = conflict || i.Revision != e.Revision
	}
	if conflict {
		writeBody(w, http.StatusPreconditionFailed, map[string]any{"items": present})
		return
	}
	for _, k := range t.SetKeys {
		if k.LeaseID != 0 && s.leases[k.LeaseID] == nil {
			writeBody(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	s.revision++
	for _, k := range t.SetKeys {
		s.set(k.Key, k.Value, k.LeaseID)
	}
	for _, key := range t.Delete {
		s.remove(key)
	}
	s.wake()
	writeBody(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *metadataStore) serveLease(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL string `json:"ttl_time"`
	}
	ttl := time.Second
	if json.NewDecoder(r.Body).Decode(&body) == nil {
		if parsed, err := time.ParseDuration(body.TTL); err == nil {
			ttl = parsed
		}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lastID++
	s.leases[s.lastID] = &storeLease{ttl: ttl, ends: time.Now().Add(ttl)}
	writeBody(w, http.StatusOK, map[string]any{"lease_id": s.lastID, "ttl_time": body.TTL})
}

func (s *metadataStore) serveKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire()
	l := s.leases[id]
	if l == nil {
		writeBody(w, http.StatusNotFound, map[string]any{})
		return
	}
	l.ends = time.Now().Add(l.ttl)
	writeBody(w, http.StatusOK, map[string]any{"ttl_time": strconv.FormatInt(l.ttl.Milliseconds(), 10) + "ms"})
}

func (s *metadataStore) serveLeaseEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.leases[id] == nil {
		writeBody(w, http.StatusNotFound, map[string]any{})
		return
	}
	s.endLease(id)
	writeBody(w, http.StatusOK, map[string]any{})
}

func writeBody(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
