package accept

import (
	"context"
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
		chunks map[string]*chunk
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
	chunks, err := a.gather(ctx, head, fetch)
	if err != nil {
		return nil, nil, err
	}
	next := &Adopter{head: head, text: text, chunks: chunks}
	return next, next.table(), nil
}

// table assembles what the chunks hold. Services of chunks that stayed are used
// as they are.
func (a *Adopter) table() *config.Table {
	var entries []*config.Entry
	limits := &bucketLimits{buckets: make([]*chunk, len(a.head.Chunks))}
	for i, name := range a.head.Chunks {
		limits.buckets[i] = a.chunks[name]
		entries = append(entries, a.chunks[name].entries...)
	}
	return config.Assemble(a.head.Revision, entries, limits)
}

// gather returns all chunks of a Head, fetching and reading only those not
// here.
func (a *Adopter) gather(ctx context.Context, head Head, fetch Fetch) (map[string]*chunk, error) {
	chunks := make(map[string]*chunk, len(head.Chunks))
	var missing []string
	for _, name := range head.Chunks {
		if c, here := a.chunks[name]; here {
			chunks[name] = c
		} else if !slices.Contains(missing, name) {
			missing = append(missing, name)
		}
	}
	for len(missing) > 0 {
		fetched, err := fetch(ctx, missing)
		if err != nil {
			return nil, errors.Wrapf(err, "accept: fetch revision %d", head.Revision)
		}
		before := len(missing)
		missing, err = take(chunks, missing, fetched)
		if err != nil {
			return nil, err
		}
		if len(missing) == before {
			return nil, errors.Newf("accept: revision %d lacks chunk %s", head.Revision, missing[0])
		}
	}
	return chunks, nil
}

// take reads the chunks that were fetched and returns the names still missing.
func take(chunks map[string]*chunk, missing []string, fetched map[string][]byte) ([]string, error) {
	var left []string
	for _, name := range missing {
		text, got := fetched[name]
		if !got || !Verify(name, text) {
			left = append(left, name)
			continue
		}
		c, err := readChunk(text)
		if err != nil {
			return nil, errors.Wrapf(err, "accept: chunk %s", name)
		}
		chunks[name] = c
	}
	return left, nil
}

// ChunkKey is where a chunk stands in the store.
func ChunkKey(name string) string {
	return chunkPrefix + name
}
