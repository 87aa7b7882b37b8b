package node

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figwick/figwick/internal/base/eval"
	"github.com/figwick/figwick/internal/base/events"
	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/policy/tokens"
	"github.com/figwick/figwick/internal/proxy/front"
	"github.com/figwick/figwick/internal/state/config"
	"github.com/figwick/figwick/internal/state/member"
)

const (
	// quotaInterval is how often the quotas follow the membership.
	quotaInterval = 200 * time.Millisecond
	// maxQuotaWait bounds the wait for a grantor's answer.
	maxQuotaWait = 300 * time.Millisecond
	// quotaWaitFraction bounds it as a fraction of the target latency.
	quotaWaitFraction = 4
	// quotaEventInterval is the shortest time between two events about one organisation.
	quotaEventInterval = 10 * time.Second
	// quotaParts is the number of parts of each quota. Each has its own grantor, so that the
	// loss of one leaves an organisation two thirds until another node may take over.
	quotaParts = 3
	// quotaTries is the number of silent grantors for which a request may wait. Those that
	// are known to be silent are passed over at once.
	quotaTries = 2
	// quotaPartSeparator ends the name of the organisation in that of an account.
	quotaPartSeparator = "#"
	// spareQuotaPlaces is how many grantors of organisations without requests are remembered.
	spareQuotaPlaces = 64
)

type (
	// quotas implements front.Quotas. It keeps this node's tokens, asks the grantors for more,
	// and is itself the grantor of some organisations.
	quotas struct {
		node  *Node
		terms tokens.Terms
		// clock does not stop while the VM is suspended.
		clock   eval.Clock
		started time.Time
		// firstPart is the part of each quota that this node asks first.
		firstPart int
		mutex     sync.Mutex
		tenure    *member.Tenure
		// known are the nodes of the fleet, the lost ones included, and lost is the number of
		// these. sequence is that of the group for which they hold.
		known    []ident.Node
		lost     int
		sequence uint64
		places   map[ident.Organisation]quotaPlace
		grantor  *tokens.Grantor
		holder   *tokens.Holder
		lines    map[ident.Organisation]*quotaLine
		loggedAt map[quotaEvent]time.Time
		// loggedSuspensions is the number of suspensions that were logged.
		loggedSuspensions int
	}

	// quotaPlace is the grantor of an organisation. since is from when on that is this node,
	// if own is set.
	quotaPlace struct {
		record member.Record
		own    bool
		since  time.Time
	}

	// quotaEvent is an event about an organisation.
	quotaEvent struct {
		name   ident.Organisation
		number events.Number
	}

	// quotaLine holds the requests of one organisation that wait for the grantor's answer.
	quotaLine struct {
		waiters []*quotaWaiter
	}

	// quotaWaiter is one waiting request.
	quotaWaiter struct {
		verdict chan tokens.Verdict
	}
)

var _ front.Quotas = (*quotas)(nil)

// newQuotas returns nil if Config.QuotaWindow sets no bound.
func newQuotas(n *Node) *quotas {
	w := n.config.QuotaWindow
	if w.Length <= 0 {
		return nil
	}
	q := &quotas{
		node:     n,
		terms:    tokens.Terms{Window: w.Length, Overshoot: w.Overshoot, Slack: w.Slack},
		clock:    quotaClock{},
		places:   map[ident.Organisation]quotaPlace{},
		lines:    map[ident.Organisation]*quotaLine{},
		loggedAt: map[quotaEvent]time.Time{},
	}
	now := q.clock.Now()
	q.started = now
	q.firstPart = int(xxhash.Sum64String(string(n.config.ID)) % quotaParts)
	q.tenure = member.NewTenure(n.config.ID, now)
	q.grantor = tokens.NewGrantor(tokens.GrantorConfig{Terms: q.terms, Parts: quotaParts, Started: now, FirstStart: n.config.FirstStart})
	q.holder = tokens.NewHolder(q.terms, q)
	return q
}

// quotasOrNone returns the quotas for front.Config, where a nil pointer would not be nil.
func (n *Node) quotasOrNone() front.Quotas {
	if n.quotas == nil {
		return nil
	}
	return n.quotas
}

func (q *quotas) turn() eval.Context {
	return eval.Context{Now: q.clock.Now(), Random: q.node.config.Random}
}

// tick follows the membership and drops what is idle.
func (q *quotas) tick(context.Context) {
	working, known, lost, sequence, changed := q.node.fleet.quotaNodes(q.seenSequence())
	contacted := q.node.fleet.contacted(tokens.ContactTime)
	q.mutex.Lock()
	defer q.mutex.Unlock()
	t := q.turn()
	if changed {
		q.sequence = sequence
		q.known, q.lost = known, lost
		q.tenure.Update(t.Now, working)
		clear(q.places)
	}
	q.grantor.Tick(t, len(q.known)-q.lost, len(q.known))
	// At the first start of the fleet there is nobody yet who could have taken over.
	early := t.Now.Sub(q.started) < tokens.ContactTime || len(q.known) == 1
	if !contacted && (!q.node.config.FirstStart || !early) {
		q.grantor.Interrupt(t)
	}
	q.holder.Expire(t)
	if len(q.places) > q.holder.Len()+q.grantor.Len()+spareQuotaPlaces {
		clear(q.places)
	}
	for e, at := range q.loggedAt {
		if t.Now.Sub(at) >= quotaEventInterval {
			delete(q.loggedAt, e)
		}
	}
	if n := q.grantor.Suspensions(); n != q.loggedSuspensions {
		q.loggedSuspensions = n
		events.Emit(q.node.log, events.QuotaGrantorNew, "reason", "suspended", "pause", tokens.SettleTime)
	}
	q.node.meter.QuotaAccounts.Update(float64(q.grantor.Len()))
}

func (q *quotas) seenSequence() uint64 {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.sequence
}

// quotaNodes returns the working nodes, all nodes that are not known to have stopped, sorted, the
// number of the dead ones among these, and the group's sequence number. It reports false if that is the given one.
func (f *fleet) quotaNodes(seen uint64) (working, known []ident.Node, lost int, sequence uint64, changed bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	sequence = f.group.Sequence()
	if sequence == seen {
		return nil, nil, 0, sequence, false
	}
	for _, r := range f.group.Live() {
		known = append(known, r.ID)
	}
	for _, id := range f.group.Dead() {
		if r, _, _ := f.group.Find(id); !r.Gone {
			known = append(known, id)
			lost++
		}
	}
	slices.Sort(known)
	return f.group.Working(), known, lost, sequence, true
}

// contacted reports whether the nodes that watch this one have contacted it within the given time.
func (f *fleet) contacted(within time.Duration) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.group.Contacted(f.node.config.Clock.Now(), within)
}

// place returns the grantor of an organisation. The mutex is held.
func (q *quotas) place(name ident.Organisation) quotaPlace {
	if p, found := q.places[name]; found {
		return p
	}
	var p quotaPlace
	key := quotaKey(name)
	p.since, p.own = q.tenure.Since(key)
	if owners := q.node.fleet.ownersOf(key, 1); len(owners) > 0 {
		p.record = owners[0]
	}
	q.places[name] = p
	return p
}

// quotaKey returns the rendezvous key of an organisation's grantor.
func quotaKey(name ident.Organisation) string {
	return "quota/" + string(name)
}

// Window implements tokens.Selector. The windows are those of the wall clock, which the nodes
// share closely enough: the wrong window costs a node its token or gives it one too early.
func (q *quotas) Window() int64 {
	return q.node.config.Clock.Now().UnixNano() / int64(q.terms.Window)
}

// Selected implements tokens.Selector.
func (q *quotas) Selected(name ident.Organisation, window int64, n int) bool {
	if _, part := splitQuotaAccount(name); part != 0 {
		return false
	}
	key := quotaKey(name) + "/" + strconv.FormatInt(window, 10)
	return slices.Contains(member.Rendezvous(key, q.known, n), q.node.config.ID)
}

// Take implements front.Quotas. A part whose grantor has no credit or does not answer leaves the
// request to the next one. Each node begins with another part, so that all have the same demand.
func (q *quotas) Take(ctx context.Context, name ident.Organisation, l config.Limit, target time.Duration) front.QuotaVerdict {
	if l.Rate <= 0 {
		return front.QuotaVerdict{Result: front.QuotaAdmitted}
	}
	wait := maxQuotaWait
	if target > 0 {
		wait = min(wait, target/quotaWaitFraction)
	}
	refused := front.QuotaVerdict{Result: front.QuotaExceeded}
	for i := range quotaParts {
		part := (q.firstPart + i) % quotaParts
		v := q.takePart(ctx, quotaAccount(name, part), wait/quotaTries)
		if v.Result == tokens.Admitted {
			token := front.QuotaToken{Mark: v.Token.Mark, Grantor: v.Token.Grantor, Part: part}
			return front.QuotaVerdict{Result: front.QuotaAdmitted, Token: token}
		}
		if v.Result == tokens.Undecided {
			refused.Result = front.QuotaUndecided
		}
		if i == 0 || v.RetryAfter < refused.RetryAfter {
			refused.RetryAfter = v.RetryAfter
		}
	}
	if refused.Result == front.QuotaExceeded {
		q.mutex.Lock()
		q.logOnce(name, events.QuotaExceeded, "retry-after", refused.RetryAfter)
		q.mutex.Unlock()
	}
	return refused
}

// takePart takes a token of one part of a quota, and waits so long for its grantor.
func (q *quotas) takePart(ctx context.Context, account ident.Organisation, wait time.Duration) tokens.Verdict {
	q.mutex.Lock()
	t := q.turn()
	q.holder.Arrive(t, account)
	v := q.holder.Take(t, account)
	if v.Result != tokens.MustAsk {
		q.mutex.Unlock()
		return v
	}
	w := q.enqueue(ctx, account, wait)
	q.mutex.Unlock()
	ctx, done := context.WithTimeout(ctx, wait)
	defer done()
	select {
	case v = <-w.verdict:
	case <-ctx.Done():
		v = q.abandon(account, w)
	}
	return v
}

// quotaAccount returns the name under which package tokens knows a part of an organisation's quota.
func quotaAccount(name ident.Organisation, part int) ident.Organisation {
	return name + quotaPartSeparator + ident.Organisation(strconv.Itoa(part))
}

// splitQuotaAccount is the reverse of quotaAccount.
func splitQuotaAccount(account ident.Organisation) (name ident.Organisation, part int) {
	cut := strings.LastIndex(string(account), quotaPartSeparator)
	part, _ = strconv.Atoi(string(account[cut+len(quotaPartSeparator):]))
	return account[:cut], part
}

// enqueue adds a waiting request and starts asking for tokens unless that is under way. The
// mutex is held.
func (q *quotas) enqueue(ctx context.Context, name ident.Organisation, wait time.Duration) *quotaWaiter {
	w := &quotaWaiter{verdict: make(chan tokens.Verdict, 1)}
	line, asking := q.lines[name]
	if !asking {
		line = &quotaLine{}
		q.lines[name] = line
		go q.serveLine(context.WithoutCancel(ctx), name, line, wait)
	}
	line.waiters = append(line.waiters, w)
	return w
}

// abandon ends the wait of a request. It returns the verdict that has just come, if any.
func (q *quotas) abandon(name ident.Organisation, w *quotaWaiter) tokens.Verdict {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if line, found := q.lines[name]; found {
		line.waiters = slices.DeleteFunc(line.waiters, func(o *quotaWaiter) bool { return o == w })
	}
	select {
	case v := <-w.verdict:
		return v
	default:
		return tokens.Verdict{Result: tokens.Undecided, RetryAfter: quotaInterval}
	}
}

// serveLine asks for tokens until no request of the organisation waits for one.
func (q *quotas) serveLine(ctx context.Context, name ident.Organisation, line *quotaLine, wait time.Duration) {
	for {
		q.mutex.Lock()
		if len(line.waiters) == 0 {
			delete(q.lines, name)
			q.mutex.Unlock()
			return
		}
		t := q.turn()
		request, instance := q.holder.Ask(t, name, len(line.waiters))
		request.Known = len(q.known)
		place := q.place(name)
		q.mutex.Unlock()
		reply, err := q.ask(ctx, place, request, instance, wait)
		q.mutex.Lock()
		if err != nil {
			q.holder.Failed(q.turn(), name)
			organisation, _ := splitQuotaAccount(name)
			q.logOnce(organisation, events.QuotaGrantorSilent, "grantor", string(place.record.ID), "error", err)
		} else {
			q.holder.Reply(q.turn(), name, t.Now, request.Want, reply.instance, reply.Reply)
		}
		line.waiters = q.deliver(name, line.waiters)
		q.mutex.Unlock()
	}
}

// deliver gives the waiting requests their verdicts and returns those that wait on. The mutex is
// held.
func (q *quotas) deliver(name ident.Organisation, waiters []*quotaWaiter) []*quotaWaiter {
	t := q.turn()
	for i, w := range waiters {
		v := q.holder.Take(t, name)
		if v.Result == tokens.MustAsk {
			return waiters[i:]
		}
		w.verdict <- v
	}
	return nil
}

// logOnce logs an event unless one about the organisation was logged within
// quotaEventInterval. The mutex is held.
func (q *quotas) logOnce(name ident.Organisation, e events.Event, fields ...any) {
	now := q.clock.Now()
	key := quotaEvent{name: name, number: e.Number}
	if at, found := q.loggedAt[key]; found && now.Sub(at) < quotaEventInterval {
		return
	}
	q.loggedAt[key] = now
	events.Emit(q.node.log, e, append([]any{"organisation", string(name)}, fields...)...)
}

// Return implements front.Quotas.
func (q *quotas) Return(name ident.Organisation, token front.QuotaToken) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.holder.Return(quotaAccount(name, token.Part), tokens.Token{Mark: token.Mark, Grantor: token.Grantor})
}
