package accept

import (
	"context"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/figwick/figwick/internal/state/store"
)

// WriteBack writes a node's configuration to a store that has lost it or parts of it: the
// chunks that are missing, and the Head if the store has an earlier one. A store with a
// later Head is left as it is. Several nodes may write back at once. After an error, part
// may have been written, and the caller should try again.
func (a *Applier) WriteBack(ctx context.Context, r *Replica) error {
	stored, err := a.readHead(ctx)
	if err != nil {
		return errors.Wrap(err, "accept: write back")
	}
	if stored.head.Revision > r.Revision() || r.Revision() == 0 {
		return nil
	}
	if stored.head.Revision == r.Revision() && stored.head.Apply != r.head.Apply {
		return errors.Newf("accept: write back: revision %d is apply %s in the store and %s here", r.Revision(), stored.head.Apply, r.head.Apply)
	}
	if err := a.writeMissing(ctx, r); err != nil {
		return errors.Wrapf(err, "accept: write back revision %d", r.Revision())
	}
	if stored.head.Revision == r.Revision() {
		return nil
	}
	_, err = a.Store.CAS(ctx, HeadKey, r.text, stored.version, store.Lease{})
	return errors.Wrapf(err, "accept: write back revision %d", r.Revision())
}

// writeMissing writes the replica's chunks and groups that the store lacks.
func (a *Applier) writeMissing(ctx context.Context, r *Replica) error {
	items, err := a.Store.List(ctx, chunkPrefix)
	if err != nil {
		return err
	}
	present := make(map[string]bool, len(items))
	for _, item := range items {
		present[strings.TrimPrefix(item.Key, chunkPrefix)] = true
	}
	names := append(chunkNames(r.head, r.groups), r.head.Groups...)
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		if present[name] {
			continue
		}
		text, found := r.Chunks([]string{name})[name]
		if !found {
			return errors.Newf("chunk %s cannot be read", name)
		}
		if err := a.createChunk(ctx, name, text); err != nil {
			return err
		}
	}
	return nil
}
