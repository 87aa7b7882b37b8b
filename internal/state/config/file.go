package config

import (
	"time"

	"github.com/figwick/figwick/internal/base/ident"
)

// The ejection preferences.
const (
	// PreferDetection ejects early and accepts some false ejections.
	PreferDetection Preference = "detection"
	// PreferPrecision ejects late and accepts a longer detection time.
	PreferPrecision Preference = "precision"
)

type (
	// Preference is a service's trade between detection time and false
	// ejections.
	Preference string

	// File is one whole declarative file.
	File struct {
		Version  int       `yaml:"version" json:"version"`
		Services []Service `yaml:"services" json:"services"`
		// Hosts route by host name and path across services; a host here is not
		// among the hosts of a service.
		Hosts  []Host `yaml:"hosts" json:"hosts,omitempty"`
		Intake Intake `yaml:"intake" json:"intake"`
	}

	// Service is one service and what it may use.
	Service struct {
		Name  ident.Service `yaml:"name" json:"name"`
		Hosts []string      `yaml:"hosts" json:"hosts"`
		// Floor is the least number of backend servers that ejection leaves in
		// service.
		Floor int `yaml:"floor" json:"floor"`
		// Slots is the most requests that one backend server works on at once.
		Slots int `yaml:"slots" json:"slots"`
		// Deadline bounds a request from its arrival to its whole answer.
		Deadline        time.Duration `yaml:"deadline" json:"deadline"`
		MaxRequestBytes int64         `yaml:"max-request-bytes" json:"max-request-bytes"`
		Queue           Queue         `yaml:"queue" json:"queue"`
		Ejection        Ejection      `yaml:"ejection" json:"ejection"`
		Retry           Retry         `yaml:"retry" json:"retry"`
		Routes          []Route       `yaml:"routes" json:"routes"`
		BackendServers  []Allowed     `yaml:"backend-servers" json:"backend-servers"`
		Limits          Limits        `yaml:"limits" json:"limits"`
	}

	// Queue bounds the requests that wait at a sidecar for a slot.
	Queue struct {
		// Length is in requests for each backend server.
		Length int `yaml:"length" json:"length"`
	}

	// Ejection tells how eagerly backend servers are taken out of service.
	Ejection struct {
		Prefer Preference `yaml:"prefer" json:"prefer"`
		// Hold is the first time out of service; it doubles with each repeat.
		Hold time.Duration `yaml:"hold" json:"hold"`
		// MaxHold bounds the doubling.
		MaxHold time.Duration `yaml:"max-hold" json:"max-hold"`
		// ColdStart is how long a new backend server takes to reach its pace.
		ColdStart time.Duration `yaml:"cold-start" json:"cold-start"`
	}

	// Retry bounds further attempts at repeatable requests.
	Retry struct {
		// Attempts is the most attempts at one request, the first included.
		Attempts int `yaml:"attempts" json:"attempts"`
		// BudgetPercent is retries and hedges as a share of requests.
		BudgetPercent float64 `yaml:"budget-percent" json:"budget-percent"`
		// Hedge is when a second attempt joins a first that has no answer yet;
		// zero is never.
		Hedge time.Duration `yaml:"hedge-after" json:"hedge-after,omitempty"`
	}

	// Route sets what differs for some paths and methods of a service.
	Route struct {
		// Path is a prefix of whole path segments.
		Path       string        `yaml:"path" json:"path"`
		Methods    []string      `yaml:"methods" json:"methods"`
		Repeatable *bool         `yaml:"repeatable" json:"repeatable,omitempty"`
		Deadline   time.Duration `yaml:"deadline" json:"deadline,omitempty"`
	}

	// Allowed lets backend servers serve, by identity, address or both.
	Allowed struct {
		// ID is a backend server's id, or a prefix of ids where it ends in "*".
		ID string `yaml:"id" json:"id,omitempty"`
		// Addresses is an IP range in CIDR form.
		Addresses string `yaml:"addresses" json:"addresses,omitempty"`
	}

	// Limits bounds what each caller may ask of a service over all nodes.
	Limits struct {
		// CallerHeader names the request header that identifies the caller;
		// where it is empty or absent the caller is its IP address.
		CallerHeader string `yaml:"caller-header" json:"caller-header,omitempty"`
		// Default applies to each caller that is not listed; a zero rate is no
		// limit.
		Default Limit         `yaml:"default" json:"default"`
		Callers []CallerLimit `yaml:"callers" json:"callers,omitempty"`
	}

	// Limit is a rate in requests a second, and how many may come at once.
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

// The defaults of what a file leaves out.
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

// fill sets the defaults of what the file leaves out.
func (f *File) fill() {
	for i := range f.Services {
		f.Services[i].fill()
	}
	for i := range f.Hosts {
		for j := range f.Hosts[i].Routes {
			f.Hosts[i].Routes[j].fill()
		}
	}
	f.Intake.fill()
}

func (s *Service) fill() {
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
	s.Limits.Default.fill()
	for i := range s.Limits.Callers {
		c := &s.Limits.Callers[i]
		setDefault(&c.Burst, c.Rate)
	}
}

func (l *Limit) fill() {
	setDefault(&l.Burst, l.Rate)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
