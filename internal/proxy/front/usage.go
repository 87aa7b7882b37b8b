package front

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/figwick/figwick/internal/base/ident"
)

type (
	// usage counts what the ingress has done for organisations since its start. The zero
	// value is ready for use, by several goroutines.
	usage struct {
		keysRefused, keysUnproved, overQuota, undecided atomic.Int64

		mutex sync.Mutex
		// inFlight has the organisations that have requests in flight.
		inFlight map[ident.Organisation]int
	}

	// OrganisationsReport is the state of organisations in a Report. It contains no keys.
	OrganisationsReport struct {
		// Count and Keys are the numbers of organisations and API keys in the
		// configuration.
		Count int `json:"count"`
		Keys  int `json:"keys"`
		// ProofAgeMs is the time since the configuration is known to have been the
		// newest, -1 if this was never known and 0 if it is not checked.
		ProofAgeMs int64 `json:"proof-age-ms"`
		// MayUseKeys reports whether requests with a known key are served.
		MayUseKeys bool `json:"may-use-keys"`
		// KeysRefused counts requests without a known key where one is needed, and
		// KeysUnproved those refused for an outdated configuration.
		KeysRefused  int64 `json:"keys-refused"`
		KeysUnproved int64 `json:"keys-unproved"`
		// OverQuota and QuotaUndecided count requests that were refused by a quota.
		OverQuota      int64 `json:"over-quota"`
		QuotaUndecided int64 `json:"quota-undecided"`
		// InFlight has the number of requests in flight of those organisations that have
		// any.
		InFlight map[ident.Organisation]int `json:"in-flight,omitempty"`
	}
)

// begin and end count a request of an organisation that is served.
func (u *usage) begin(name ident.Organisation) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.inFlight == nil {
		u.inFlight = map[ident.Organisation]int{}
	}
	u.inFlight[name]++
}

func (u *usage) end(name ident.Organisation) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.inFlight[name]--; u.inFlight[name] <= 0 {
		delete(u.inFlight, name)
	}
}

// reportOrganisations returns the state of organisations, or nil if the configuration names
// none.
func (s *Server) reportOrganisations() *OrganisationsReport {
	table := s.Table()
	if !table.HasOrganisations() {
		return nil
	}
	u := &s.usage
	r := &OrganisationsReport{
		Count: len(table.Organisations()), Keys: table.APIKeys(), MayUseKeys: true,
		KeysRefused: u.keysRefused.Load(), KeysUnproved: u.keysUnproved.Load(),
		OverQuota: u.overQuota.Load(), QuotaUndecided: u.undecided.Load(),
		InFlight: map[ident.Organisation]int{},
	}
	if f := s.config.Freshness; f != nil {
		r.MayUseKeys = f.MayUseKeys()
		r.ProofAgeMs = -1
		if age, known := f.ProofAge(); known {
			r.ProofAgeMs = int64(age / time.Millisecond)
		}
	}
	u.mutex.Lock()
	defer u.mutex.Unlock()
	for name, count := range u.inFlight {
		r.InFlight[name] = count
	}
	return r
}
