package node

import (
	"context"
	"sync"
	"time"

	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/peer/wire"
	"github.com/figwick/figwick/internal/policy/limit"
	"github.com/figwick/figwick/internal/state/member"
)

// allocators implements the callers' rate limits across the nodes. It reports the demand
// seen at this ingress to the node that is the allocator of each caller's limit,
// and it is itself the allocator of some callers.
type allocators struct {
	node      *Node
	mutex     sync.Mutex
	allocator limit.Allocator
}

func newAllocators(n *Node) *allocators {
	return &allocators{node: n, allocator: limit.Allocator{Since: n.started}}
}

// tick reports the callers' demand to their allocators and updates this node's own
// allocator.
func (h *allocators) tick(ctx context.Context) {
	working := len(h.node.fleet.others()) + 1
	var demands []limit.Demand
	h.node.front.WithLimits(func(now time.Time, l *limit.Limiter) {
		l.Nodes = working
		demands = l.Demands(now)
	})
	h.mutex.Lock()
	h.allocator.VisibleFraction = h.node.fleet.visibleFraction()
	h.allocator.Expire(h.node.config.Clock.Now())
	h.mutex.Unlock()
	batches := map[string]*wire.Demands{}
	for _, d := range demands {
		owners := h.node.fleet.ownersOf(string(d.Key.Service)+"/"+string(d.Key.Caller), 1)
		if len(owners) == 0 {
			continue
		}
		b, found := batches[owners[0].Address]
		if !found {
			b = &wire.Demands{From: string(h.node.config.ID)}
			batches[owners[0].Address] = b
		}
		b.Demands = append(b.Demands, toDemand(d))
	}
	for address, b := range batches {
		go h.exchange(ctx, address, b)
	}
}

// exchange sends demands to an allocator and stores the shares that it grants. The
// lease of a share counts from before the request was sent.
func (h *allocators) exchange(ctx context.Context, address string, b *wire.Demands) {
	ctx, done := context.WithTimeout(ctx, exchangeTimeout)
	defer done()
	asked := h.node.config.Clock.Now()
	reply, err := call[wire.Shares](ctx, h.node, address, wire.KindDemands, b, wire.KindShares)
	if err != nil {
		return
	}
	h.node.front.WithLimits(func(_ time.Time, l *limit.Limiter) {
		for _, s := range reply.Shares {
			l.SetShare(asked, limit.Share{
				Key:       limit.Key{Service: ident.Service(s.Service), Caller: ident.Caller(s.Caller)},
				PerSecond: s.PerSecond,
			})
		}
	})
}

// receive records another node's demands and returns the shares granted to it.
func (h *allocators) receive(m *wire.Demands) *wire.Shares {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := h.node.config.Clock.Now()
	reply := &wire.Shares{}
	for _, d := range m.Demands {
		s := h.allocator.Assign(now, ident.Node(m.From), limit.Demand{
			Key:       limit.Key{Service: ident.Service(d.Service), Caller: ident.Caller(d.Caller)},
			PerSecond: d.PerSecond,
			Rate:      limit.Rate{PerSecond: d.Rate, Burst: d.Burst},
		})
		reply.Shares = append(reply.Shares, &wire.Share{
			Service: d.Service, Caller: d.Caller, PerSecond: s.PerSecond,
		})
	}
	return reply
}

func toDemand(d limit.Demand) *wire.Demand {
	return &wire.Demand{
		Service:   string(d.Key.Service),
		Caller:    string(d.Key.Caller),
		PerSecond: d.PerSecond,
		Rate:      d.Rate.PerSecond,
		Burst:     d.Rate.Burst,
	}
}

// visibleFraction returns live / (live + lost), where lost nodes are those that died
// without having announced that they left.
func (f *fleet) visibleFraction() float64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	lost := 0
	for _, id := range f.group.Dead() {
		if r, state, _ := f.group.Find(id); state == member.Dead && !r.Gone {
			lost++
		}
	}
	live := len(f.group.Live())
	return float64(live) / float64(live+lost)
}

// addSeeds adds addresses through which the node may join the fleet.
func (f *fleet) addSeeds(seeds []string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.group.AddSeeds(seeds)
}
