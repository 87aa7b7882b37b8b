package config

import (
	"cmp"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/figwick/figwick/internal/base/ident"
)

const anyMethod = "*"

type (
	// Table is a configuration made ready for requests. It is immutable.
	Table struct {
		Revision ident.Revision
		services []*Entry
		byHost   map[string]*Entry
		byName   map[ident.Service]*Entry
		callers  CallerLimits
	}

	// Entry is one service of a Table. Its own list of callers is empty: their
	// limits are the Table's.
	Entry struct {
		*Service
		routes  map[string]*Route
		allowed []allowed
	}

	// CallerLimits finds the limit of a single caller.
	CallerLimits interface {
		Find(service ident.Service, caller ident.Caller) (Limit, bool)
	}

	// Match is what a request's host, path and method lead to.
	Match struct {
		Table      *Table
		Entry      *Entry
		Repeatable bool
		Deadline   time.Duration
	}

	allowed struct {
		id     string
		prefix bool
		ips    netip.Prefix
	}
)

// Compile makes a checked file ready for requests.
func Compile(revision ident.Revision, file *File) *Table {
	entries := make([]*Entry, len(file.Services))
	callers := &Callers{}
	for i := range file.Services {
		s := file.Services[i]
		for _, c := range s.Limits.Callers {
			callers.Add(s.Name, c)
		}
		s.Limits.Callers = nil
		entries[i] = CompileService(&s)
	}
	callers.Sort()
	return Assemble(revision, entries, callers)
}

// Assemble makes a Table of services that are compiled already.
func Assemble(revision ident.Revision, entries []*Entry, callers CallerLimits) *Table {
	t := &Table{
		Revision: revision,
		services: entries,
		byHost:   make(map[string]*Entry, len(entries)),
		byName:   make(map[ident.Service]*Entry, len(entries)),
		callers:  callers,
	}
	slices.SortFunc(entries, func(a, b *Entry) int { return cmp.Compare(a.Name, b.Name) })
	for _, e := range entries {
		t.byName[e.Name] = e
		for _, host := range e.Hosts {
			t.byHost[host] = e
		}
	}
	return t
}

// CompileService makes one service ready for requests.
func CompileService(s *Service) *Entry {
	e := &Entry{Service: s, routes: make(map[string]*Route, len(s.Routes))}
	for i := range s.Routes {
		r := &s.Routes[i]
		for _, method := range methodsOf(r) {
			e.routes[method+trimPath(r.Path)] = r
		}
	}
	for _, a := range s.BackendServers {
		id, prefix := strings.CutSuffix(a.ID, "*")
		ips, _ := netip.ParsePrefix(a.Addresses)
		e.allowed = append(e.allowed, allowed{id: id, prefix: prefix || a.ID == "", ips: ips})
	}
	return e
}

func methodsOf(r *Route) []string {
	if len(r.Methods) == 0 {
		return []string{anyMethod}
	}
	return r.Methods
}

func trimPath(path string) string {
	return strings.TrimRight(path, "/")
}

// Service returns a service by name, or nil.
func (t *Table) Service(name ident.Service) *Entry {
	if t == nil {
		return nil
	}
	return t.byName[name]
}

// Services returns all services, by name.
func (t *Table) Services() []*Entry {
	return t.services
}

// Match finds the service of a request. The host may carry a port.
func (t *Table) Match(host, method, path string) (Match, bool) {
	if t == nil {
		return Match{}, false
	}
	e, found := t.byHost[hostName(host)]
	if !found {
		return Match{}, false
	}
	m := Match{Table: t, Entry: e, Repeatable: safe(method), Deadline: e.Deadline}
	r := e.route(method, path)
	if r == nil {
		return m, true
	}
	if r.Repeatable != nil {
		m.Repeatable = *r.Repeatable
	}
	if r.Deadline > 0 {
		m.Deadline = r.Deadline
	}
	return m, true
}

// route returns the route with the longest prefix; at the same length a named
// method goes before any method.
func (e *Entry) route(method, path string) *Route {
	path = trimPath(path)
	for {
		if r, found := e.routes[method+path]; found {
			return r
		}
		if r, found := e.routes[anyMethod+path]; found {
			return r
		}
		cut := strings.LastIndexByte(path, '/')
		if cut < 0 {
			return nil
		}
		path = path[:cut]
	}
}

// Allows reports whether a backend server may serve the service.
func (e *Entry) Allows(id ident.Backend, ip netip.Addr) bool {
	for _, a := range e.allowed {
		if a.matches(string(id), ip) {
			return true
		}
	}
	return false
}

// Limit returns the limit of one caller of a service and whether there is one.
func (t *Table) Limit(e *Entry, caller ident.Caller) (Limit, bool) {
	if limit, listed := t.callers.Find(e.Name, caller); listed {
		return limit, true
	}
	return e.Limits.Default, e.Limits.Default.Rate > 0
}

func (a allowed) matches(id string, ip netip.Addr) bool {
	if a.ips.IsValid() && !a.ips.Contains(ip.Unmap()) {
		return false
	}
	if a.prefix {
		return strings.HasPrefix(id, a.id)
	}
	return id == a.id
}

func hostName(host string) string {
	if strings.HasPrefix(host, "[") {
		end := strings.IndexByte(host, ']')
		return host[1:max(end, 1)]
	}
	name, _, _ := strings.Cut(host, ":")
	return strings.ToLower(strings.TrimSuffix(name, "."))
}

func safe(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}
