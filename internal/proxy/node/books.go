package node

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/base/turn"
	"github.com/figwick/figwick/internal/policy/desk"
	"github.com/figwick/figwick/internal/policy/floor"
	"github.com/figwick/figwick/internal/state/store"
)

const (
	bookPrefix = "floor/"
	// settleTime is the timeout for returning tokens to the store at shutdown.
	settleTime = 2 * time.Second
)

// books obtains, renews and returns the node's floor tokens: it synchronizes the
// node's entry in the floor ledger of each service with the store.
type books struct {
	node  *Node
	store *countedStore
}

func (b *books) tick(ctx context.Context) {
	var wants []ident.Service
	b.node.side.WithController(func(t turn.Turn, d *desk.Controller) { wants = d.LedgersDue(t.Now) })
	for _, name := range wants {
		if !b.write(ctx, name) {
			return
		}
	}
}

// settle returns the node's tokens to the store at shutdown.
func (b *books) settle(ctx context.Context) {
	ctx, done := context.WithTimeout(ctx, settleTime)
	defer done()
	b.tick(ctx)
}

// write reads a service's ledger and writes it back with the node's entry
// updated. It returns false if the store does not answer; the caller then leaves
// the other ledgers for the next tick.
func (b *books) write(ctx context.Context, name ident.Service) bool {
	key := bookPrefix + string(name)
	item, err := b.store.Get(ctx, key)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return false
	}
	var book floor.Ledger
	if err == nil && json.Unmarshal(item.Value, &book) != nil {
		book = floor.Ledger{}
	}
	dead := b.node.fleet.dead()
	known := false
	b.node.side.WithController(func(t turn.Turn, d *desk.Controller) { known = d.UpdateLedger(t.Now, name, dead, &book) })
	if !known {
		return true
	}
	text, err := json.Marshal(book)
	if err != nil {
		b.wrote(name, false)
		return true
	}
	_, err = b.store.CAS(ctx, key, text, item.Version, 0)
	switch {
	case err == nil:
		b.wrote(name, true)
	case errors.Is(err, store.ErrConflict), errors.Is(err, store.ErrTooLarge):
		b.wrote(name, false)
	default:
		b.node.side.WithController(func(_ turn.Turn, d *desk.Controller) { d.LedgerReplyLost(name) })
		return false
	}
	return true
}

func (b *books) wrote(name ident.Service, accepted bool) {
	b.node.side.WithController(func(_ turn.Turn, d *desk.Controller) { d.LedgerWritten(name, accepted) })
}
