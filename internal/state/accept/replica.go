package accept

import (
	"context"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/state/config"
)

type (
	// Fetch returns the contents of the named chunks and groups. It may return
	// fewer than requested.
	Fetch func(ctx context.Context, names []string) (map[string][]byte, error)

	// Replica is one node's copy of the accepted configuration. It is immutable.
	// The zero value holds no configuration and has revision 0.
	Replica struct {
		head   Head
		text   []byte
		groups map[string]*nameGroup
		chunks map[string]*chunk
		// lists are the organisations of the chunks, and organisations the set of them.
		lists         []*config.KeyedOrganisations
		organisations *config.OrganisationSet
	}

	// nameGroup is a decoded group and its encoded text, which peers may fetch.
	nameGroup struct {
		names []string
		text  []byte
	}
)

// ErrNotNewer marks a revision that is not higher than the node's current one.
var ErrNotNewer = errors.New("accept: revision is not newer than the current one")

// Revision returns the configuration's revision; 0 means no configuration.
func (a *Replica) Revision() ident.Revision {
	return a.head.Revision
}

// Head returns the configuration's Head and its encoded text.
func (a *Replica) Head() (Head, []byte) {
	return a.head, a.text
}

// Chunks returns the contents of the named chunks and groups. It leaves out
// those that the replica does not hold.
func (a *Replica) Chunks(names []string) map[string][]byte {
	found := make(map[string][]byte, len(names))
	for _, name := range names {
		if group, ok := a.groups[name]; ok {
			found[name] = group.text
			continue
		}
		c, ok := a.chunks[name]
		if !ok {
			continue
		}
		if text, err := c.text(); err == nil {
			found[name] = text
		}
	}
	return found
}

// File reassembles the whole configuration file. It decompresses and decodes
// every chunk, which is slow for large configurations.
func (a *Replica) File() (*config.File, error) {
	texts := make([][]byte, 0, len(a.chunks))
	for name, c := range a.chunks {
		text, err := c.text()
		if err != nil {
			return nil, errors.Wrapf(err, "accept: chunk %s", name)
		}
		texts = append(texts, text)
	}
	return join(texts)
}

// Advance parses the text of a Head, fetches the chunks that the replica lacks
// and returns the next Replica and the Table compiled from it. It returns
// ErrNotNewer unless the Head's revision is higher than the replica's.
func (a *Replica) Advance(ctx context.Context, text []byte, fetch Fetch) (*Replica, *config.Table, error) {
	head, err := ParseHead(text)
	if err != nil {
		return nil, nil, err
	}
	if head.Revision <= a.head.Revision {
		return nil, nil, errors.Wrapf(ErrNotNewer, "revision %d, current revision %d", head.Revision, a.head.Revision)
	}
	groups, err := loadNamed(ctx, head.Groups, a.groups, parseNameGroup, fetch)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "accept: revision %d", head.Revision)
	}
	chunks, err := loadNamed(ctx, chunkNames(head, groups), a.chunks, parseChunk, fetch)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "accept: revision %d", head.Revision)
	}
	next := &Replica{head: head, text: text, groups: groups, chunks: chunks}
	return next, next.table(a), nil
}

// chunkNames returns the names of all chunks in bucket order.
func chunkNames(head Head, groups map[string]*nameGroup) []string {
	var all []string
	for _, group := range head.Groups {
		all = append(all, groups[group].names...)
	}
	return all
}

func parseNameGroup(text []byte) (*nameGroup, error) {
	names, err := ParseGroup(text)
	return &nameGroup{names: names, text: text}, err
}

// table builds the Table. The compiled services of unchanged chunks are reused, and the set of
// organisations if none of their chunks has changed.
func (a *Replica) table(previous *Replica) *config.Table {
	var entries []*config.Entry
	callerLimits := &bucketLimits{}
	var shared config.GlobalSettings
	seen := map[string]bool{}
	for _, name := range chunkNames(a.head, a.groups) {
		c := a.chunks[name]
		callerLimits.buckets = append(callerLimits.buckets, c)
		if !seen[name] {
			seen[name] = true
			entries = append(entries, c.entries...)
			shared.Hosts = append(shared.Hosts, c.hosts...)
			if c.intake != nil {
				shared.Intake = *c.intake
			}
			if c.organisations != nil {
				a.lists = append(a.lists, previous.sameList(len(a.lists), c.organisations))
			}
		}
	}
	if slices.Equal(a.lists, previous.lists) {
		a.organisations = previous.organisations
	} else {
		a.organisations = config.NewOrganisationSet(a.lists)
	}
	shared.Organisations = a.organisations
	return config.Assemble(a.head.Revision, entries, shared, callerLimits)
}

// sameList returns the replica's list of organisations at an index if it equals the given one,
// which may be of a chunk in which something else has changed. Otherwise it returns the given one.
func (a *Replica) sameList(index int, list *config.KeyedOrganisations) *config.KeyedOrganisations {
	if index < len(a.lists) && a.lists[index].Equal(list) {
		return a.lists[index]
	}
	return list
}

// loadNamed returns the parsed chunks or groups of the given names. It takes
// cached ones as they are, and fetches and parses the others. It calls fetch
// until all have arrived, and fails when a call returns none of the missing
// ones with a matching hash.
func loadNamed[T any](
	ctx context.Context, names []string, cached map[string]T, parse func(text []byte) (T, error), fetch Fetch,
) (map[string]T, error) {
	found := make(map[string]T, len(names))
	wanted := map[string]bool{}
	for _, name := range names {
		if value, ok := cached[name]; ok {
			found[name] = value
			continue
		}
		wanted[name] = true
	}
	for len(wanted) > 0 {
		missing := slices.Sorted(maps.Keys(wanted))
		fetched, err := fetch(ctx, missing)
		if err != nil {
			return nil, errors.Wrap(err, "fetch")
		}
		for name, text := range fetched {
			if !wanted[name] || !Verify(name, text) {
				continue
			}
			value, err := parse(text)
			if err != nil {
				return nil, errors.Wrapf(err, "chunk %s", name)
			}
			found[name] = value
			delete(wanted, name)
		}
		if len(wanted) == len(missing) {
			return nil, errors.Newf("no valid content fetched for chunk %s", missing[0])
		}
	}
	return found, nil
}

// ChunkKey returns the store key of a chunk or group.
func ChunkKey(name string) string {
	return chunkPrefix + name
}
