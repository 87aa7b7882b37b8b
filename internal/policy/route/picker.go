package route

import (
	"cmp"
	"slices"
	"time"

	"github.com/figwick/figwick/internal/base/eval"
	"github.com/figwick/figwick/internal/base/ident"
)

const (
	// initialPathBackoff is the backoff after the first failure of the path to a
	// sidecar. It doubles with each further failure in a row.
	initialPathBackoff = 500 * time.Millisecond
	// maxPathBackoff is the upper limit of that backoff.
	maxPathBackoff = 30 * time.Second
	// busyBackoff is the backoff after a refusal. It applies only while other
	// sidecars are left.
	busyBackoff = 20 * time.Millisecond
	// maxLoadAge is how long a reported load is used.
	maxLoadAge = 2 * time.Second
	// smoothing is the weight of a new sample in the moving average of the
	// latency.
	smoothing = 0.1
	// remotePenalty is added to the load of sidecars in other availability zones
	// when two sidecars are compared.
	remotePenalty = 0.5
	// latencyHalfLife is the time after which a latency without a new sample
	// counts half. Without the decay, a sidecar that was slow once would never be
	// tried again.
	latencyHalfLife = time.Second
	// exploreOneIn: one in this many attempts goes to the first sidecar drawn,
	// whatever the comparison of the two says.
	exploreOneIn = 16
	// trialOneIn: of the attempts that may go to a backend server on trial, one in
	// this many may also go to a sidecar that is full or last refused with a pause.
	// Of the other attempts, it is one in exploreOneIn.
	trialOneIn = 4
	// fullLoad is the load at which a sidecar has no free slot.
	fullLoad = 1.0
)

type (
	// Sidecar is a sidecar as membership describes it.
	Sidecar struct {
		Address string
		Node    ident.Node
		Zone    ident.Zone
		// Slots is the number of requests that its backend servers in service can
		// run at once.
		Slots int
		// Leaving is whether the sidecar is shutting down.
		Leaving bool
	}

	// ReportedLoad is the load that a sidecar reports with each reply. The zero
	// value means that it reported none.
	ReportedLoad struct {
		// Slots is the number of slots in service, Free the number of idle ones.
		Slots int
		Free  int
		// Queued is the number of attempts that wait for a slot.
		Queued int
	}

	// Picker chooses among the sidecars of one service. It is not safe for
	// concurrent use.
	Picker struct {
		// Zone is the availability zone of the ingress.
		Zone     ident.Zone
		sidecars []*sidecar
	}

	sidecar struct {
		Sidecar
		// inFlight is the number of this ingress's own attempts at the sidecar.
		inFlight int
		// othersBusy is the number of busy slots and queued attempts that the
		// sidecar last reported, at loadAt, without this ingress's own.
		othersBusy int
		loadAt     time.Time
		// latency is the moving average of the time between Sent and Answered,
		// with its last sample at latencyAt.
		latency   time.Duration
		latencyAt time.Time

		// failures is the number of path failures in a row.
		failures         int
		pathBackoffUntil time.Time
		busyBackoffUntil time.Time
		// pausedUntil is when the sidecar expects to accept attempts again, and
		// noTrialPausedUntil the same for attempts that may not go to a backend
		// server on trial.
		pausedUntil        time.Time
		noTrialPausedUntil time.Time
		// refusedWithPause is whether the sidecar's last reply was a refusal that
		// named a pause, without slots in service. Such a sidecar is idle, so its load
		// alone would make it look better than those that run requests.
		refusedWithPause bool
	}
)

// Set adds a sidecar, or updates the one with the same address.
func (p *Picker) Set(s Sidecar) {
	if known := p.find(s.Address); known != nil {
		known.Sidecar = s
		return
	}
	p.sidecars = append(p.sidecars, &sidecar{Sidecar: s})
}

// Remove removes a sidecar and all that is known of it.
func (p *Picker) Remove(address string) {
	p.sidecars = slices.DeleteFunc(p.sidecars, func(s *sidecar) bool { return s.Address == address })
}

// Addresses returns the addresses of the known sidecars, sorted.
func (p *Picker) Addresses() []string {
	addresses := make([]string, len(p.sidecars))
	for i, s := range p.sidecars {
		addresses[i] = s.Address
	}
	slices.Sort(addresses)
	return addresses
}

// Len returns the number of known sidecars.
func (p *Picker) Len() int {
	return len(p.sidecars)
}

// Pick returns the sidecar for an attempt, other than those already tried. It
// reports false if no sidecar is left. Sidecars that are backed off, paused,
// without slots or leaving are returned only if there is no better one.
// allowTrial is whether the attempt may go to a backend server on trial.
func (p *Picker) Pick(t eval.Context, tried []string, allowTrial bool) (Sidecar, bool) {
	var buffer [16]*sidecar
	for _, accepts := range []func(*sidecar) bool{
		func(s *sidecar) bool { return s.eligible(t.Now) && s.Slots > 0 && s.ready(t.Now, allowTrial) },
		func(s *sidecar) bool { return s.eligible(t.Now) },
		func(s *sidecar) bool { return !s.Leaving },
		func(*sidecar) bool { return true },
	} {
		candidates := buffer[:0]
		for _, s := range p.sidecars {
			if accepts(s) && !slices.Contains(tried, s.Address) {
				candidates = append(candidates, s)
			}
		}
		if len(candidates) > 0 {
			return p.choose(t, candidates, allowTrial).Sidecar, true
		}
	}
	return Sidecar{}, false
}

// PickAvailable is like Pick, but returns only sidecars that are expected to
// accept such an attempt, at once or after it has waited in their queue. available
// reports whether there is any such sidecar, already tried or not.
func (p *Picker) PickAvailable(t eval.Context, tried []string, allowTrial bool) (s Sidecar, found, available bool) {
	var buffer [16]*sidecar
	candidates := buffer[:0]
	for _, s := range p.sidecars {
		if !s.eligible(t.Now) || s.Slots == 0 || !s.mayAccept(t.Now, allowTrial) {
			continue
		}
		available = true
		if !slices.Contains(tried, s.Address) {
			candidates = append(candidates, s)
		}
	}
	if len(candidates) == 0 {
		return Sidecar{}, false, available
	}
	return p.choose(t, candidates, allowTrial).Sidecar, true, true
}

// Sent records that an attempt is sent to a sidecar. Answered, Refused, Unreachable
// or Canceled must follow, or the attempt counts as in flight for good.
func (p *Picker) Sent(address string) {
	if s := p.find(address); s != nil {
		s.inFlight++
	}
}

// Answered records that a sidecar replied to an attempt other than by a refusal. It
// takes the load that the sidecar reported and the time since Sent.
func (p *Picker) Answered(t eval.Context, address string, load ReportedLoad, took time.Duration) {
	s := p.find(address)
	if s == nil {
		return
	}
	s.inFlight = max(0, s.inFlight-1)
	s.setLoad(t, load)
	s.failures = 0
	s.refusedWithPause = false
	s.pathBackoffUntil = time.Time{}
	s.latencyAt = t.Now
	if s.latency == 0 {
		s.latency = took
		return
	}
	s.latency += time.Duration(smoothing * float64(took-s.latency))
}

// Refused records that a sidecar refused an attempt. If pause is positive, the
// sidecar expects to refuse further attempts for that time. If allowTrial is
// false, the pause doesn't apply to attempts that may go to a backend server on
// trial: the sidecar may still accept those.
func (p *Picker) Refused(t eval.Context, address string, load ReportedLoad, pause time.Duration, allowTrial bool) {
	s := p.find(address)
	if s == nil {
		return
	}
	s.inFlight = max(0, s.inFlight-1)
	s.setLoad(t, load)
	s.failures = 0
	s.busyBackoffUntil = t.Now.Add(busyBackoff)
	s.refusedWithPause = pause > 0 && load.Slots == 0
	if pause <= 0 {
		return
	}
	s.noTrialPausedUntil = t.Now.Add(pause)
	if allowTrial {
		s.pausedUntil = s.noTrialPausedUntil
	}
}

// Unreachable records that an attempt ended because the path to the sidecar
// failed or timed out.
func (p *Picker) Unreachable(t eval.Context, address string) {
	s := p.find(address)
	if s == nil {
		return
	}
	s.inFlight = max(0, s.inFlight-1)
	backoff := min(initialPathBackoff<<min(s.failures, 16), maxPathBackoff)
	s.failures++
	s.pathBackoffUntil = t.Now.Add(backoff)
}

// Canceled records that the caller gave up an attempt.
func (p *Picker) Canceled(address string) {
	if s := p.find(address); s != nil {
		s.inFlight = max(0, s.inFlight-1)
	}
}

func (p *Picker) find(address string) *sidecar {
	for _, s := range p.sidecars {
		if s.Address == address {
			return s
		}
	}
	return nil
}

// choose returns the better of two sidecars drawn at random. It draws from the
// ingress's own zone while a sidecar there has free slots.
func (p *Picker) choose(t eval.Context, from []*sidecar, allowTrial bool) *sidecar {
	from = preferAvailable(t, from, allowTrial)
	var buffer [16]*sidecar
	local := buffer[:0]
	for _, s := range from {
		if s.Zone == p.Zone && s.load(t.Now) < fullLoad {
			local = append(local, s)
		}
	}
	if len(local) > 0 {
		from = local
	}
	a := from[t.Random.IntN(len(from))]
	if len(from) == 1 {
		return a
	}
	b := from[t.Random.IntN(len(from)-1)]
	if b == a {
		b = from[len(from)-1]
	}
	if t.Random.IntN(exploreOneIn) > 0 && p.better(t, b, a) {
		return b
	}
	return a
}

// preferAvailable removes the sidecars that are full or last refused with a pause,
// unless no other is left. A few random attempts skip this filter. Those that may
// go to a backend server on trial find out which servers have recovered, the
// others which servers are back in service.
func preferAvailable(t eval.Context, from []*sidecar, allowTrial bool) []*sidecar {
	oneIn := exploreOneIn
	if allowTrial {
		oneIn = trialOneIn
	}
	if t.Random.IntN(oneIn) == 0 {
		return from
	}
	kept := slices.DeleteFunc(slices.Clone(from), func(s *sidecar) bool {
		return s.refusedWithPause || s.load(t.Now) >= fullLoad
	})
	if len(kept) == 0 {
		return from
	}
	return kept
}

// better reports whether one sidecar is a better choice than another. One with
// free slots is better than a full one, whatever its latency.
func (p *Picker) better(t eval.Context, one, other *sidecar) bool {
	hasCapacity, otherHasCapacity := one.load(t.Now) < fullLoad, other.load(t.Now) < fullLoad
	if hasCapacity != otherHasCapacity {
		return hasCapacity
	}
	return p.cost(t, one) < p.cost(t, other)
}

// cost estimates how long an attempt would take. It has no unit and is only
// compared between sidecars.
func (p *Picker) cost(t eval.Context, s *sidecar) float64 {
	cost := s.load(t.Now)
	if s.Zone != p.Zone {
		cost += remotePenalty
	}
	return (cost + fullLoad) * float64(max(s.decayedLatency(t.Now), time.Millisecond))
}

// decayedLatency returns the latency, halved for each latencyHalfLife since its
// last sample.
func (s *sidecar) decayedLatency(now time.Time) time.Duration {
	age := min(now.Sub(s.latencyAt)/latencyHalfLife, 32)
	return s.latency >> max(age, 0)
}

// load returns the busy slots and queued attempts as a fraction of the slots. It
// exceeds fullLoad if attempts are queued.
func (s *sidecar) load(now time.Time) float64 {
	busy := s.inFlight
	if now.Sub(s.loadAt) < maxLoadAge {
		busy = max(busy, s.othersBusy+s.inFlight)
	}
	return float64(busy) / float64(max(s.Slots, 1))
}

// setLoad stores a reported load, without this ingress's own attempts in flight,
// which the report includes.
func (s *sidecar) setLoad(t eval.Context, load ReportedLoad) {
	s.loadAt = t.Now
	if load.Slots > 0 {
		s.Slots = load.Slots
	}
	s.othersBusy = max(0, load.Slots-load.Free+load.Queued-s.inFlight)
}

// eligible reports whether the sidecar is neither leaving nor backed off after a
// path failure.
func (s *sidecar) eligible(now time.Time) bool {
	return !s.Leaving && !now.Before(s.pathBackoffUntil)
}

// ready reports whether the sidecar may accept such an attempt and has not just
// refused another.
func (s *sidecar) ready(now time.Time, allowTrial bool) bool {
	return !now.Before(s.busyBackoffUntil) && s.mayAccept(now, allowTrial)
}

// mayAccept reports whether the sidecar is expected to accept such an attempt, at
// once or into its queue: no pause that it named applies any more.
func (s *sidecar) mayAccept(now time.Time, allowTrial bool) bool {
	return !now.Before(s.pausedUntil) && (allowTrial || !now.Before(s.noTrialPausedUntil))
}

// Report is the state of one sidecar as the ingress sees it, for the debug dump.
type Report struct {
	Address  string  `json:"address"`
	Zone     string  `json:"zone"`
	Slots    int     `json:"slots"`
	InFlight int     `json:"under-way"`
	Load     float64 `json:"load"`
	Latency  string  `json:"latency"`
	Failures int     `json:"path-failures"`
	Avoided  bool    `json:"avoided"`
	Leaving  bool    `json:"leaving"`
}

// Dump returns a Report on every sidecar, sorted by address.
func (p *Picker) Dump(now time.Time) []Report {
	reports := make([]Report, 0, len(p.sidecars))
	for _, s := range p.sidecars {
		reports = append(reports, Report{
			Address:  s.Address,
			Zone:     string(s.Zone),
			Slots:    s.Slots,
			InFlight: s.inFlight,
			Load:     s.load(now),
			Latency:  s.latency.String(),
			Failures: s.failures,
			Avoided:  !s.eligible(now),
			Leaving:  s.Leaving,
		})
	}
	slices.SortFunc(reports, func(a, b Report) int { return cmp.Compare(a.Address, b.Address) })
	return reports
}
