package config

import (
	"cmp"
	"net/http"
	"net/netip"
	"path"
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
		hosts    map[string]hostTable
		// Intake bounds what callers may send.
		Intake Intake
	}

	// Shared is what a configuration holds beside its services.
	Shared struct {
		Hosts  []Host
		Intake Intake
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
		// Target is the time within which an answer is of full use; zero is
		// not set.
		Target time.Duration
		// Hedge is when a second attempt may join the first; zero is never.
		Hedge    time.Duration
		Priority int
		// Attempts is the most backend servers that the request is sent to.
		Attempts int
		// MaxBodyBytes bounds the request's body.
		MaxBodyBytes int64
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
	return Assemble(revision, entries, Shared{Hosts: file.Hosts, Intake: file.Intake}, callers)
}

// Assemble makes a Table of services that are compiled already.
func Assemble(revision ident.Revision, entries []*Entry, shared Shared, callers CallerLimits) *Table {
	t := &Table{
		Revision: revision,
		services: entries,
		byHost:   make(map[string]*Entry, len(entries)),
		byName:   make(map[ident.Service]*Entry, len(entries)),
		callers:  callers,
		hosts:    make(map[string]hostTable, len(shared.Hosts)),
		Intake:   shared.Intake,
	}
	t.Intake.fill()
	for i := range shared.Hosts {
		t.hosts[shared.Hosts[i].Name] = compileHost(&shared.Hosts[i])
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

func trimPath(p string) string {
	return strings.TrimRight(p, "/")
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

// Match finds the service of a request. The host may carry a port; the path is
// as it stands in the request line. A number in [0, 1) chooses among the parts
// of a route that is split by weight.
func (t *Table) Match(host, method, target string, draw float64) (Match, bool) {
	if t == nil {
		return Match{}, false
	}
	name := hostName(host)
	if routes, found := t.hosts[name]; found {
		return t.matchHost(routes, target, draw)
	}
	e, found := t.byHost[name]
	if !found {
		return Match{}, false
	}
	m := Match{
		Table: t, Entry: e, Repeatable: safe(method), Deadline: e.Deadline,
		Hedge: e.Retry.Hedge, Attempts: e.Retry.Attempts, MaxBodyBytes: e.MaxRequestBytes,
	}
	r := e.route(method, path.Clean("/"+target))
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

func (t *Table) matchHost(routes hostTable, target string, draw float64) (Match, bool) {
	r := routes.find(target)
	if r == nil {
		return Match{}, false
	}
	e, found := t.byName[r.choose(draw)]
	if !found {
		return Match{}, false
	}
	m := Match{
		Table: t, Entry: e, Repeatable: r.Repeatable, Deadline: r.Deadline, Target: r.Target,
		Hedge:    time.Duration(hedgeShare * float64(r.Target)),
		Priority: r.Priority, Attempts: r.Attempts, MaxBodyBytes: e.MaxRequestBytes,
	}
	if t.Intake.MaxBodyBytes > 0 {
		m.MaxBodyBytes = t.Intake.MaxBodyBytes
	}
	return m, true
}

// route returns the route with the longest prefix; at the same length a named
// method goes before any method.
func (e *Entry) route(method, target string) *Route {
	target = trimPath(target)
	for {
		if r, found := e.routes[method+target]; found {
			return r
		}
		if r, found := e.routes[anyMethod+target]; found {
			return r
		}
		cut := strings.LastIndexByte(target, '/')
		if cut < 0 {
			return nil
		}
		target = target[:cut]
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
