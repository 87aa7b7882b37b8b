package config

import (
	"time"

	"github.com/figwick/figwick/internal/base/ident"
)

// The values of Ejection.Prefer.
const (
	// PreferDetection ejects early, at the cost of some false ejections.
	PreferDetection Preference = "detection"
	// PreferPrecision avoids false ejections, at the cost of a longer detection
	// time.
	PreferPrecision Preference = "precision"
)

type (
	// Preference is a service's trade-off between detection time and false
	// ejections.
	Preference string

	// File is a decoded configuration file.
	File struct {
		Version  int       `yaml:"version" json:"version"`
		Services []Service `yaml:"services" json:"services"`
		// Hosts route requests by host name and path to any service. Their names
		// must not also be listed in Service.Hosts.
		Hosts  []Host `yaml:"hosts" json:"hosts,omitempty"`
		Intake Intake `yaml:"intake" json:"intake"`
		// Organisations are the customers whose callers need an API key. If there is
		// none, no request needs a key.
		Organisations []Organisation `yaml:"organisations" json:"organisations,omitempty"`
	}

	// Organisation is a customer with the API keys of its callers and a quota over the whole
	// fleet.
	Organisation struct {
		Name ident.Organisation `yaml:"name" json:"name"`
		// Keys are secrets: they must not be logged, dumped or put into an error.
		Keys []string `yaml:"keys" json:"keys,omitempty"`
		// KeyHashes stand for further keys by the first half of their SHA-256 hashes, in
		// hexadecimal. A configuration that is read back from the fleet has these only.
		KeyHashes []string `yaml:"key-hashes" json:"key-hashes,omitempty"`
		// Priority replaces that of the routes. Nil keeps the route's.
		Priority *int `yaml:"priority" json:"priority,omitempty"`
		// Rate and Burst are the quota, in requests per second and requests. A Rate of 0
		// means no quota.
		Rate  float64 `yaml:"rate" json:"rate,omitempty"`
		Burst float64 `yaml:"burst" json:"burst,omitempty"`
	}

	// Service is the configuration of one service.
	Service struct {
		Name ident.Service `yaml:"name" json:"name"`
		// Hosts are the host names whose requests all go to this service.
		Hosts []string `yaml:"hosts" json:"hosts"`
		// Floor is the minimum number of backend servers that ejections leave in
		// service.
		Floor int `yaml:"floor" json:"floor"`
		// Slots is the maximum number of concurrent requests at one backend
		// server.
		Slots int `yaml:"slots" json:"slots"`
		// Deadline bounds the time from a request's arrival to the head of its
		// response.
		Deadline        time.Duration `yaml:"deadline" json:"deadline"`
		MaxRequestBytes int64         `yaml:"max-request-bytes" json:"max-request-bytes"`
		Queue           Queue         `yaml:"queue" json:"queue"`
		Ejection        Ejection      `yaml:"ejection" json:"ejection"`
		Retry           Retry         `yaml:"retry" json:"retry"`
		Routes          []Route       `yaml:"routes" json:"routes"`
		// BackendServers lists which backend servers may join the service. One
		// matching rule is enough.
		BackendServers []AllowRule `yaml:"backend-servers" json:"backend-servers"`
		Limits         Limits      `yaml:"limits" json:"limits"`
	}

	// Queue bounds the requests that wait at a sidecar for a slot.
	Queue struct {
		// Length is the number of waiting requests for each backend server.
		Length int `yaml:"length" json:"length"`
	}

	// Ejection sets when unhealthy backend servers are ejected and for how long.
	Ejection struct {
		Prefer Preference `yaml:"prefer" json:"prefer"`
		// Hold is how long a server stays out after its first ejection. It
		// doubles with each further one.
		Hold time.Duration `yaml:"hold" json:"hold"`
		// MaxHold is the longest hold that the doubling reaches.
		MaxHold time.Duration `yaml:"max-hold" json:"max-hold"`
		// ColdStart is how long a new backend server takes to reach its normal
		// speed.
		ColdStart time.Duration `yaml:"cold-start" json:"cold-start"`
	}

	// Retry bounds retries and hedges of repeatable requests.
	Retry struct {
		// Attempts is the maximum number of attempts at one request, including
		// the first.
		Attempts int `yaml:"attempts" json:"attempts"`
		// BudgetPercent is the retry budget: the number of retries and hedges as a
		// percentage of the number of requests.
		BudgetPercent float64 `yaml:"budget-percent" json:"budget-percent"`
		// HedgeAfter is how long the first attempt may go without a response
		// before a second one is sent in parallel. 0 disables hedging.
		HedgeAfter time.Duration `yaml:"hedge-after" json:"hedge-after,omitempty"`
	}

	// Route overrides settings of a service for requests with some paths and
	// methods.
	Route struct {
		// Path is a prefix in whole path segments: /search matches /search/wax but
		// not /searching.
		Path string `yaml:"path" json:"path"`
		// Methods are the HTTP methods that the route applies to; none means all.
		Methods []string `yaml:"methods" json:"methods"`
		// Repeatable reports whether requests may be run more than once. By default
		// GET, HEAD and OPTIONS requests may.
		Repeatable *bool `yaml:"repeatable" json:"repeatable,omitempty"`
		// Deadline replaces the service's deadline unless it is 0.
		Deadline time.Duration `yaml:"deadline" json:"deadline,omitempty"`
		// Public routes need no API key.
		Public bool `yaml:"public" json:"public,omitempty"`
	}

	// AllowRule permits backend servers to join a service, by id, by address or
	// by both. If both are set, both must match.
	AllowRule struct {
		// ID is a backend server's id, or a prefix of ids if it ends in "*". If
		// it is empty, any id matches.
		ID string `yaml:"id" json:"id,omitempty"`
		// Addresses is an IP range in CIDR notation. If it is empty, any address
		// matches.
		Addresses string `yaml:"addresses" json:"addresses,omitempty"`
	}

	// Limits sets the request rates of a service's callers. A limit applies to a
	// caller's requests at all nodes together.
	Limits struct {
		// CallerHeader names the request header that identifies the caller. If it
		// is not set, or a request lacks the header, the client's IP address
		// identifies the caller.
		CallerHeader string `yaml:"caller-header" json:"caller-header,omitempty"`
		// Default applies to each caller that is not listed. A rate of 0 means no
		// limit.
		Default Limit         `yaml:"default" json:"default"`
		Callers []CallerLimit `yaml:"callers" json:"callers,omitempty"`
	}

	// Limit is a token bucket: Rate in requests per second, Burst in requests.
	Limit struct {
		Rate  float64 `yaml:"rate" json:"rate"`
		Burst float64 `yaml:"burst" json:"burst"`
	}

	// CallerLimit is the limit of one caller.
	CallerLimit struct {
		ID    ident.Caller `yaml:"id" json:"id"`
		Rate  float64      `yaml:"rate" json:"rate"`
		Burst float64      `yaml:"burst" json:"burst"`
	}
)

// The default values of a service's settings.
const (
	DefaultSlots           = 3
	DefaultDeadline        = 5 * time.Second
	DefaultMaxRequestBytes = 8 << 20
	DefaultQueueLength     = 4
	DefaultHold            = 10 * time.Second
	DefaultMaxHold         = 10 * time.Minute
	DefaultColdStart       = 5 * time.Second
	DefaultAttempts        = 3
	DefaultBudgetPercent   = 10
)

// setDefaults sets the default values of all settings that are zero.
func (f *File) setDefaults() {
	for i := range f.Services {
		f.Services[i].setDefaults()
	}
	for i := range f.Hosts {
		for j := range f.Hosts[i].Routes {
			f.Hosts[i].Routes[j].setDefaults()
		}
	}
	for i := range f.Organisations {
		o := &f.Organisations[i]
		setDefault(&o.Burst, o.Rate)
	}
	f.Intake.setDefaults()
}

func (s *Service) setDefaults() {
	setDefault(&s.Slots, DefaultSlots)
	setDefault(&s.Deadline, DefaultDeadline)
	setDefault(&s.MaxRequestBytes, DefaultMaxRequestBytes)
	setDefault(&s.Queue.Length, DefaultQueueLength)
	setDefault(&s.Ejection.Prefer, PreferPrecision)
	setDefault(&s.Ejection.Hold, DefaultHold)
	setDefault(&s.Ejection.MaxHold, DefaultMaxHold)
	setDefault(&s.Ejection.ColdStart, DefaultColdStart)
	setDefault(&s.Retry.Attempts, DefaultAttempts)
	setDefault(&s.Retry.BudgetPercent, DefaultBudgetPercent)
	s.Limits.Default.setDefaults()
	for i := range s.Limits.Callers {
		c := &s.Limits.Callers[i]
		setDefault(&c.Burst, c.Rate)
	}
}

func (l *Limit) setDefaults() {
	setDefault(&l.Burst, l.Rate)
}

// setDefault sets a field to a value if the field is zero.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
