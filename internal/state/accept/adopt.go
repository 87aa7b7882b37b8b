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
	// Fetch gets the content of chunks by name. It may return fewer than asked
	// for.
	Fetch func(ctx context.Context, names []string) (map[string][]byte, error)

	// Adopter is the configuration in force at one node. It is immutable; the
	// zero value is none.
	Adopter struct {
		head   Head
		text   []byte
		groups map[string]*list
		chunks map[string]*chunk
	}

	// list is a group of names and its text.
	list struct {
		names []string
		text  []byte
	}
)

// ErrOld marks a revision that is not higher than the one in force.
var ErrOld = errors.New("accept: not newer than the revision in force")

// Revision returns the one in force; zero is none.
func (a *Adopter) Revision() ident.Revision {
	return a.head.Revision
}

// Head returns the Head in force and its text.
func (a *Adopter) Head() (Head, []byte) {
	return a.head, a.text
}

// Chunks returns the contents of those of the named chunks that are here.
func (a *Adopter) Chunks(names []string) map[string][]byte {
	found := make(map[string][]byte, len(names))
	for _, name := range names {
		if l, here := a.groups[name]; here {
			found[name] = l.text
			continue
		}
		c, here := a.chunks[name]
		if !here {
			continue
		}
		if text, err := c.text(); err == nil {
			found[name] = text
		}
	}
	return found
}

// File puts the whole file together. It is dear at large sizes.
func (a *Adopter) File() (*config.File, error) {
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

// Offer takes the text of a Head, fetches the chunks that are missing and
// returns the Adopter that follows, with the Table to put in force. It only
// follows to higher revisions.
func (a *Adopter) Offer(ctx context.Context, text []byte, fetch Fetch) (*Adopter, *config.Table, error) {
	head, err := ParseHead(text)
	if err != nil {
		return nil, nil, err
	}
	if head.Revision <= a.head.Revision {
		return nil, nil, errors.Wrapf(ErrOld, "revision %d, in force is %d", head.Revision, a.head.Revision)
	}
	groups, err := gather(ctx, head.Groups, a.groups, readList, fetch)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "accept: revision %d", head.Revision)
	}
	chunks, err := gather(ctx, names(head, groups), a.chunks, readChunk, fetch)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "accept: revision %d", head.Revision)
	}
	next := &Adopter{head: head, text: text, groups: groups, chunks: chunks}
	return next, next.table(), nil
}

// names returns the names of all chunks, in the order of their buckets.
func names(head Head, groups map[string]*list) []string {
	var all []string
	for _, g := range head.Groups {
		all = append(all, groups[g].names...)
	}
	return all
}

func readList(text []byte) (*list, error) {
	names, err := ParseGroup(text)
	return &list{names: names, text: text}, err
}

// table assembles what the chunks hold. Services of chunks that stayed are used
// as they are.
func (a *Adopter) table() *config.Table {
	var entries []*config.Entry
	limits := &bucketLimits{}
	var shared config.Shared
	seen := map[string]bool{}
	for _, name := range names(a.head, a.groups) {
		c := a.chunks[name]
		limits.buckets = append(limits.buckets, c)
		if !seen[name] {
			seen[name] = true
			entries = append(entries, c.entries...)
			shared.Hosts = append(shared.Hosts, c.hosts...)
			if c.intake != nil {
				shared.Intake = *c.intake
			}
		}
	}
	return config.Assemble(a.head.Revision, entries, shared, limits)
}

// gather returns what the named texts hold, fetching and reading only those not
// here.
func gather[T any](
	ctx context.Context, names []string, here map[string]T, read func(text []byte) (T, error), fetch Fetch,
) (map[string]T, error) {
	found := make(map[string]T, len(names))
	wanted := map[string]bool{}
	for _, name := range names {
		if value, known := here[name]; known {
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
			value, err := read(text)
			if err != nil {
				return nil, errors.Wrapf(err, "chunk %s", name)
			}
			found[name] = value
			delete(wanted, name)
		}
		if len(wanted) == len(missing) {
			return nil, errors.Newf("lacks chunk %s", missing[0])
		}
	}
	return found, nil
}

// ChunkKey is where a chunk stands in the store.
func ChunkKey(name string) string {
	return chunkPrefix + name
}
