package route

import (
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
	// maxLoadAge is how long a reported load is shown in the debug dump.
	maxLoadAge = 2 * time.Second
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
		// Mean is the mean service time of the backend servers. Zero means not known.
		Mean time.Duration
	}

	// Picker chooses among the sidecars of one service. It is not safe for
	// concurrent use.
	Picker struct {
		// Zone is the availability zone of the ingress.
		Zone ident.Zone
		// Target is the target latency of the request that a sidecar is picked for next.
		// Zero means that it has none.
		Target time.Duration
		// Bytes is the expected length of that request's body and its response's.
		Bytes    int64
		sidecars []*sidecar
		// zones holds the mean load of the sidecars of each zone, and means the mean service
		// time of all.
		zones map[ident.Zone]*average
		means average
		picks ZoneReport
	}

	sidecar struct {
		Sidecar
		// announced is the number of slots by membership. Slots is that of the last reply.
		announced int
		// inFlight is the number of this ingress's own attempts at the sidecar.
		inFlight int
		// othersBusy is the number of busy slots and queued attempts that the
		// sidecar last reported, at loadAt, without this ingress's own.
		othersBusy int
		loadAt     time.Time
		// mean is the mean service time that the sidecar last reported, at meanAt. For a
		// sidecar that reports none, it is the moving average of the time between Sent and
		// Answered.
		mean   time.Duration
		meanAt time.Time
		// latency is the moving average of the time between Sent and Answered, with its
		// last sample at latencyAt.
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
		// A reported number of slots holds until membership has another one.
		reported := known.Slots
		unchanged := s.Slots == known.announced
		known.Sidecar, known.announced = s, s.Slots
		if unchanged && s.Slots > 0 {
			known.Slots = reported
		}
		return
	}
	p.sidecars = append(p.sidecars, &sidecar{Sidecar: s, announced: s.Slots})
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
	p.setLoad(t, s, load)
	if load.Mean <= 0 {
		mean := took
		if s.mean > 0 {
			mean = s.mean + time.Duration(smoothing*float64(took-s.mean))
		}
		p.setMean(t, s, mean)
	}
	s.observeLatency(t.Now, took)
	s.failures = 0
	s.refusedWithPause = false
	s.pathBackoffUntil = time.Time{}
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
	p.setLoad(t, s, load)
	if load.Slots > 0 && p.comparesTimes() {
		// Whatever slots it reports as free, this ingress does not get one now.
		s.othersBusy = max(s.othersBusy, s.Slots-s.inFlight)
	}
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
