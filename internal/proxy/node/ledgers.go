package node

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/figwick/figwick/internal/base/eval"
	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/policy/admit"
	"github.com/figwick/figwick/internal/policy/floor"
	"github.com/figwick/figwick/internal/state/store"
)

const (
	ledgerPrefix = "floor/"
	// returnTimeout is the timeout for returning tokens to the store at shutdown.
	returnTimeout = 2 * time.Second
)

// ledgers obtains, renews and returns the node's floor tokens: it synchronizes the
// node's entry in the floor ledger of each service with the store.
type ledgers struct {
	node  *Node
	store *countedStore
}

func (b *ledgers) tick(ctx context.Context) {
	var due []ident.Service
	b.node.side.WithController(func(t eval.Context, d *admit.Controller) { due = d.LedgersDue(t.Now) })
	for _, name := range due {
		if !b.update(ctx, name) {
			return
		}
	}
}

// returnTokens returns the node's tokens to the store at shutdown.
func (b *ledgers) returnTokens(ctx context.Context) {
	ctx, done := context.WithTimeout(ctx, returnTimeout)
	defer done()
	b.tick(ctx)
}

// noteRestore records that the store has come back from an older copy.
func (b *ledgers) noteRestore() {
	b.node.side.WithController(func(t eval.Context, d *admit.Controller) { d.StoreRestored(t.Now) })
}

// update reads a service's ledger and writes it back with the node's entry
// updated. It returns false if the store does not answer; the caller then leaves
// the other ledgers for the next tick.
func (b *ledgers) update(ctx context.Context, name ident.Service) bool {
	key := ledgerPrefix + string(name)
	item, err := b.store.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		// The Ledger may be created only in the era in which it was missing.
		item.Version = store.Version{Era: b.store.Era()}
	} else if err != nil {
		return false
	}
	var ledger floor.Ledger
	if err == nil && json.Unmarshal(item.Value, &ledger) != nil {
		ledger = floor.Ledger{}
	}
	ledger.NoteEra(item.Version.Era)
	dead := b.node.fleet.dead()
	known := false
	b.node.side.WithController(func(t eval.Context, d *admit.Controller) { known = d.UpdateLedger(t.Now, name, dead, &ledger) })
	if !known {
		return true
	}
	text, err := json.Marshal(ledger)
	if err != nil {
		b.writeDone(name, false)
		return true
	}
	_, err = b.store.CAS(ctx, key, text, item.Version, store.Lease{})
	switch {
	case err == nil:
		b.writeDone(name, true)
	case errors.Is(err, store.ErrConflict), errors.Is(err, store.ErrTooLarge):
		b.writeDone(name, false)
	default:
		b.node.side.WithController(func(_ eval.Context, d *admit.Controller) { d.LedgerReplyLost(name) })
		return false
	}
	return true
}

func (b *ledgers) writeDone(name ident.Service, accepted bool) {
	b.node.side.WithController(func(_ eval.Context, d *admit.Controller) { d.LedgerWritten(name, accepted) })
}
