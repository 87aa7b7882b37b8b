package check

import (
	"container/heap"
	"time"
)

type (
	// TimeQueue is a priority queue ordered by time, for the pending events of a
	// simulation. Values with equal times come out in no particular order, but
	// always in the same one for the same sequence of calls. The zero value is an
	// empty queue. It is not safe for concurrent use.
	TimeQueue[T any] struct {
		items items[T]
	}

	item[T any] struct {
		at    time.Time
		value T
	}

	items[T any] []item[T]
)

// Push adds a value that is due at the given time.
func (a *TimeQueue[T]) Push(at time.Time, value T) {
	heap.Push(&a.items, item[T]{at: at, value: value})
}

// Pop removes the value with the earliest time and returns both. It panics if
// the queue is empty.
func (a *TimeQueue[T]) Pop() (time.Time, T) {
	first, _ := heap.Pop(&a.items).(item[T])
	return first.at, first.value
}

// Len implements heap.Interface.
func (i items[T]) Len() int { return len(i) }

// Less implements heap.Interface.
func (i items[T]) Less(a, b int) bool { return i[a].at.Before(i[b].at) }

// Swap implements heap.Interface.
func (i items[T]) Swap(a, b int) { i[a], i[b] = i[b], i[a] }

// Push implements heap.Interface.
func (i *items[T]) Push(x any) {
	if v, ok := x.(item[T]); ok {
		*i = append(*i, v)
	}
}

// Pop implements heap.Interface.
func (i *items[T]) Pop() any {
	last := (*i)[len(*i)-1]
	*i = (*i)[:len(*i)-1]
	return last
}
