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
	pastLength = 16
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
		// Groups are the lists of the chunks' names.
		Groups []string `json:"groups"`
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
		// names are those of the chunks and groups of the head.
		names []string
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
	next, names, missing, err := follow(base, r, texts)
	if err != nil {
		return Result{State: Conflicting, Current: base.head.Past}, err
	}
	if err := a.writeChunks(ctx, missing); err != nil {
		return Result{State: Conflicting, Current: base.head.Past}, errors.Wrap(err, "accept: the head was not moved")
	}
	result, err := a.move(ctx, base, next)
	if result.State == Accepted {
		a.clean(ctx, next.Revision, names)
	}
	return result, err
}

// base reads the Head that an apply builds on.
func (a *Acceptor) base(ctx context.Context) (standing, error) {
	var found standing
	err := a.persist(ctx, func() error {
		var err error
		if found, err = a.read(ctx); err != nil {
			return err
		}
		found.names, err = a.namesOf(ctx, found.head)
		return err
	})
	return found, err
}

// namesOf reads the names of a Head's groups and chunks. Where a group is gone,
// the Head was an old one.
func (a *Acceptor) namesOf(ctx context.Context, head Head) ([]string, error) {
	names := slices.Clone(head.Groups)
	for _, g := range head.Groups {
		item, err := a.Store.Get(ctx, chunkPrefix+g)
		if err != nil {
			return nil, errors.Wrapf(err, "accept: group %s", g)
		}
		chunks, err := ParseGroup(item.Value)
		if err != nil {
			return nil, err
		}
		names = append(names, chunks...)
	}
	return names, nil
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

// follow makes the Head after the base, and returns the names it needs and the
// texts that have to be written.
func follow(base standing, r Request, texts [][]byte) (Head, []string, map[string][]byte, error) {
	next := Head{Past: Past{Revision: base.head.Revision + 1, Apply: r.Apply, By: r.By}}
	if base.head.Revision > 0 {
		next.Before = append([]Past{base.head.Past}, base.head.Before...)
		next.Before = next.Before[:min(len(next.Before), pastLength)]
	}
	n := newNamer(base.names, next.Revision, r.Apply)
	chunks := make([]string, len(texts))
	for i, text := range texts {
		chunks[i] = n.name(text)
	}
	for _, list := range group(chunks) {
		text, err := json.Marshal(list)
		if err != nil {
			return Head{}, nil, nil, errors.Wrap(err, "accept: encode group")
		}
		next.Groups = append(next.Groups, n.name(text))
	}
	return next, append(chunks, next.Groups...), n.missing, nil
}

// namer names texts by their content, those of the base as they were.
type namer struct {
	present  map[string]string
	missing  map[string][]byte
	revision ident.Revision
	apply    ident.Apply
}

func newNamer(names []string, revision ident.Revision, apply ident.Apply) *namer {
	n := &namer{present: map[string]string{}, missing: map[string][]byte{}, revision: revision, apply: apply}
	for _, name := range names {
		n.present[hashIn(name)] = name
	}
	return n
}

func (n *namer) name(text []byte) string {
	hash := hashOf(text)
	name, found := n.present[hash]
	if !found {
		name = nameOf(hash, n.revision, n.apply)
		n.present[hash] = name
		n.missing[name] = text
	}
	return name
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

// clean deletes the chunks that no Head can need any more, given the names that
// a revision needs. What it misses, the next apply finds.
func (a *Acceptor) clean(ctx context.Context, current ident.Revision, names []string) {
	items, err := a.Store.List(ctx, chunkPrefix)
	if err != nil {
		return
	}
	needed := make(map[string]bool, len(names))
	for _, name := range names {
		needed[name] = true
	}
	for _, item := range items {
		name := strings.TrimPrefix(item.Key, chunkPrefix)
		revision, ok := revisionOf(name)
		if !ok || revision > current || needed[name] {
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
