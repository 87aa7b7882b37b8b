package config

import (
	"fmt"
	"net/http"
	"net/netip"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/figwick/figwick/internal/base/ident"
)

// The permitted ranges of the file's values.
const (
	MaxSlots        = 1024
	MaxDeadline     = time.Hour
	MinDeadline     = 10 * time.Millisecond
	MaxRequestBytes = 16 << 30
	MaxQueueLength  = 1024
	// MaxHoldBound is the upper bound of hold, max-hold and cold-start.
	MaxHoldBound = 24 * time.Hour
	MaxAttempts  = 10
	MaxFloor     = 100_000
	MaxPriority  = 1000
	MaxWeight    = 1_000_000
)

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	hostPattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,251}[a-z0-9])?$`)
	headerPattern = regexp.MustCompile(`^[A-Za-z0-9-]{1,64}$`)
	idPattern     = regexp.MustCompile(`^[A-Za-z0-9._-]{0,127}\*?$`)

	methods = []string{
		http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
		http.MethodPatch, http.MethodDelete, http.MethodOptions,
	}
)

// checker collects faults. It sets their paths but not their lines and columns,
// which locate adds.
type checker struct {
	faults Faults
}

func (c *checker) add(path, format string, args ...any) {
	c.faults = append(c.faults, Fault{Path: path, Text: fmt.Sprintf(format, args...)})
}

func (c *checker) inRange(path string, value, low, high float64, unit string) {
	if value < low || value > high {
		c.add(path, "%v is outside %v to %v %s", value, low, high, unit)
	}
}

func (c *checker) duration(path string, value, low, high time.Duration) {
	if value < low || value > high {
		c.add(path, "%v is outside %v to %v", value, low, high)
	}
}

// check returns the faults of a decoded file whose defaults are set.
func check(file *File) Faults {
	c := &checker{}
	if file.Version != 1 {
		c.add("$.version", "%d is not a known version; the known one is 1", file.Version)
	}
	if len(file.Services) == 0 {
		c.add("$.services", "at least one service is needed")
	}
	names := map[ident.Service]int{}
	hostOwners := map[string]ident.Service{}
	for i := range file.Services {
		s := &file.Services[i]
		path := fmt.Sprintf("$.services[%d]", i)
		if first, duplicate := names[s.Name]; duplicate {
			c.add(path+".name", "%q is also the name of services[%d]", s.Name, first)
		}
		names[s.Name] = i
		c.hosts(path, s, hostOwners, len(file.Hosts) > 0)
		c.service(path, s)
	}
	for i := range file.Hosts {
		c.host(fmt.Sprintf("$.hosts[%d]", i), &file.Hosts[i], names, hostOwners)
	}
	c.intake("$.intake", &file.Intake)
	c.organisations("$.organisations", file.Organisations)
	return c.faults
}

func (c *checker) organisations(path string, list []Organisation) {
	for _, f := range CheckOrganisations(list) {
		field := fmt.Sprintf("%s[%d].%s", path, f.Index, f.Field)
		if f.Element >= 0 {
			field += fmt.Sprintf("[%d]", f.Element)
		}
		c.add(field, "%s", f.Text)
	}
}

// host checks one host with routes. owners maps each host name seen so far to the
// service that lists it, or to "" if it belongs to another host with routes.
func (c *checker) host(path string, h *Host, services map[ident.Service]int, owners map[string]ident.Service) {
	if !hostPattern.MatchString(h.Name) {
		c.add(path+".name", "%q is not a host name in lower case without port", h.Name)
	}
	if other, duplicate := owners[h.Name]; duplicate {
		c.add(path+".name", "%q already belongs to service %q", h.Name, other)
	}
	owners[h.Name] = ""
	seen := map[string]int{}
	for i := range h.Routes {
		r := &h.Routes[i]
		routePath := fmt.Sprintf("%s.routes[%d]", path, i)
		if first, duplicate := seen[r.Prefix]; duplicate {
			c.add(routePath+".prefix", "%q is already set by routes[%d]", r.Prefix, first)
		}
		seen[r.Prefix] = i
		c.hostRoute(routePath, r, services)
	}
}

func (c *checker) hostRoute(path string, r *HostRoute, services map[ident.Service]int) {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		c.add(path+".prefix", "%q does not begin and end with /", r.Prefix)
	}
	c.duration(path+".deadline", r.Deadline, MinDeadline, MaxDeadline)
	c.duration(path+".target-latency", r.TargetLatency, time.Millisecond, MaxDeadline)
	c.inRange(path+".attempts", float64(r.Attempts), 1, MaxAttempts, "attempts")
	c.inRange(path+".priority", float64(r.Priority), 0, MaxPriority, "as a rank")
	total := 0
	for i, p := range r.Parts {
		if _, known := services[p.Service]; !known {
			c.add(fmt.Sprintf("%s.parts[%d].service", path, i), "%q is not a service of this file", p.Service)
		}
		c.inRange(fmt.Sprintf("%s.parts[%d].weight", path, i), float64(p.Weight), 0, MaxWeight, "as a weight")
		total += p.Weight
	}
	if total <= 0 {
		c.add(path+".parts", "at least one part with a weight is needed")
	}
}

func (c *checker) intake(path string, i *Intake) {
	c.inRange(path+".max-header-bytes", float64(i.MaxHeaderBytes), 1<<10, 1<<20, "bytes")
	c.inRange(path+".max-body-bytes", float64(i.MaxBodyBytes), 0, MaxRequestBytes, "bytes")
	c.duration(path+".header-timeout", i.HeaderTimeout, 100*time.Millisecond, MaxDeadline)
	c.duration(path+".idle-timeout", i.IdleTimeout, 100*time.Millisecond, MaxDeadline)
	c.inRange(path+".pipeline-depth", float64(i.PipelineDepth), 0, MaxPipelineDepth, "requests")
}

// hosts checks the host names of a service. A service needs none if the file has
// hosts with routes.
func (c *checker) hosts(path string, s *Service, owners map[string]ident.Service, hostRoutesExist bool) {
	if len(s.Hosts) == 0 && !hostRoutesExist {
		c.add(path+".hosts", "at least one host is needed")
	}
	for i, host := range s.Hosts {
		hostPath := fmt.Sprintf("%s.hosts[%d]", path, i)
		if !hostPattern.MatchString(host) {
			c.add(hostPath, "%q is not a host name in lower case without port", host)
		}
		if other, duplicate := owners[host]; duplicate {
			c.add(hostPath, "%q already belongs to service %q", host, other)
		}
		owners[host] = s.Name
	}
}

func (c *checker) service(path string, s *Service) {
	if !namePattern.MatchString(string(s.Name)) {
		c.add(path+".name", "%q is not 1 to 63 of a-z, 0-9 and inner hyphens", s.Name)
	}
	c.inRange(path+".floor", float64(s.Floor), 1, MaxFloor, "backend servers")
	c.inRange(path+".slots", float64(s.Slots), 1, MaxSlots, "requests")
	c.duration(path+".deadline", s.Deadline, MinDeadline, MaxDeadline)
	c.inRange(path+".max-request-bytes", float64(s.MaxRequestBytes), 1, MaxRequestBytes, "bytes")
	c.inRange(path+".queue.length", float64(s.Queue.Length), 1, MaxQueueLength, "requests")
	c.ejection(path+".ejection", &s.Ejection)
	c.inRange(path+".retry.attempts", float64(s.Retry.Attempts), 1, MaxAttempts, "attempts")
	c.inRange(path+".retry.budget-percent", s.Retry.BudgetPercent, 0, 100, "percent")
	if s.Retry.HedgeAfter != 0 {
		c.duration(path+".retry.hedge-after", s.Retry.HedgeAfter, time.Millisecond, s.Deadline)
	}
	c.routes(path, s.Routes)
	c.allowRules(path, s.BackendServers)
	c.limits(path+".limits", &s.Limits)
}

func (c *checker) ejection(path string, e *Ejection) {
	if e.Prefer != PreferDetection && e.Prefer != PreferPrecision {
		c.add(path+".prefer", "%q is neither %q nor %q", e.Prefer, PreferDetection, PreferPrecision)
	}
	c.duration(path+".hold", e.Hold, time.Second, MaxHoldBound)
	c.duration(path+".max-hold", e.MaxHold, e.Hold, MaxHoldBound)
	c.duration(path+".cold-start", e.ColdStart, 0, MaxHoldBound)
}

// routes checks the routes of a service. Two routes must not set the same path and
// method.
func (c *checker) routes(path string, routes []Route) {
	seen := map[string]int{}
	for i := range routes {
		r := &routes[i]
		routePath := fmt.Sprintf("%s.routes[%d]", path, i)
		if !strings.HasPrefix(r.Path, "/") {
			c.add(routePath+".path", "%q does not start with /", r.Path)
		}
		if r.Deadline != 0 {
			c.duration(routePath+".deadline", r.Deadline, MinDeadline, MaxDeadline)
		}
		for j, method := range r.Methods {
			if !slices.Contains(methods, method) {
				c.add(fmt.Sprintf("%s.methods[%d]", routePath, j), "%q is none of %s", method, strings.Join(methods, ", "))
			}
		}
		for _, method := range methodsOf(r) {
			key := method + " " + trimPath(r.Path)
			if first, duplicate := seen[key]; duplicate && first != i {
				c.add(routePath, "%s is already set by routes[%d]", key, first)
				break
			}
			seen[key] = i
		}
	}
}

// allowRules checks the rules for the backend servers of a service.
func (c *checker) allowRules(path string, rules []AllowRule) {
	if len(rules) == 0 {
		c.add(path+".backend-servers", "at least one entry is needed")
	}
	for i, a := range rules {
		rulePath := fmt.Sprintf("%s.backend-servers[%d]", path, i)
		if a.ID == "" && a.Addresses == "" {
			c.add(rulePath, "id, addresses or both are needed")
		}
		if !idPattern.MatchString(a.ID) {
			c.add(rulePath+".id", "%q is not up to 127 of A-Z, a-z, 0-9, dot, underscore, hyphen, with * only at the end", a.ID)
		}
		if a.Addresses == "" {
			continue
		}
		if _, err := netip.ParsePrefix(a.Addresses); err != nil {
			c.add(rulePath+".addresses", "%q is not an IP range in CIDR form", a.Addresses)
		}
	}
}

func (c *checker) limits(path string, l *Limits) {
	if l.CallerHeader != "" && !headerPattern.MatchString(l.CallerHeader) {
		c.add(path+".caller-header", "%q is not a header name", l.CallerHeader)
	}
	c.limit(path+".default", l.Default.Rate, l.Default.Burst)
	seen := map[ident.Caller]int{}
	for i, caller := range l.Callers {
		callerPath := fmt.Sprintf("%s.callers[%d]", path, i)
		if caller.ID == "" {
			c.add(callerPath+".id", "an id is needed")
		}
		if first, duplicate := seen[caller.ID]; duplicate {
			c.add(callerPath+".id", "%q is also callers[%d]", caller.ID, first)
		}
		seen[caller.ID] = i
		c.limit(callerPath, caller.Rate, caller.Burst)
	}
}

func (c *checker) limit(path string, rate, burst float64) {
	const maxLimit = 1e7
	c.inRange(path+".rate", rate, 0, maxLimit, "requests a second")
	c.inRange(path+".burst", burst, 0, maxLimit, "requests")
}
