package state

import (
	"cmp"
	"iter"
	"maps"
	"slices"
)

// Table holds the rows of one entity type by key. Iteration is in key order, so
// that outputs do not depend on the map order. Keys are sorted on demand, because
// keeping them sorted on each Put would move all keys for each request.
type Table[K cmp.Ordered, R any] struct {
	rows        map[K]*R
	keys        []K
	sorted      bool
	subscribers []*DirtySet[K]
}

// NewTable returns an empty table.
func NewTable[K cmp.Ordered, R any]() *Table[K, R] {
	return &Table[K, R]{rows: map[K]*R{}, sorted: true}
}

// Len returns the number of rows.
func (t *Table[K, R]) Len() int { return len(t.rows) }

// Get returns the row of a key, or nil. A caller that changes the row must call
// Touch so that subscribed systems see the change.
func (t *Table[K, R]) Get(key K) *R { return t.rows[key] }

// Put inserts or replaces a row and marks it dirty.
func (t *Table[K, R]) Put(key K, row *R) {
	if _, ok := t.rows[key]; !ok {
		t.sorted = false
	}
	t.rows[key] = row
	t.Touch(key)
}

// Delete removes a row and marks its key dirty.
func (t *Table[K, R]) Delete(key K) {
	if _, ok := t.rows[key]; !ok {
		return
	}
	delete(t.rows, key)
	t.sorted = false
	t.Touch(key)
}

// Touch marks a key dirty for all subscribers.
func (t *Table[K, R]) Touch(key K) {
	for _, s := range t.subscribers {
		s.add(key)
	}
}

// Keys returns the keys in order. The slice is owned by the table and is valid
// until the next Put or Delete.
func (t *Table[K, R]) Keys() []K {
	if !t.sorted {
		t.keys = slices.AppendSeq(make([]K, 0, len(t.rows)), maps.Keys(t.rows))
		slices.Sort(t.keys)
		t.sorted = true
	}
	return t.keys
}

// All iterates over the rows in key order. Rows must not be added or deleted
// during the iteration.
func (t *Table[K, R]) All() iter.Seq2[K, *R] {
	return func(yield func(K, *R) bool) {
		for _, k := range t.Keys() {
			if !yield(k, t.rows[k]) {
				return
			}
		}
	}
}

// Subscribe returns a set that collects the keys that change from now on. Each
// system has its own set, so that its work is proportional to the changes and not
// to the size of the table.
func (t *Table[K, R]) Subscribe() *DirtySet[K] {
	s := &DirtySet[K]{marked: map[K]struct{}{}}
	t.subscribers = append(t.subscribers, s)
	return s
}

// DirtySet collects the keys of changed rows for one system.
type DirtySet[K cmp.Ordered] struct {
	marked map[K]struct{}
	keys   []K
}

func (s *DirtySet[K]) add(key K) {
	if _, ok := s.marked[key]; ok {
		return
	}
	s.marked[key] = struct{}{}
	s.keys = append(s.keys, key)
}

// Take returns the changed keys in ascending order and clears the set.
func (s *DirtySet[K]) Take() []K {
	if len(s.keys) == 0 {
		return nil
	}
	keys := s.keys
	s.keys = nil
	clear(s.marked)
	slices.Sort(keys)
	return keys
}
