package accept

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/state/config"
	"github.com/figwick/figwick/internal/state/store"
)

const (
	// HeadKey is where the Head stands.
	HeadKey = "config/head"

	chunkPrefix = "config/chunk/"
	// pastLength is how many accepted applies a Head remembers.
	pastLength = 64
	// firstPause and mostPause bound the wait between two tries.
	firstPause = 50 * time.Millisecond
	mostPause  = 2 * time.Second
)

// The results of an apply.
const (
	// Accepted files are the accepted configuration now.
	Accepted State = "accepted"
	// Superseded files were accepted, and another since.
	Superseded State = "superseded"
	// Conflicting files were not accepted; another was.
	Conflicting State = "conflict"
	// Unresolved files may have been accepted: the store stopped to answer.
	Unresolved State = "unresolved"
)

type (
	// State is what became of an apply.
	State string

	// Past is one accepted apply.
	Past struct {
		Revision ident.Revision `json:"revision"`
		Apply    ident.Apply    `json:"apply"`
		By       string         `json:"by"`
	}

	// Head names the accepted configuration.
	Head struct {
		Past
		Chunks []string `json:"chunks"`
		// Before is the applies accepted before, the latest first.
		Before []Past `json:"before,omitempty"`
	}

	// Result is the truth about one apply.
	Result struct {
		State State `json:"state"`
		// Revision is the one this apply was accepted as, if it was.
		Revision ident.Revision `json:"revision,omitempty"`
		// Current is the accepted apply that was seen last.
		Current Past `json:"current"`
	}

	// Request asks for a file to be accepted.
	Request struct {
		File  *config.File
		Apply ident.Apply
		By    string
		// Expect is the revision the operator has seen; where it is not zero,
		// any other is a conflict.
		Expect ident.Revision
	}

	// Store is what configurations are kept in.
	Store interface {
		Get(ctx context.Context, key string) (store.Item, error)
		CAS(ctx context.Context, key string, value []byte, version store.Version, lease store.Lease) (store.Item, error)
		Delete(ctx context.Context, key string, version store.Version) error
		List(ctx context.Context, prefix string) ([]store.Item, error)
	}

	// Sleeper waits between two tries.
	Sleeper interface {
		After(d time.Duration) <-chan time.Time
	}

	// Acceptor applies files to a store.
	Acceptor struct {
		Store Store
		Clock Sleeper
	}

	standing struct {
		head    Head
		version store.Version
	}
)

// Apply asks for a file to be accepted, until the context ends. The error is
// nil for every State but Unresolved.
func (a *Acceptor) Apply(ctx context.Context, r Request) (Result, error) {
	texts, err := split(r.File)
	if err != nil {
		return Result{State: Conflicting}, err
	}
	base, err := a.base(ctx)
	if err != nil {
		return Result{State: Conflicting}, errors.Wrap(err, "accept: nothing was written")
	}
	if r.Expect != 0 && base.head.Revision != r.Expect {
		return Result{State: Conflicting, Current: base.head.Past}, nil
	}
	next, missing := follow(base.head, r, texts)
	if err := a.writeChunks(ctx, missing); err != nil {
		return Result{State: Conflicting, Current: base.head.Past}, errors.Wrap(err, "accept: the head was not moved")
	}
	result, err := a.move(ctx, base, next)
	if result.State == Accepted {
		a.clean(ctx, next)
	}
	return result, err
}

// base reads the Head that an apply builds on.
func (a *Acceptor) base(ctx context.Context) (standing, error) {
	var found standing
	err := a.persist(ctx, func() error {
		var err error
		found, err = a.read(ctx)
		return err
	})
	return found, err
}

func (a *Acceptor) read(ctx context.Context) (standing, error) {
	item, err := a.Store.Get(ctx, HeadKey)
	if errors.Is(err, store.ErrNotFound) {
		return standing{}, nil
	}
	if err != nil {
		return standing{}, err
	}
	head, err := ParseHead(item.Value)
	return standing{head: head, version: item.Version}, err
}

// ParseHead reads a Head.
func ParseHead(text []byte) (Head, error) {
	var head Head
	err := json.Unmarshal(text, &head)
	return head, errors.Wrap(err, "accept: decode head")
}

// follow makes the Head after the base and returns the chunks it needs written.
func follow(base Head, r Request, texts [][]byte) (Head, map[string][]byte) {
	present := map[string]string{}
	for _, name := range base.Chunks {
		hash, _, _ := strings.Cut(name, "-")
		present[hash] = name
	}
	next := Head{Past: Past{Revision: base.Revision + 1, Apply: r.Apply, By: r.By}}
	if base.Revision > 0 {
		next.Before = append([]Past{base.Past}, base.Before...)
		next.Before = next.Before[:min(len(next.Before), pastLength)]
	}
	missing := map[string][]byte{}
	for _, text := range texts {
		hash := hashOf(text)
		name, found := present[hash]
		if !found {
			name = nameOf(hash, next.Revision, r.Apply)
			missing[name] = text
		}
		next.Chunks = append(next.Chunks, name)
	}
	return next, missing
}

func (a *Acceptor) writeChunks(ctx context.Context, missing map[string][]byte) error {
	for _, name := range slices.Sorted(maps.Keys(missing)) {
		err := a.persist(ctx, func() error {
			_, err := a.Store.CAS(ctx, chunkPrefix+name, missing[name], 0, 0)
			if errors.Is(err, store.ErrConflict) {
				return nil
			}
			return err
		})
		if err != nil {
			return errors.Wrapf(err, "chunk %s", name)
		}
	}
	return nil
}

// move moves the Head. The same write is tried until the store gives a definite
// answer: it can be accepted once only, since it names the version it replaces.
func (a *Acceptor) move(ctx context.Context, base standing, next Head) (Result, error) {
	text, err := json.Marshal(next)
	if err != nil {
		return Result{State: Conflicting}, errors.Wrap(err, "accept: encode head")
	}
	sent := false
	result := Result{State: Unresolved}
	err = a.persist(ctx, func() error {
		_, err := a.Store.CAS(ctx, HeadKey, text, base.version, 0)
		sent = true
		switch {
		case err == nil:
			result = Result{State: Accepted, Revision: next.Revision, Current: next.Past}
			return nil
		case errors.Is(err, store.ErrTooLarge):
			result = Result{State: Conflicting, Current: base.head.Past}
			return nil
		case !errors.Is(err, store.ErrConflict):
			return err
		}
		result, err = a.afterConflict(ctx, base, next)
		return err
	})
	if err != nil && !sent {
		return Result{State: Conflicting, Current: base.head.Past}, err
	}
	return result, err
}

// afterConflict tells what became of a write that the store refused, or had
// taken already: the Head that stands there now is later than the base.
func (a *Acceptor) afterConflict(ctx context.Context, base standing, next Head) (Result, error) {
	now, err := a.read(ctx)
	if err != nil {
		return Result{State: Unresolved}, err
	}
	if now.version <= base.version {
		return Result{State: Unresolved}, errors.New("accept: the store answers with an old head")
	}
	if now.head.Apply == next.Apply {
		return Result{State: Accepted, Revision: next.Revision, Current: now.head.Past}, nil
	}
	if slices.Contains(now.head.Before, next.Past) {
		return Result{State: Superseded, Revision: next.Revision, Current: now.head.Past}, nil
	}
	if now.head.Revision > next.Revision+pastLength {
		return Result{State: Unresolved, Current: now.head.Past}, nil
	}
	return Result{State: Conflicting, Current: now.head.Past}, nil
}

// clean deletes the chunks that no Head can need any more. What it misses, the
// next apply finds.
func (a *Acceptor) clean(ctx context.Context, head Head) {
	items, err := a.Store.List(ctx, chunkPrefix)
	if err != nil {
		return
	}
	for _, item := range items {
		name := strings.TrimPrefix(item.Key, chunkPrefix)
		revision, ok := revisionOf(name)
		if !ok || revision > head.Revision || slices.Contains(head.Chunks, name) {
			continue
		}
		_ = a.Store.Delete(ctx, item.Key, item.Version)
	}
}

// persist tries until there is a definite answer or the context ends.
func (a *Acceptor) persist(ctx context.Context, try func() error) error {
	pause := firstPause
	for {
		err := try()
		if err == nil {
			return nil
		}
		select {
		case <-a.Clock.After(pause):
		case <-ctx.Done():
			return errors.CombineErrors(err, ctx.Err())
		}
		pause = min(2*pause, mostPause)
	}
}
