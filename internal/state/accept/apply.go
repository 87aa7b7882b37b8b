package accept

import (
	"context"
	"encoding/json"
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
		// Era returns the latest era observed.
		Era() store.Era
	}

	// Known is what the nodes know of accepted configurations, whatever the store has.
	Known struct {
		// Replica is the newest configuration at hand.
		Replica *Replica
		// Revision is the highest revision known to be accepted, which is not below the
		// Replica's.
		Revision ident.Revision
		// Restored means that the store came back from an older copy a short time ago.
		Restored bool
	}

	// Fleet is the view of the nodes that an Applier needs because the store may lose what
	// it has acknowledged.
	Fleet interface {
		// Known returns what the nodes know. After an error the call is repeated.
		Known(ctx context.Context) (Known, error)
		// Accepted is called before Apply reports that the Head with this text was accepted,
		// so that a node holds it by then.
		Accepted(ctx context.Context, head []byte, fetch Fetch)
	}

	// Sleeper provides the timer for the backoff between store calls.
	Sleeper interface {
		After(d time.Duration) <-chan time.Time
	}

	// Applier writes configurations to a store.
	Applier struct {
		Store Store
		Clock Sleeper
		// Fleet may be nil. Apply then takes the store's Head for the newest.
		Fleet Fleet
	}

	// storedHead is a Head as read from the store. Before the first apply only the era of
	// the version is set, and the compare-and-swap creates the key.
	storedHead struct {
		head    Head
		version store.Version
		// names are the names of the Head's groups and chunks.
		names []string
		// known is the highest accepted revision known.
		known ident.Revision
		// restored is Known.Restored.
		restored bool
	}

	// tree is a Head and the texts of its groups and chunks.
	tree struct {
		head  Head
		text  []byte
		texts map[string][]byte
		// missing are the names of the texts that the base does not have.
		missing []string
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
	if r.Expect != 0 && base.known != r.Expect {
		return Result{State: Conflicting, Current: base.head.AcceptedApply}, nil
	}
	next, err := nextTree(base, r, texts)
	if err != nil {
		return Result{State: Conflicting, Current: base.head.AcceptedApply}, err
	}
	if err := a.writeChunks(ctx, next); err != nil {
		return Result{State: Conflicting, Current: base.head.AcceptedApply}, errors.Wrap(err, "accept: the head was not written")
	}
	result, err := a.swapHead(ctx, base, next)
	if a.Fleet != nil && (result.State == Accepted || result.State == Superseded) {
		a.Fleet.Accepted(ctx, next.text, next.fetch)
	}
	if result.State == Accepted && !base.restored {
		a.deleteUnused(ctx, base, next)
	}
	return result, err
}

// readBase reads the current Head and the names of its groups and chunks. If the fleet
// has a newer one, which the store has lost, readBase writes that one back first. It
// retries until it succeeds or the context ends.
func (a *Applier) readBase(ctx context.Context) (storedHead, error) {
	var found storedHead
	err := a.retry(ctx, func() error {
		var err error
		if found, err = a.readHead(ctx); err != nil {
			return err
		}
		if err := a.checkKnown(ctx, &found); err != nil {
			return err
		}
		found.names, err = a.readNames(ctx, found.head)
		return err
	})
	return found, err
}

// checkKnown sets what the fleet knows beyond a Head that has been read from the store. It
// returns an error if the Head has to be read again.
func (a *Applier) checkKnown(ctx context.Context, base *storedHead) error {
	base.known = base.head.Revision
	if a.Fleet == nil {
		return nil
	}
	known, err := a.Fleet.Known(ctx)
	if err != nil {
		return errors.Wrap(err, "accept: ask the fleet")
	}
	base.known = max(base.known, known.Revision)
	base.restored = known.Restored
	if base.head.Revision >= known.Replica.Revision() {
		return nil
	}
	if err := a.WriteBack(ctx, known.Replica); err != nil {
		return err
	}
	return errors.Newf("accept: the store had revision %d, revision %d was written back", base.head.Revision, known.Replica.Revision())
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
	era := a.Store.Era()
	item, err := a.Store.Get(ctx, HeadKey)
	if errors.Is(err, store.ErrNotFound) {
		return storedHead{version: store.Version{Era: era}}, nil
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

// nextTree builds the tree of the Head that follows the base.
func nextTree(base storedHead, r Request, texts [][]byte) (*tree, error) {
	head := Head{AcceptedApply: AcceptedApply{Revision: base.known + 1, Apply: r.Apply, By: r.By}}
	if base.head.Revision > 0 {
		head.History = append([]AcceptedApply{base.head.AcceptedApply}, base.head.History...)
		head.History = head.History[:min(len(head.History), historyLength)]
	}
	namer := newChunkNamer(base.names, head.Revision, r.Apply)
	chunks := make([]string, len(texts))
	for i, text := range texts {
		chunks[i] = namer.name(text)
	}
	for _, group := range groupNames(chunks) {
		text, err := json.Marshal(group)
		if err != nil {
			return nil, errors.Wrap(err, "accept: encode group")
		}
		head.Groups = append(head.Groups, namer.name(text))
	}
	text, err := json.Marshal(head)
	if err != nil {
		return nil, errors.Wrap(err, "accept: encode head")
	}
	slices.Sort(namer.missing)
	return &tree{head: head, text: text, texts: namer.texts, missing: namer.missing}, nil
}

// fetch is a Fetch.
func (t *tree) fetch(_ context.Context, names []string) (map[string][]byte, error) {
	found := make(map[string][]byte, len(names))
	for _, name := range names {
		if text, ok := t.texts[name]; ok {
			found[name] = text
		}
	}
	return found, nil
}

// chunkNamer assigns names to the texts of chunks and groups. A text that the
// base already names keeps that name.
type chunkNamer struct {
	// present maps a content hash to the name of the text.
	present map[string]string
	// texts maps each name given to its text.
	texts map[string][]byte
	// missing are the new names, whose texts have to be written.
	missing  []string
	revision ident.Revision
	apply    ident.Apply
}

func newChunkNamer(names []string, revision ident.Revision, apply ident.Apply) *chunkNamer {
	n := &chunkNamer{present: map[string]string{}, texts: map[string][]byte{}, revision: revision, apply: apply}
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
		n.missing = append(n.missing, name)
	}
	n.texts[name] = text
	return name
}

func (a *Applier) writeChunks(ctx context.Context, t *tree) error {
	for _, name := range t.missing {
		if err := a.retry(ctx, func() error { return a.createChunk(ctx, name, t.texts[name]) }); err != nil {
			return err
		}
	}
	return nil
}

// createChunk writes a chunk or group unless the store has it.
func (a *Applier) createChunk(ctx context.Context, name string, text []byte) error {
	_, err := a.Store.CAS(ctx, chunkPrefix+name, text, store.Version{}, store.Lease{})
	if errors.Is(err, store.ErrConflict) {
		return nil
	}
	return errors.Wrapf(err, "chunk %s", name)
}

// swapHead replaces the Head by compare-and-swap. It repeats the same write until
// the store gives a definite answer. The write can succeed only once because it
// names the version that it replaces.
func (a *Applier) swapHead(ctx context.Context, base storedHead, next *tree) (Result, error) {
	attempted, unknown := false, false
	result := Result{State: Unresolved}
	err := a.retry(ctx, func() error {
		_, err := a.Store.CAS(ctx, HeadKey, next.text, base.version, store.Lease{})
		attempted = true
		switch {
		case err == nil:
			result = Result{State: Accepted, Revision: next.head.Revision, Current: next.head.AcceptedApply}
			return nil
		case errors.Is(err, store.ErrTooLarge):
			result = Result{State: Conflicting, Current: base.head.AcceptedApply}
			return nil
		case !errors.Is(err, store.ErrConflict):
			unknown = true
			return err
		}
		result, err = a.resolveConflict(ctx, base, next.head, unknown)
		return err
	})
	if err != nil && !attempted {
		return Result{State: Conflicting, Current: base.head.AcceptedApply}, err
	}
	return result, err
}

// resolveConflict finds the outcome of a Head write that failed with a version
// conflict. Either another apply won, or an earlier try of this write succeeded
// and its reply was lost. The current Head and its History show which, unless an earlier
// try had an unknown outcome and the store has come back from an older copy since: what
// it has lost may have been read by a node.
func (a *Applier) resolveConflict(ctx context.Context, base storedHead, next Head, unknown bool) (Result, error) {
	current, err := a.readHead(ctx)
	if err != nil {
		return Result{State: Unresolved}, err
	}
	restored := current.version.Era != base.version.Era
	if !restored && !current.version.Later(base.version) {
		return Result{State: Unresolved}, errors.Newf("accept: stale read of the head: version %d, expected above %d", current.version.Number, base.version.Number)
	}
	if current.head.Apply == next.Apply {
		return Result{State: Accepted, Revision: next.Revision, Current: current.head.AcceptedApply}, nil
	}
	if slices.Contains(current.head.History, next.AcceptedApply) {
		return Result{State: Superseded, Revision: next.Revision, Current: current.head.AcceptedApply}, nil
	}
	if current.head.Revision > next.Revision+historyLength || restored && unknown {
		return Result{State: Unresolved, Current: current.head.AcceptedApply}, nil
	}
	return Result{State: Conflicting, Current: current.head.AcceptedApply}, nil
}

// deleteUnused deletes the chunks and groups that no Head can need any more: those
// of the newest revision or an earlier one that are not among its names. Errors
// are ignored; the next apply deletes what is left over. In another era of the store than
// the base's, the newest Head may be lost and an earlier one need its chunks.
func (a *Applier) deleteUnused(ctx context.Context, base storedHead, newest *tree) {
	items, err := a.Store.List(ctx, chunkPrefix)
	if err != nil {
		return
	}
	for _, item := range items {
		name := strings.TrimPrefix(item.Key, chunkPrefix)
		revision, ok := revisionFromName(name)
		if _, needed := newest.texts[name]; !ok || needed || revision > newest.head.Revision || item.Version.Era != base.version.Era {
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
