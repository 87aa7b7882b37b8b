package config

import (
	"time"

	"github.com/figwick/figwick/internal/base/ident"
)

// The default values of Intake.
const (
	DefaultMaxHeaderBytes = 64 << 10
	DefaultHeaderTimeout  = 5 * time.Second
	DefaultIdleTimeout    = 2 * time.Minute
	// MaxPipelineDepth bounds the memory for the responses that wait on one connection.
	MaxPipelineDepth = 16
	// hedgeFraction is the fraction of a host route's target latency after which a
	// request without a response may be hedged.
	hedgeFraction = 0.6
)

type (
	// Host routes the requests for one host name by path. A route leads to one
	// service or splits the requests among several by weight.
	Host struct {
		Name   string      `yaml:"name" json:"name"`
		Routes []HostRoute `yaml:"routes" json:"routes"`
	}

	// HostRoute sets the services and the treatment of requests with one path
	// prefix.
	HostRoute struct {
		Name string `yaml:"name" json:"name"`
		// Prefix begins and ends with a slash. The route with the longest matching
		// prefix applies.
		Prefix string `yaml:"prefix" json:"prefix"`
		// Repeatable reports whether requests may be run more than once.
		Repeatable bool `yaml:"repeatable" json:"repeatable"`
		// Public routes need no API key.
		Public bool `yaml:"public" json:"public,omitempty"`
		// Priority orders requests under load; 0 is the highest priority.
		Priority int `yaml:"priority" json:"priority"`
		// TargetLatency is the latency that responses should stay within. A later
		// response is still delivered, up to Deadline.
		TargetLatency time.Duration `yaml:"target-latency" json:"target-latency"`
		// Deadline is the longest time that a caller waits for the end of the response.
		Deadline time.Duration `yaml:"deadline" json:"deadline"`
		// Attempts is the maximum number of backend servers that one request is
		// sent to.
		Attempts int `yaml:"attempts" json:"attempts"`
		// Parts are the services among which the requests are split.
		Parts []WeightedService `yaml:"parts" json:"parts"`
	}

	// WeightedService is a service and its weight in a HostRoute. A request goes to
	// it with the probability Weight divided by the sum of all weights.
	WeightedService struct {
		Service ident.Service `yaml:"service" json:"service"`
		Weight  int           `yaml:"weight" json:"weight"`
	}

	// Intake bounds the requests that ingresses accept from callers: their size,
	// and the time that reading them may take. It applies to all services.
	Intake struct {
		MaxHeaderBytes int `yaml:"max-header-bytes" json:"max-header-bytes,omitempty"`
		// MaxBodyBytes replaces the services' max-request-bytes for requests that
		// a Host routes, unless it is 0.
		MaxBodyBytes  int64         `yaml:"max-body-bytes" json:"max-body-bytes,omitempty"`
		HeaderTimeout time.Duration `yaml:"header-timeout" json:"header-timeout,omitempty"`
		// IdleTimeout is how long an idle connection stays open.
		IdleTimeout time.Duration `yaml:"idle-timeout" json:"idle-timeout,omitempty"`
		// PipelineDepth is how many pipelined requests of one connection may be in progress at
		// once. 1 starts each request in its turn; 0 leaves it to the node.
		PipelineDepth int `yaml:"pipeline-depth" json:"pipeline-depth,omitempty"`
	}

	// hostTable maps the path prefixes of one host to their routes.
	hostTable map[string]*HostRoute
)

func (i *Intake) setDefaults() {
	setDefault(&i.MaxHeaderBytes, DefaultMaxHeaderBytes)
	setDefault(&i.HeaderTimeout, DefaultHeaderTimeout)
	setDefault(&i.IdleTimeout, DefaultIdleTimeout)
}

func (r *HostRoute) setDefaults() {
	setDefault(&r.Deadline, DefaultDeadline)
	setDefault(&r.TargetLatency, r.Deadline/2)
	setDefault(&r.Attempts, DefaultAttempts)
	if len(r.Parts) == 1 {
		setDefault(&r.Parts[0].Weight, 1)
	}
}

func compileHost(h *Host) hostTable {
	routes := make(hostTable, len(h.Routes))
	for i := range h.Routes {
		routes[h.Routes[i].Prefix] = &h.Routes[i]
	}
	return routes
}

// find returns the route with the longest prefix of the path, or nil.
func (t hostTable) find(path string) *HostRoute {
	for end := len(path); end > 0; end-- {
		if path[end-1] != '/' {
			continue
		}
		if r, found := t[path[:end]]; found {
			return r
		}
	}
	return nil
}

// pickService chooses a service by weight. draw is a uniform random number in
// [0, 1).
func (r *HostRoute) pickService(draw float64) ident.Service {
	total := 0
	for _, p := range r.Parts {
		total += p.Weight
	}
	remaining := draw * float64(total)
	for _, p := range r.Parts {
		remaining -= float64(p.Weight)
		if remaining < 0 {
			return p.Service
		}
	}
	return r.Parts[len(r.Parts)-1].Service
}
