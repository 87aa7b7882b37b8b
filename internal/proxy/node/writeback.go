package node

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/figwick/figwick/internal/base/events"
	"github.com/figwick/figwick/internal/state/accept"
	"github.com/figwick/figwick/internal/state/store"
)

const (
	// settleTime is how long after the store has come back from an older copy a node waits
	// for what other nodes know before it accepts a configuration.
	settleTime = 2 * time.Second
	// writeBackPeriod is how long after that the store's configuration is compared with the
	// one in force. An apply that began before may delete chunks late.
	writeBackPeriod = time.Minute
	// keepClaimsTimeout is how long a node tries to write its claims again, and
	// keepClaimsRetry the wait after a failed store call.
	keepClaimsTimeout = time.Minute
	keepClaimsRetry   = time.Second
	// peerConfigTimeout is the timeout for fetching a newer configuration from a peer
	// before an apply.
	peerConfigTimeout = 3 * time.Second
)

// restoreState records that the store has come back from an older copy. It is safe for
// concurrent use.
type restoreState struct {
	mutex sync.Mutex
	// at is the time of the last restore; zero if there was none.
	at time.Time
	// pending is set until the store has been found complete after writeBackPeriod.
	pending bool
}

func (r *restoreState) note(now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.at = now
	r.pending = true
}

// within reports whether the last restore is less than d ago.
func (r *restoreState) within(now time.Time, d time.Duration) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return !r.at.IsZero() && now.Sub(r.at) < d
}

func (r *restoreState) isPending() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.pending
}

// complete records that the store was found complete at the given time.
func (r *restoreState) complete(now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.pending = r.pending && now.Sub(r.at) < writeBackPeriod
}

// noteRestore records that the store has come back from an older copy.
func (c *configSync) noteRestore(store.Era) {
	c.restored.note(c.node.config.Clock.Now())
}

// keepClaims writes the claims of idempotency keys to the store again after it has come back from an
// older copy. It doesn't wait for the store.
func (n *Node) keepClaims() {
	n.keys.Settle()
	go func() {
		ctx, done := context.WithTimeout(context.Background(), keepClaimsTimeout)
		defer done()
		for ctx.Err() == nil {
			err := n.keys.WriteBack(ctx)
			if err == nil {
				return
			}
			events.Emit(n.log, events.ClaimsUnwritten, "error", err)
			select {
			case <-n.config.Clock.After(keepClaimsRetry):
			case <-ctx.Done():
			}
		}
	}()
}

// writeBack writes the configuration in force to the store if the store has lost it. The
// watchers do so. An error is logged and the next call tries again.
func (c *configSync) writeBack(ctx context.Context) {
	if !c.restored.isPending() || !c.isWatcher() {
		return
	}
	began := c.node.config.Clock.Now()
	applier := accept.Applier{Store: c.store, Clock: c.node.config.Clock}
	if err := applier.WriteBack(ctx, c.current()); err != nil {
		events.Emit(c.node.log, events.ConfigUnwritten, "revision", uint64(c.revision()), "error", err)
		return
	}
	c.restored.complete(began)
}

// Known implements accept.Fleet. It fetches a newer configuration from the peer that has
// it. If that fails, only its revision is known.
func (c *configSync) Known(ctx context.Context) (accept.Known, error) {
	now := c.node.config.Clock.Now()
	if c.restored.within(now, settleTime) {
		return accept.Known{}, errors.Newf("node: the store came back from an older copy less than %s ago", settleTime)
	}
	newest := c.node.fleet.newest()
	if newest.Address != "" && newest.Revision > c.revision() {
		ctx, done := context.WithTimeout(ctx, peerConfigTimeout)
		c.fetchFrom(ctx, newest.Address)
		done()
	}
	current := c.current()
	return accept.Known{
		Replica:  current,
		Revision: max(newest.Revision, current.Revision()),
		Restored: c.restored.within(now, writeBackPeriod),
	}, nil
}

// Accepted implements accept.Fleet.
func (c *configSync) Accepted(ctx context.Context, head []byte, fetch accept.Fetch) {
	c.adoptIfNewer(ctx, head, "apply", fetch)
}
