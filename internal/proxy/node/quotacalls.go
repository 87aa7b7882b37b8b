package node

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/peer/link"
	"github.com/figwick/figwick/internal/peer/wire"
	"github.com/figwick/figwick/internal/policy/tokens"
)

var (
	errNoGrantor = errors.New("node: no working node to grant tokens")
	errNoRelay   = errors.New("node: no working node to relay to the grantor")
)

type (
	// quotaReply is a grantor's answer, with the grantor's run.
	quotaReply struct {
		tokens.Reply
		instance ident.Instance
	}

	// quotaClock is the clock of tokens. It does not stop while the VM is suspended.
	quotaClock struct{}
)

// Now returns the time since the VM has started, as a time that has no other meaning.
func (quotaClock) Now() time.Time {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// Every kernel since Linux 2.6.39 has this clock.
		panic(errors.Wrap(err, "node: read the boot-time clock"))
	}
	return time.Unix(0, now.Nano())
}

// ask sends a request to the grantor, and once more through a relay if no answer has come in
// half of the given time.
func (q *quotas) ask(
	ctx context.Context, p quotaPlace, r tokens.Request, instance ident.Instance, wait time.Duration,
) (quotaReply, error) {
	if p.own {
		return fromQuotaReply(q.receive(q.toQuotaRequest(r, instance))), nil
	}
	if p.record.Address == "" {
		return quotaReply{}, errNoGrantor
	}
	ctx, done := context.WithTimeout(ctx, wait)
	defer done()
	type result struct {
		reply   *wire.QuotaReply
		err     error
		relayed bool
	}
	results := make(chan result, 2)
	send := func(r tokens.Request, relayed bool) {
		m := q.toQuotaRequest(r, instance)
		q.node.meter.QuotaCalls.Inc(1)
		reply, err := q.send(ctx, p.record.Address, m, relayed)
		results <- result{reply, err, relayed}
	}
	go send(r, false)
	half := q.node.config.Clock.NewTimer(wait / 2)
	defer half.Stop()
	pending, relaying := 1, false
	var err error
	for pending > 0 {
		relay := false
		select {
		case got := <-results:
			pending--
			if got.err == nil {
				if got.relayed && pending > 0 {
					// The grantor runs, but the session with it does not answer.
					q.node.links.Drop(p.record.Address)
				}
				return fromQuotaReply(got.reply), nil
			}
			err = errors.CombineErrors(err, got.err)
			relay = !got.relayed
		case <-half.Chan():
			relay = true
		case <-ctx.Done():
			return quotaReply{}, errors.Wrapf(ctx.Err(), "node: ask %s for tokens", p.record.Address)
		}
		if relay && !relaying {
			relaying = true
			pending++
			// The first message may arrive too, so the second returns nothing.
			r.Returned = nil
			go send(r, true)
		}
	}
	return quotaReply{}, err
}

// send sends a request and returns the reply.
func (q *quotas) send(ctx context.Context, address string, m *wire.QuotaRequest, relayed bool) (*wire.QuotaReply, error) {
	if !relayed {
		return call[wire.QuotaReply](ctx, q.node, address, wire.KindQuota, m, wire.KindQuotaReply)
	}
	relays := q.node.fleet.Relays(address, 1)
	if len(relays) == 0 {
		return nil, errNoRelay
	}
	stream, err := q.node.links.Open(ctx, relays[0])
	if err != nil {
		return nil, err
	}
	defer stream.Release()
	defer stream.Close()
	stop := context.AfterFunc(ctx, stream.Cancel)
	defer stop()
	reply, err := exchangeThroughRelay(stream, address, m)
	return reply, errors.Wrapf(err, "node: ask %s for tokens through %s", address, relays[0])
}

// exchangeThroughRelay sends a request on a stream to a relay and returns the grantor's reply.
func exchangeThroughRelay(s *link.Stream, address string, m *wire.QuotaRequest) (*wire.QuotaReply, error) {
	if err := s.Send(wire.KindRelay, &wire.Relay{Address: address}); err != nil {
		return nil, err
	}
	if err := s.Send(wire.KindQuota, m); err != nil {
		return nil, err
	}
	return wire.Receive[wire.QuotaReply](s.Conn, wire.KindQuotaReply)
}

// receive answers a request for tokens.
func (q *quotas) receive(m *wire.QuotaRequest) *wire.QuotaReply {
	if q == nil {
		return &wire.QuotaReply{}
	}
	limit, found := q.node.front.Table().OrganisationLimit(ident.Organisation(m.Organisation))
	if !found || m.Part >= quotaParts {
		return &wire.QuotaReply{}
	}
	reply := &wire.QuotaReply{ValidMs: q.terms.Validity().Milliseconds(), Instance: uint64(q.node.instance)}
	if limit.Rate <= 0 {
		reply.Known, reply.Granted = true, m.Want
		return reply
	}
	account := quotaAccount(ident.Organisation(m.Organisation), int(m.Part))
	r := tokens.Request{Organisation: account, Demand: m.Demand, Want: int(m.Want), Known: int(m.Known)}
	if ident.Instance(m.Instance) == q.node.instance {
		for i, mark := range m.ReturnedMarks[:min(len(m.ReturnedMarks), len(m.Returned))] {
			r.Returned = append(r.Returned, tokens.Returned{Mark: mark, Count: int(m.Returned[i])})
		}
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	p := q.place(account)
	if !p.own {
		return reply
	}
	granted := q.grantor.Grant(q.turn(), r, tokens.Limit{Rate: limit.Rate, Burst: limit.Burst}, p.since)
	reply.Known = granted.Known
	reply.Granted = uint32(granted.Granted)
	reply.RetryAfterMs = ceilMilliseconds(granted.RetryAfter)
	reply.Mark = granted.Mark
	return reply
}

// ceilMilliseconds rounds up, so that there is credit after the time.
func ceilMilliseconds(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}

func (q *quotas) toQuotaRequest(r tokens.Request, instance ident.Instance) *wire.QuotaRequest {
	name, part := splitQuotaAccount(r.Organisation)
	m := &wire.QuotaRequest{
		Organisation: string(name),
		Part:         uint32(part),
		Demand:       r.Demand,
		Want:         uint32(r.Want),
		Instance:     uint64(instance),
		Revision:     uint64(q.node.revision()),
		From:         string(q.node.config.ID),
		Known:        uint32(r.Known),
	}
	for _, back := range r.Returned {
		m.Returned = append(m.Returned, uint32(back.Count))
		m.ReturnedMarks = append(m.ReturnedMarks, back.Mark)
	}
	return m
}

func fromQuotaReply(m *wire.QuotaReply) quotaReply {
	return quotaReply{instance: ident.Instance(m.Instance), Reply: tokens.Reply{
		Granted:    int(m.Granted),
		RetryAfter: time.Duration(m.RetryAfterMs) * time.Millisecond,
		Mark:       m.Mark,
		Known:      m.Known,
	}}
}
