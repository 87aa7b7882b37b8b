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
		chunks map[string][]byte
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
		if text, ok := a.chunks[name]; ok {
			found[name] = text
		}
	}
	return found
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
	file, err := Join(slices.Collect(maps.Values(chunks)))
	if err != nil {
		return nil, nil, err
	}
	next := &Adopter{head: head, text: text, chunks: chunks}
	return next, config.Compile(head.Revision, file), nil
}

// gather returns all chunks of a Head, fetching only those not here.
func (a *Adopter) gather(ctx context.Context, head Head, fetch Fetch) (map[string][]byte, error) {
	chunks := a.Chunks(head.Chunks)
	var missing []string
	for _, name := range head.Chunks {
		if _, here := chunks[name]; !here {
			missing = append(missing, name)
		}
	}
	for len(missing) > 0 {
		fetched, err := fetch(ctx, missing)
		if err != nil {
			return nil, errors.Wrapf(err, "accept: fetch revision %d", head.Revision)
		}
		before := len(missing)
		missing = slices.DeleteFunc(missing, func(name string) bool {
			text, got := fetched[name]
			if !got || !Verify(name, text) {
				return false
			}
			chunks[name] = text
			return true
		})
		if len(missing) == before {
			return nil, errors.Newf("accept: revision %d lacks chunk %s", head.Revision, missing[0])
		}
	}
	return chunks, nil
}

// ChunkKey is where a chunk stands in the store.
func ChunkKey(name string) string {
	return chunkPrefix + name
}
