package config

import (
	"time"

	"github.com/figwick/figwick/internal/base/ident"
)

// The defaults and bounds of what callers may send.
const (
	DefaultMaxHeaderBytes = 64 << 10
	DefaultHeaderTimeout  = 5 * time.Second
	DefaultIdleTimeout    = 2 * time.Minute
	// hedgeShare is the part of a target latency after which a repeatable
	// request without an answer may be sent a second time.
	hedgeShare = 0.6
)

type (
	// Host routes the requests for one host name by path, to one service or
	// split over several.
	Host struct {
		Name   string      `yaml:"name" json:"name"`
		Routes []HostRoute `yaml:"routes" json:"routes"`
	}

	// HostRoute is where the requests below one path prefix go, and how they
	// are treated.
	HostRoute struct {
		Name string `yaml:"name" json:"name"`
		// Prefix begins and ends with a slash; the longest one wins.
		Prefix     string `yaml:"prefix" json:"prefix"`
		Repeatable bool   `yaml:"repeatable" json:"repeatable"`
		// Priority is the rank under load; 0 goes first.
		Priority int `yaml:"priority" json:"priority"`
		// Target is the time within which an answer is of full use.
		Target time.Duration `yaml:"target-latency" json:"target-latency"`
		// Deadline is the longest time that a caller is kept waiting.
		Deadline time.Duration `yaml:"deadline" json:"deadline"`
		// Attempts is the most backend servers that one request is sent to.
		Attempts int `yaml:"attempts" json:"attempts"`
		// Parts share the requests by weight.
		Parts []Part `yaml:"parts" json:"parts"`
	}

	// Part is one service's share of a HostRoute.
	Part struct {
		Service ident.Service `yaml:"service" json:"service"`
		Weight  int           `yaml:"weight" json:"weight"`
	}

	// Intake bounds what a caller may send, and how long it may take.
	Intake struct {
		MaxHeaderBytes int           `yaml:"max-header-bytes" json:"max-header-bytes,omitempty"`
		MaxBodyBytes   int64         `yaml:"max-body-bytes" json:"max-body-bytes,omitempty"`
		HeaderTimeout  time.Duration `yaml:"header-timeout" json:"header-timeout,omitempty"`
		// IdleTimeout is how long a connection without a request stays open.
		IdleTimeout time.Duration `yaml:"idle-timeout" json:"idle-timeout,omitempty"`
	}

	// hostTable is the routes of one host by prefix.
	hostTable map[string]*HostRoute
)

func (i *Intake) fill() {
	setDefault(&i.MaxHeaderBytes, DefaultMaxHeaderBytes)
	setDefault(&i.HeaderTimeout, DefaultHeaderTimeout)
	setDefault(&i.IdleTimeout, DefaultIdleTimeout)
}

func (r *HostRoute) fill() {
	setDefault(&r.Deadline, DefaultDeadline)
	setDefault(&r.Target, r.Deadline/2)
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

// find returns the route of the longest prefix that begins the path, or nil.
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

// choose returns the part that a number in [0, 1) falls to.
func (r *HostRoute) choose(draw float64) ident.Service {
	total := 0
	for _, p := range r.Parts {
		total += p.Weight
	}
	at := draw * float64(total)
	for _, p := range r.Parts {
		at -= float64(p.Weight)
		if at < 0 {
			return p.Service
		}
	}
	return r.Parts[len(r.Parts)-1].Service
}
