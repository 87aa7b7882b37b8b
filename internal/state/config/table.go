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

// anyMethod stands for all methods in the keys of Entry.routes.
const anyMethod = "*"

type (
	// Table is a compiled configuration, indexed for matching requests. It is
	// immutable. A nil Table matches nothing.
	Table struct {
		Revision ident.Revision
		services []*Entry
		// byHost maps the names in Service.Hosts to their services.
		byHost  map[string]*Entry
		byName  map[ident.Service]*Entry
		callers CallerLimits
		// hosts maps the names of Hosts to their routes.
		hosts map[string]hostTable
		// Intake has its defaults set.
		Intake        Intake
		organisations *OrganisationSet
	}

	// GlobalSettings are the parts of a configuration that belong to no service.
	GlobalSettings struct {
		Hosts         []Host
		Intake        Intake
		Organisations *OrganisationSet
	}

	// Entry is one compiled service of a Table. Its Limits.Callers is empty: the
	// Table's CallerLimits holds the limits of its callers.
	Entry struct {
		*Service
		// routes maps a method or anyMethod, followed by a path without trailing
		// slashes, to its route.
		routes     map[string]*Route
		allowRules []compiledRule
	}

	// CallerLimits looks up the limit of a caller. Find reports false if the
	// caller has none of its own.
	CallerLimits interface {
		Find(service ident.Service, caller ident.Caller) (Limit, bool)
	}

	// Match is the service of a request and the settings that apply to it.
	Match struct {
		Table *Table
		Entry *Entry
		// Repeatable reports whether the request may be run more than once.
		Repeatable bool
		// Deadline is the time from the request's arrival to the head of its response.
		Deadline time.Duration
		// WholeInTime makes Deadline the time to the end of the response.
		WholeInTime bool
		// TargetLatency is the latency that the response should stay within. 0
		// means that none is set.
		TargetLatency time.Duration
		// HedgeAfter is how long the first attempt may go without a response
		// before a second one may be sent in parallel. 0 disables hedging.
		HedgeAfter time.Duration
		// Priority orders requests under load; 0 is the highest priority.
		Priority int
		// Attempts is the maximum number of backend servers that the request is
		// sent to.
		Attempts int
		// MaxBodyBytes is the maximum size of the request's body.
		MaxBodyBytes int64
		// Route names the host's route. It is empty for the routes of a service.
		Route string
		// Public reports that the request needs no API key.
		Public bool
	}

	// compiledRule is an AllowRule prepared for matching. With prefix, id is a
	// prefix of the permitted ids. An invalid ips permits any address.
	compiledRule struct {
		id     string
		prefix bool
		ips    netip.Prefix
	}
)

// Compile builds a Table from a file that Parse returned. It leaves the file
// unchanged.
func Compile(revision ident.Revision, file *File) *Table {
	entries := make([]*Entry, len(file.Services))
	callers := &CallerLimitSet{}
	for i := range file.Services {
		s := file.Services[i]
		for _, c := range s.Limits.Callers {
			callers.Add(s.Name, c)
		}
		s.Limits.Callers = nil
		entries[i] = CompileService(&s)
	}
	callers.Sort()
	organisations := &KeyedOrganisations{Organisations: make([]Organisation, 0, len(file.Organisations))}
	for i := range file.Organisations {
		// The file is checked, so that its key hashes can be read.
		_ = organisations.Add(file.Organisations[i])
	}
	shared := GlobalSettings{Hosts: file.Hosts, Intake: file.Intake, Organisations: NewOrganisationSet([]*KeyedOrganisations{organisations})}
	return Assemble(revision, entries, shared, callers)
}

// Assemble builds a Table from compiled services. It sorts entries in place and
// keeps the slice.
func Assemble(revision ident.Revision, entries []*Entry, shared GlobalSettings, callers CallerLimits) *Table {
	t := &Table{
		Revision: revision,
		services: entries,
		byHost:   make(map[string]*Entry, len(entries)),
		byName:   make(map[ident.Service]*Entry, len(entries)),
		callers:  callers,
		hosts:    make(map[string]hostTable, len(shared.Hosts)),
		Intake:   shared.Intake,

		organisations: shared.Organisations,
	}
	t.Intake.setDefaults()
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

// CompileService compiles one service. The Entry refers to s, which must not
// change afterwards.
func CompileService(s *Service) *Entry {
	e := &Entry{Service: s, routes: make(map[string]*Route, len(s.Routes))}
	for i := range s.Routes {
		r := &s.Routes[i]
		for _, method := range methodsOf(r) {
			e.routes[method+trimPath(r.Path)] = r
		}
	}
	for _, rule := range s.BackendServers {
		id, prefix := strings.CutSuffix(rule.ID, "*")
		ips, _ := netip.ParsePrefix(rule.Addresses)
		e.allowRules = append(e.allowRules, compiledRule{id: id, prefix: prefix || rule.ID == "", ips: ips})
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

// Service returns the service of a name, or nil.
func (t *Table) Service(name ident.Service) *Entry {
	if t == nil {
		return nil
	}
	return t.byName[name]
}

// Services returns all services, sorted by name. The caller must not modify the
// slice.
func (t *Table) Services() []*Entry {
	if t == nil {
		return nil
	}
	return t.services
}

// Match finds the service and settings for a request. The host may include a port.
// target is the path from the request line. draw is a uniform random number in
// [0, 1) that chooses among the services of a weighted HostRoute.
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
		Table: t, Entry: e, Repeatable: isSafeMethod(method), Deadline: e.Deadline,
		HedgeAfter: e.Retry.HedgeAfter, Attempts: e.Retry.Attempts, MaxBodyBytes: e.MaxRequestBytes,
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
	m.Public = r.Public
	return m, true
}

// matchHost matches a request for a host that has routes of its own.
func (t *Table) matchHost(routes hostTable, target string, draw float64) (Match, bool) {
	r := routes.find(target)
	if r == nil {
		return Match{}, false
	}
	e, found := t.byName[r.pickService(draw)]
	if !found {
		return Match{}, false
	}
	m := Match{
		Table: t, Entry: e, Repeatable: r.Repeatable, Deadline: r.Deadline, WholeInTime: true, TargetLatency: r.TargetLatency,
		HedgeAfter: time.Duration(hedgeFraction * float64(r.TargetLatency)),
		Priority:   r.Priority, Attempts: r.Attempts, MaxBodyBytes: e.MaxRequestBytes,
		Route: cmp.Or(r.Name, r.Prefix), Public: r.Public,
	}
	if t.Intake.MaxBodyBytes > 0 {
		m.MaxBodyBytes = t.Intake.MaxBodyBytes
	}
	return m, true
}

// route returns the route with the longest matching path prefix, or nil. Among
// routes of the same length, one that lists the method takes precedence over one
// for all methods.
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

// Allows reports whether a backend server may join the service.
func (e *Entry) Allows(id ident.Backend, ip netip.Addr) bool {
	for _, rule := range e.allowRules {
		if rule.matches(string(id), ip) {
			return true
		}
	}
	return false
}

// Limit returns the limit of a caller of a service: its own or the service's
// default. It reports false if the caller is not limited.
func (t *Table) Limit(e *Entry, caller ident.Caller) (Limit, bool) {
	if t != nil && t.callers != nil {
		if limit, listed := t.callers.Find(e.Name, caller); listed {
			return limit, true
		}
	}
	return e.Limits.Default, e.Limits.Default.Rate > 0
}

func (r compiledRule) matches(id string, ip netip.Addr) bool {
	if r.ips.IsValid() && !r.ips.Contains(ip.Unmap()) {
		return false
	}
	if r.prefix {
		return strings.HasPrefix(id, r.id)
	}
	return id == r.id
}

// hostName returns a Host header's name without the port and the trailing dot, in
// lower case.
func hostName(host string) string {
	if strings.HasPrefix(host, "[") {
		end := strings.IndexByte(host, ']')
		return host[1:max(end, 1)]
	}
	name, _, _ := strings.Cut(host, ":")
	return strings.ToLower(strings.TrimSuffix(name, "."))
}

// isSafeMethod reports whether a method is safe, that is read-only, by RFC 9110.
// TRACE is not included.
func isSafeMethod(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}
