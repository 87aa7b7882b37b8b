package fence

import (
	"time"

	"github.com/figwick/figwick/internal/base/ident"
)

const (
	// Retention is how long a started attempt is remembered after the time by
	// which it had to start.
	Retention = 30 * time.Second
	// MaxAnswerBytes is the size of the largest response body that a Table keeps.
	MaxAnswerBytes = 256 << 10
	// MaxTotalBytes bounds the total size of the response bodies that one Table
	// keeps.
	MaxTotalBytes = 16 << 20
)

// The decisions that Admit and Start return.
const (
	// Admitted attempts may wait for a slot.
	Admitted Decision = iota
	// Started attempts may be sent to a backend server.
	Started
	// Late attempts did not start by the time they had to.
	Late
	// Fenced attempts must not start: Fence has reported them as not started, or
	// they were withdrawn.
	Fenced
	// Duplicate attempts carry the id of an attempt that is already in the Table.
	Duplicate
)

// The fates of an attempt that Fence returns.
const (
	// NotStarted attempts were not run and never will be.
	NotStarted Fate = iota + 1
	// Running attempts have started and have not finished.
	Running
	// Answered attempts have started and finished. Their answer may be kept.
	Answered
	// Forgotten attempts are so old that the Table may have dropped them: they
	// may or may not have run.
	Forgotten
)

type (
	// Decision says whether an attempt may wait or start.
	Decision int

	// Fate says whether an attempt has started and finished.
	Fate int

	// Answer is a complete response of a backend server. The Table does not
	// interpret Value. Size is the length of the body in bytes.
	Answer struct {
		Value any
		Size  int
	}

	// Table holds one sidecar's attempts at requests that must not be repeated.
	// The zero value is ready to use. It is not safe for concurrent use.
	Table struct {
		entries map[ident.Attempt]*entry
		bytes   int
	}

	entry struct {
		state       state
		startBefore time.Time
		forgetAt    time.Time
		answer      *Answer
	}

	state int
)

const (
	waiting state = iota
	running
	answered
	// A tombstone marks an attempt that must never start.
	tombstone
)

// Admit registers an attempt that has arrived and must start before startBefore.
// It returns Admitted, Late, Fenced or Duplicate.
func (t *Table) Admit(now time.Time, id ident.Attempt, startBefore time.Time) Decision {
	if e, found := t.entries[id]; found {
		if e.state == tombstone {
			return Fenced
		}
		return Duplicate
	}
	if !now.Before(startBefore) {
		return Late
	}
	t.put(id, &entry{state: waiting, startBefore: startBefore, forgetAt: startBefore})
	return Admitted
}

// Start decides whether an admitted attempt may be sent to a backend server. Once
// it has returned Started, the attempt counts as run.
func (t *Table) Start(now time.Time, id ident.Attempt) Decision {
	e, found := t.entries[id]
	switch {
	case !found:
		return Late
	case e.state == tombstone:
		return Fenced
	case e.state != waiting:
		return Duplicate
	case !now.Before(e.startBefore):
		e.state = tombstone
		return Late
	}
	e.state = running
	e.forgetAt = e.startBefore.Add(Retention)
	return Started
}

// Withdraw marks an admitted attempt as refused, so that it never starts.
func (t *Table) Withdraw(id ident.Attempt) {
	if e, found := t.entries[id]; found && e.state == waiting {
		e.state = tombstone
	}
}

// RevertStart marks a started attempt as not run. The caller knows that the
// backend server did not run it: no byte was sent to it, or it refused the
// request. The attempt cannot start again.
func (t *Table) RevertStart(id ident.Attempt) {
	if e, found := t.entries[id]; found && e.state == running {
		e.state = tombstone
	}
}

// Finish records that a started attempt has ended. The answer is nil if the
// response was incomplete or too large to keep. An answer beyond MaxAnswerBytes
// or MaxTotalBytes is dropped.
func (t *Table) Finish(now time.Time, id ident.Attempt, answer *Answer) {
	e, found := t.entries[id]
	if !found || e.state != running {
		return
	}
	e.state = answered
	if until := now.Add(Retention); until.After(e.forgetAt) {
		e.forgetAt = until
	}
	if answer == nil || answer.Size > MaxAnswerBytes || t.bytes+answer.Size > MaxTotalBytes {
		return
	}
	e.answer = answer
	t.bytes += answer.Size
}

// Release drops the kept answer of an attempt whose ingress has received it. The
// attempt itself is still remembered.
func (t *Table) Release(id ident.Attempt) {
	if e, found := t.entries[id]; found {
		t.dropAnswer(e)
	}
}

// Fence returns the fate of an attempt, and its answer if that is kept. An
// attempt that has not started is barred from starting, even if it arrives only
// after this call. The startBefore argument is the one that the attempt carries.
func (t *Table) Fence(now time.Time, id ident.Attempt, startBefore time.Time) (Fate, *Answer) {
	e, found := t.entries[id]
	if !found {
		return t.fenceUnseen(now, id, startBefore), nil
	}
	switch e.state {
	case waiting, tombstone:
		e.state = tombstone
		return NotStarted, nil
	case running:
		return Running, nil
	default:
		return Answered, e.answer
	}
}

// fenceUnseen fences an attempt that is not in the Table. Before startBefore it
// leaves a tombstone. Up to Retention later a started attempt would still be in
// the Table, so this one has not started.
func (t *Table) fenceUnseen(now time.Time, id ident.Attempt, startBefore time.Time) Fate {
	if now.Before(startBefore) {
		t.put(id, &entry{state: tombstone, startBefore: startBefore, forgetAt: startBefore})
		return NotStarted
	}
	if now.Before(startBefore.Add(Retention)) {
		return NotStarted
	}
	return Forgotten
}

// Expire removes the attempts that no longer need to be remembered: those that
// did not start by their startBefore, and those that ended Retention ago.
// Running attempts stay. It scans the whole Table.
func (t *Table) Expire(now time.Time) {
	for id, e := range t.entries {
		if e.state == running || now.Before(e.forgetAt) {
			continue
		}
		t.dropAnswer(e)
		delete(t.entries, id)
	}
}

// Len returns the number of attempts in the Table.
func (t *Table) Len() int {
	return len(t.entries)
}

// KeptBytes returns the total size of the response bodies kept, in bytes.
func (t *Table) KeptBytes() int {
	return t.bytes
}

func (t *Table) put(id ident.Attempt, e *entry) {
	if t.entries == nil {
		t.entries = map[ident.Attempt]*entry{}
	}
	t.entries[id] = e
}

func (t *Table) dropAnswer(e *entry) {
	if e.answer == nil {
		return
	}
	t.bytes -= e.answer.Size
	e.answer = nil
}
