package state

import (
	"cmp"
	"container/heap"
	"time"
)

// DueQueue is a priority queue of keys ordered by due time. It holds each key at
// most once; scheduling a key again changes its due time. Keys with equal times are
// returned in key order.
type DueQueue[K cmp.Ordered] struct {
	items dueHeap[K]
	index map[K]*dueItem[K]
}

type dueItem[K cmp.Ordered] struct {
	key K
	at  time.Duration
	pos int
}

// NewDueQueue returns an empty queue.
func NewDueQueue[K cmp.Ordered]() *DueQueue[K] {
	return &DueQueue[K]{index: map[K]*dueItem[K]{}}
}

// Schedule adds a key, or changes the due time of a key in the queue.
func (q *DueQueue[K]) Schedule(key K, at time.Duration) {
	if it, ok := q.index[key]; ok {
		it.at = at
		heap.Fix(&q.items, it.pos)
		return
	}
	it := &dueItem[K]{key: key, at: at}
	q.index[key] = it
	heap.Push(&q.items, it)
}

// Cancel removes a key. It does nothing if the key is not scheduled.
func (q *DueQueue[K]) Cancel(key K) {
	it, ok := q.index[key]
	if !ok {
		return
	}
	delete(q.index, key)
	heap.Remove(&q.items, it.pos)
}

// Pop removes and returns the earliest key that is due at now. The second result
// is false when no key is due.
func (q *DueQueue[K]) Pop(now time.Duration) (K, bool) {
	if len(q.items) == 0 || q.items[0].at > now {
		var zero K
		return zero, false
	}
	it := heap.Pop(&q.items).(*dueItem[K])
	delete(q.index, it.key)
	return it.key, true
}

// Has reports whether a key is scheduled.
func (q *DueQueue[K]) Has(key K) bool { _, ok := q.index[key]; return ok }

// Len returns the number of scheduled keys.
func (q *DueQueue[K]) Len() int { return len(q.items) }

type dueHeap[K cmp.Ordered] []*dueItem[K]

func (h dueHeap[K]) Len() int { return len(h) }

func (h dueHeap[K]) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].key < h[j].key
}

func (h dueHeap[K]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].pos, h[j].pos = i, j
}

func (h *dueHeap[K]) Push(x any) {
	it := x.(*dueItem[K])
	it.pos = len(*h)
	*h = append(*h, it)
}

func (h *dueHeap[K]) Pop() any {
	old := *h
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return it
}
