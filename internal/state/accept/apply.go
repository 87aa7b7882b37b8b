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
	// HeadKey is the store key of the Head.
	HeadKey = "config/head"

	chunkPrefix = "config/chunk/"
	// historyLength is how many earlier applies a Head lists.
	historyLength = 16
	// minBackoff and maxBackoff bound the wait between two calls to the store.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// The outcomes of an apply.
const (
	// Accepted means that the file is the accepted configuration.
	Accepted State = "accepted"
	// Superseded means that the file was accepted and a later apply has replaced
	// it.
	Superseded State = "superseded"
	// Conflicting means that the file was not accepted: another apply won, the
	// expected revision is not the current one, the Head is too large for the
	// store, or an error occurred before the Head was written.
	Conflicting State = "conflict"
	// Unresolved means that the file may have been accepted: the store did not
	// answer in time, or the Head's History no longer reaches back far enough.
	Unresolved State = "unresolved"
)

type (
	// State is the outcome of an apply.
	State string

	// AcceptedApply is an apply that was accepted, and its revision.
	AcceptedApply struct {
		Revision ident.Revision `json:"revision"`
		Apply    ident.Apply    `json:"apply"`
		// By is the operator's name as given in the Request.
		By string `json:"by"`
	}

	// Head is the root of the accepted configuration. It embeds the apply that
	// wrote it.
	Head struct {
		AcceptedApply
		// Groups are the names of the groups, which list the chunks' names.
		Groups []string `json:"groups"`
		// History lists earlier accepted applies, the latest first.
		History []AcceptedApply `json:"before,omitempty"`
	}

	// Result is the outcome of one apply.
	Result struct {
		State State `json:"state"`
		// Revision is the revision of this apply. It is 0 unless the State is
		// Accepted or Superseded.
		Revision ident.Revision `json:"revision,omitempty"`
		// Current is the latest accepted apply that was read from the store.
		Current AcceptedApply `json:"current"`
	}

	// Request is a request to accept a file.
	Request struct {
		File *config.File
		// Apply identifies this request. It must be unique.
		Apply ident.Apply
		// By is the operator's name.
		By string
		// Expect is the current revision as the operator knows it. Any other
		// current revision is a conflict. 0 disables the check.
		Expect ident.Revision
	}

	// Store is the key-value store that holds the configurations.
	Store interface {
		Get(ctx context.Context, key string) (store.Item, error)
		CAS(ctx context.Context, key string, value []byte, version store.Version, lease store.Lease) (store.Item, error)
		Delete(ctx context.Context, key string, version store.Version) error
		List(ctx context.Context, prefix string) ([]store.Item, error)
	}

	// Sleeper provides the timer for the backoff between store calls.
	Sleeper interface {
		After(d time.Duration) <-chan time.Time
	}

	// Applier writes configurations to a store.
	Applier struct {
		Store Store
		Clock Sleeper
	}

	// storedHead is a Head as read from the store. Before the first apply it is
	// the zero value, and version 0 makes the compare-and-swap create the key.
	storedHead struct {
		head    Head
		version store.Version
		// names are the names of the Head's groups and chunks.
		names []string
	}
)

// Apply writes a file to the store as the next revision. It repeats failed store
// calls with exponential backoff until the context ends. An error with the State
// Conflicting means that the Head was not written; with Unresolved it may have
// been.
func (a *Applier) Apply(ctx context.Context, r Request) (Result, error) {
	texts, err := split(r.File)
	if err != nil {
		return Result{State: Conflicting}, err
	}
	base, err := a.readBase(ctx)
	if err != nil {
		return Result{State: Conflicting}, errors.Wrap(err, "accept: nothing was written")
	}
	if r.Expect != 0 && base.head.Revision != r.Expect {
		return Result{State: Conflicting, Current: base.head.AcceptedApply}, nil
	}
	next, names, missing, err := nextHead(base, r, texts)
	if err != nil {
		return Result{State: Conflicting, Current: base.head.AcceptedApply}, err
	}
	if err := a.writeChunks(ctx, missing); err != nil {
		return Result{State: Conflicting, Current: base.head.AcceptedApply}, errors.Wrap(err, "accept: the head was not written")
	}
	result, err := a.swapHead(ctx, base, next)
	if result.State == Accepted {
		a.deleteUnused(ctx, next.Revision, names)
	}
	return result, err
}

// readBase reads the current Head and the names of its groups and chunks. It
// retries until it succeeds or the context ends.
func (a *Applier) readBase(ctx context.Context) (storedHead, error) {
	var found storedHead
	err := a.retry(ctx, func() error {
		var err error
		if found, err = a.readHead(ctx); err != nil {
			return err
		}
		found.names, err = a.readNames(ctx, found.head)
		return err
	})
	return found, err
}

// readNames reads the names of a Head's groups and chunks. A missing group means
// that the Head was a stale read.
func (a *Applier) readNames(ctx context.Context, head Head) ([]string, error) {
	names := slices.Clone(head.Groups)
	for _, group := range head.Groups {
		item, err := a.Store.Get(ctx, chunkPrefix+group)
		if err != nil {
			return nil, errors.Wrapf(err, "accept: group %s", group)
		}
		chunks, err := ParseGroup(item.Value)
		if err != nil {
			return nil, err
		}
		names = append(names, chunks...)
	}
	return names, nil
}

func (a *Applier) readHead(ctx context.Context) (storedHead, error) {
	item, err := a.Store.Get(ctx, HeadKey)
	if errors.Is(err, store.ErrNotFound) {
		return storedHead{}, nil
	}
	if err != nil {
		return storedHead{}, err
	}
	head, err := ParseHead(item.Value)
	return storedHead{head: head, version: item.Version}, err
}

// ParseHead decodes a Head.
func ParseHead(text []byte) (Head, error) {
	var head Head
	err := json.Unmarshal(text, &head)
	return head, errors.Wrap(err, "accept: decode head")
}

// nextHead builds the Head that follows the base. It also returns the names of
// all its chunks and groups, and the texts that are not yet in the store by name.
func nextHead(base storedHead, r Request, texts [][]byte) (Head, []string, map[string][]byte, error) {
	next := Head{AcceptedApply: AcceptedApply{Revision: base.head.Revision + 1, Apply: r.Apply, By: r.By}}
	if base.head.Revision > 0 {
		next.History = append([]AcceptedApply{base.head.AcceptedApply}, base.head.History...)
		next.History = next.History[:min(len(next.History), historyLength)]
	}
	namer := newChunkNamer(base.names, next.Revision, r.Apply)
	chunks := make([]string, len(texts))
	for i, text := range texts {
		chunks[i] = namer.name(text)
	}
	for _, group := range groupNames(chunks) {
		text, err := json.Marshal(group)
		if err != nil {
			return Head{}, nil, nil, errors.Wrap(err, "accept: encode group")
		}
		next.Groups = append(next.Groups, namer.name(text))
	}
	return next, append(chunks, next.Groups...), namer.missing, nil
}

// chunkNamer assigns names to the texts of chunks and groups. A text that the
// base already names keeps that name.
type chunkNamer struct {
	// present maps a content hash to the name of the text.
	present map[string]string
	// missing maps a new name to its text, which has to be written.
	missing  map[string][]byte
	revision ident.Revision
	apply    ident.Apply
}

func newChunkNamer(names []string, revision ident.Revision, apply ident.Apply) *chunkNamer {
	n := &chunkNamer{present: map[string]string{}, missing: map[string][]byte{}, revision: revision, apply: apply}
	for _, name := range names {
		n.present[hashFromName(name)] = name
	}
	return n
}

func (n *chunkNamer) name(text []byte) string {
	hash := contentHash(text)
	name, found := n.present[hash]
	if !found {
		name = chunkName(hash, n.revision, n.apply)
		n.present[hash] = name
		n.missing[name] = text
	}
	return name
}

func (a *Applier) writeChunks(ctx context.Context, missing map[string][]byte) error {
	for _, name := range slices.Sorted(maps.Keys(missing)) {
		err := a.retry(ctx, func() error {
			_, err := a.Store.CAS(ctx, chunkPrefix+name, missing[name], store.Version{}, store.Lease{})
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

// swapHead replaces the Head by compare-and-swap. It repeats the same write until
// the store gives a definite answer. The write can succeed only once because it
// names the version that it replaces.
func (a *Applier) swapHead(ctx context.Context, base storedHead, next Head) (Result, error) {
	text, err := json.Marshal(next)
	if err != nil {
		return Result{State: Conflicting}, errors.Wrap(err, "accept: encode head")
	}
	attempted := false
	result := Result{State: Unresolved}
	err = a.retry(ctx, func() error {
		_, err := a.Store.CAS(ctx, HeadKey, text, base.version, store.Lease{})
		attempted = true
		switch {
		case err == nil:
			result = Result{State: Accepted, Revision: next.Revision, Current: next.AcceptedApply}
			return nil
		case errors.Is(err, store.ErrTooLarge):
			result = Result{State: Conflicting, Current: base.head.AcceptedApply}
			return nil
		case !errors.Is(err, store.ErrConflict):
			return err
		}
		result, err = a.resolveConflict(ctx, base, next)
		return err
	})
	if err != nil && !attempted {
		return Result{State: Conflicting, Current: base.head.AcceptedApply}, err
	}
	return result, err
}

// resolveConflict finds the outcome of a Head write that failed with a version
// conflict. Either another apply won, or an earlier try of this write succeeded
// and its reply was lost. The current Head and its History show which.
func (a *Applier) resolveConflict(ctx context.Context, base storedHead, next Head) (Result, error) {
	current, err := a.readHead(ctx)
	if err != nil {
		return Result{State: Unresolved}, err
	}
	if !current.version.Later(base.version) {
		return Result{State: Unresolved}, errors.Newf("accept: stale read of the head: version %d, expected above %d", current.version.Number, base.version.Number)
	}
	if current.head.Apply == next.Apply {
		return Result{State: Accepted, Revision: next.Revision, Current: current.head.AcceptedApply}, nil
	}
	if slices.Contains(current.head.History, next.AcceptedApply) {
		return Result{State: Superseded, Revision: next.Revision, Current: current.head.AcceptedApply}, nil
	}
	if current.head.Revision > next.Revision+historyLength {
		return Result{State: Unresolved, Current: current.head.AcceptedApply}, nil
	}
	return Result{State: Conflicting, Current: current.head.AcceptedApply}, nil
}

// deleteUnused deletes the chunks and groups that no Head can need any more: those
// of the newest revision or an earlier one that are not among its names. Errors
// are ignored; the next apply deletes what is left over.
func (a *Applier) deleteUnused(ctx context.Context, newest ident.Revision, names []string) {
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
		revision, ok := revisionFromName(name)
		if !ok || revision > newest || needed[name] {
			continue
		}
		_ = a.Store.Delete(ctx, item.Key, item.Version)
	}
}

// retry calls a function until it returns nil or the context ends, with
// exponential backoff between the calls.
func (a *Applier) retry(ctx context.Context, call func() error) error {
	backoff := minBackoff
	for {
		err := call()
		if err == nil {
			return nil
		}
		select {
		case <-a.Clock.After(backoff):
		case <-ctx.Done():
			return errors.CombineErrors(err, ctx.Err())
		}
		backoff = min(2*backoff, maxBackoff)
	}
}
