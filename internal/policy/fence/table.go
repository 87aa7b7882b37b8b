package fence

import (
	"time"

	"github.com/figwick/figwick/internal/base/ident"
)

const (
	// Keep is how long a started attempt is remembered after the last moment
	// at which it might have started.
	Keep = 30 * time.Second
	// AnswerBytes is the largest body that is kept for a lost answer.
	AnswerBytes = 256 << 10
	// TotalBytes bounds the bodies kept by one Table.
	TotalBytes = 16 << 20
)

// The verdicts on an attempt.
const (
	// Admitted attempts may wait for a slot.
	Admitted Verdict = iota
	// Started attempts may be sent to a backend server.
	Started
	// Late attempts passed the moment at which they had to start.
	Late
	// Fenced attempts were asked for before they started.
	Fenced
	// Duplicate attempts were here before.
	Duplicate
)

// The fates of an attempt, as told to who asks.
const (
	// NotStarted attempts were not run and never will be.
	NotStarted Fate = iota + 1
	// Running attempts have started and have no answer yet.
	Running
	// Answered attempts have ended, with their answer where it was kept.
	Answered
	// Forgotten attempts are too old to tell.
	Forgotten
)

type (
	// Verdict is what may happen to an attempt now.
	Verdict int

	// Fate is what became of an attempt.
	Fate int

	// Answer is a whole answer of a backend server; the Table only keeps it.
	// Size is the length of its body in bytes.
	Answer struct {
		Value any
		Size  int
	}

	// Table holds the attempts of one sidecar. The zero value is ready. It is
	// not safe for concurrent use.
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
	tombstone
)

// Admit takes an attempt that has arrived and must start before a moment.
func (t *Table) Admit(now time.Time, id ident.Attempt, startBefore time.Time) Verdict {
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

// Start tells whether an admitted attempt may be sent to a backend server. From
// Started on it counts as run.
func (t *Table) Start(now time.Time, id ident.Attempt) Verdict {
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
	e.forgetAt = e.startBefore.Add(Keep)
	return Started
}

// Withdraw marks an admitted attempt as refused: it never starts.
func (t *Table) Withdraw(id ident.Attempt) {
	if e, found := t.entries[id]; found && e.state == waiting {
		e.state = tombstone
	}
}

// Unstart takes back the start of an attempt of which no byte has left.
func (t *Table) Unstart(id ident.Attempt) {
	if e, found := t.entries[id]; found && e.state == running {
		e.state = tombstone
	}
}

// Finish records that a started attempt has ended. The answer is nil where
// there is no whole answer or where it is too large to keep.
func (t *Table) Finish(now time.Time, id ident.Attempt, answer *Answer) {
	e, found := t.entries[id]
	if !found || e.state != running {
		return
	}
	e.state = answered
	if until := now.Add(Keep); until.After(e.forgetAt) {
		e.forgetAt = until
	}
	if answer == nil || answer.Size > AnswerBytes || t.bytes+answer.Size > TotalBytes {
		return
	}
	e.answer = answer
	t.bytes += answer.Size
}

// Release drops the kept answer of an attempt whose caller has it.
func (t *Table) Release(id ident.Attempt) {
	if e, found := t.entries[id]; found {
		t.drop(e)
	}
}

// Fence tells the fate of an attempt. One that has not started never will, also
// when it arrives only later.
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

func (t *Table) fenceUnseen(now time.Time, id ident.Attempt, startBefore time.Time) Fate {
	if now.Before(startBefore) {
		t.put(id, &entry{state: tombstone, startBefore: startBefore, forgetAt: startBefore})
		return NotStarted
	}
	if now.Before(startBefore.Add(Keep)) {
		return NotStarted
	}
	return Forgotten
}

// Expire forgets what can no longer matter.
func (t *Table) Expire(now time.Time) {
	for id, e := range t.entries {
		if e.state == running || now.Before(e.forgetAt) {
			continue
		}
		t.drop(e)
		delete(t.entries, id)
	}
}

// Len returns the number of attempts remembered.
func (t *Table) Len() int {
	return len(t.entries)
}

// Bytes returns the size of the bodies kept.
func (t *Table) Bytes() int {
	return t.bytes
}

func (t *Table) put(id ident.Attempt, e *entry) {
	if t.entries == nil {
		t.entries = map[ident.Attempt]*entry{}
	}
	t.entries[id] = e
}

func (t *Table) drop(e *entry) {
	if e.answer == nil {
		return
	}
	t.bytes -= e.answer.Size
	e.answer = nil
}
