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

// kvItem is one key of the store, as the platform's protocol shows it.
type kvItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	LeaseID  uint64 `json:"lease_id"`
	Removed  bool   `json:"removed,omitempty"`
}

type kvLease struct {
	ttl     time.Duration
	expires time.Time
}

// kvStore is the stand-in for the platform's metadata store. It loses nothing and answers
// at once.
type kvStore struct {
	address string
	server  *http.Server

	mutex    sync.Mutex
	changed  chan struct{}
	revision uint64
	items    map[string]kvItem
	history  []kvItem
	leases   map[uint64]*kvLease
	lastID   uint64
}

func newStore() (*kvStore, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &kvStore{
		address: l.Addr().String(), changed: make(chan struct{}), revision: 1,
		items: map[string]kvItem{}, leases: map[uint64]*kvLease{}, lastID: 77000,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", s.getKey)
	mux.HandleFunc("GET /api/kv-range", s.getRange)
	mux.HandleFunc("GET /api/kv-watch", s.watch)
	mux.HandleFunc("POST /api/kv-txn", s.txn)
	mux.HandleFunc("POST /api/kv-lease", s.grant)
	mux.HandleFunc("POST /api/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /api/kv-lease-end/{id}", s.endLease)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func reply(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// put writes a key as the operator does. It returns the time of the acknowledgement.
func (s *kvStore) put(key string, value []byte) time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	s.set(key, value, 0)
	return time.Now()
}

// set writes a key at the present revision. The mutex must be held.
func (s *kvStore) set(key string, value []byte, lease uint64) {
	i := kvItem{Key: key, Value: value, Revision: s.revision, Created: s.revision, LeaseID: lease}
	if old, found := s.items[key]; found {
		i.Created = old.Created
	}
	s.items[key] = i
	s.note(i)
}

// remove deletes a key at the present revision. The mutex must be held.
func (s *kvStore) remove(key string) {
	delete(s.items, key)
	s.note(kvItem{Key: key, Revision: s.revision, Removed: true})
}

func (s *kvStore) note(i kvItem) {
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire removes the keys of the leases that have ended. The mutex must be held.
func (s *kvStore) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.dropLease(id)
		}
	}
}

func (s *kvStore) dropLease(id uint64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.LeaseID == id {
			s.revision++
			s.remove(key)
		}
	}
}

func (s *kvStore) getKey(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire()
	i, found := s.items[r.URL.Query().Get("key")]
	if !found {
		reply(w, http.StatusNotFound, map[string]any{"current_rev": s.revision})
		return
	}
	reply(w, http.StatusOK, map[string]any{
		"key": i.Key, "value": i.Value, "revision": i.Revision, "created": i.Created, "lease_id": i.LeaseID,
		"current_rev": s.revision,
	})
}

func (s *kvStore) getRange(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire()
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	items := []kvItem{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "current_rev": s.revision})
}

func (s *kvStore) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	for {
		s.mutex.Lock()
		s.expire()
		events := []kvItem{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("prefix")) {
				events = append(events, i)
			}
		}
		changed, revision := s.changed, s.revision
		s.mutex.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "current_rev": revision})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			reply(w, http.StatusOK, map[string]any{"events": events, "current_rev": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *kvStore) txn(w http.ResponseWriter, r *http.Request) {
	var t struct {
		ExpectedRev []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expected_rev"`
		SetKeys []struct {
			Key     string `json:"key"`
			Value   []byte `json:"value"`
			LeaseID uint64 `json:"lease_id"`
		} `json:"set_keys"`
		Delete []string `json:"delete"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire()
	for _, e := range t.ExpectedRev {
		if s.items[e.Key].Revision != e.Revision {
			present := []kvItem{}
			for _, x := range t.ExpectedRev {
				if i, found := s.items[x.Key]; found {
					present = append(present, i)
				}
			}
			reply(w, http.StatusPreconditionFailed, map[string]any{"items": present})
			return
		}
	}
	for _, k := range t.SetKeys {
		if strings.HasPrefix(k.Key, "op/") || strings.HasPrefix(k.Key, "servers/") {
			reply(w, http.StatusForbidden, map[string]any{})
			return
		}
		if _, found := s.leases[k.LeaseID]; k.LeaseID != 0 && !found {
			reply(w, http.StatusNotFound, map[string]any{})
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
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *kvStore) grant(w http.ResponseWriter, r *http.Request) {
	var l struct {
		TTL string `json:"ttl_time"`
	}
	_ = json.NewDecoder(r.Body).Decode(&l)
	ttl, err := time.ParseDuration(l.TTL)
	if err != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lastID++
	s.leases[s.lastID] = &kvLease{ttl: ttl, expires: time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease_id": s.lastID, "ttl_time": l.TTL})
}

func (s *kvStore) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire()
	l, found := s.leases[id]
	if !found {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	l.expires = time.Now().Add(l.ttl)
	reply(w, http.StatusOK, map[string]any{"ttl_time": strconv.FormatInt(l.ttl.Milliseconds(), 10) + "ms"})
}

func (s *kvStore) endLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.dropLease(id)
	reply(w, http.StatusOK, map[string]any{})
}
