package promptcache

import (
	"container/list"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// DefaultCapacity is the number of entries that a node keeps over all targets. They take 1.0 MB
// (measured with 40 targets), on hosts that may have no more than 184 MB.
const DefaultCapacity = 8192

// Prefix is the beginning of a prompt up to the end of one of its parts.
type Prefix struct {
	// Key is a hash of the client account, the model and all parts up to this one.
	Key uint64
	// Tokens is the size of the prefix.
	Tokens int
}

// Prefixes returns the prefixes of a prompt, shortest first. Only parts with a known size
// count. Prompts of different accounts or models have no prefix in common.
func Prefixes(account state.AccountID, model string, parts []state.PromptPartID, sizes []int) []Prefix {
	n := min(len(parts), len(sizes))
	if n == 0 {
		return nil
	}
	var digest xxhash.Digest
	digest.Reset()
	var number [8]byte
	write := func(v uint64) {
		binary.LittleEndian.PutUint64(number[:], v)
		_, _ = digest.Write(number[:])
	}
	write(uint64(len(account)))
	_, _ = digest.WriteString(string(account))
	_, _ = digest.WriteString(model)
	prefixes, total := make([]Prefix, 0, n), 0
	for i := range n {
		write(uint64(parts[i]))
		write(uint64(sizes[i]))
		total += sizes[i]
		prefixes = append(prefixes, Prefix{Key: digest.Sum64(), Tokens: total})
	}
	return prefixes
}

// Store bounds the entries of all targets together.
type Store struct {
	retention time.Duration
	capacity  int
	// entries holds *entry, the one used last in front.
	entries *list.List
}

// New returns an empty store. An entry expires retention after its last use. If there are more
// than capacity entries, the ones unused for longest are dropped.
func New(retention time.Duration, capacity int) *Store {
	return &Store{retention: retention, capacity: capacity, entries: list.New()}
}

// Len returns the number of entries.
func (s *Store) Len() int { return s.entries.Len() }

// entry is a prefix that a target holds.
type entry struct {
	target *Target
	key    uint64
	usedAt time.Duration
	// filledTokens is that of the target when the entry was last used.
	filledTokens float64
}

// Target holds the entries of one process that leads one group. A new process or a new epoch
// needs a new Target.
type Target struct {
	store   *Store
	entries map[uint64]*list.Element
	// filledTokens is the number of tokens that have been put into the memory of the target.
	filledTokens float64
}

// NewTarget returns a target that holds nothing.
func (s *Store) NewTarget() *Target {
	return &Target{store: s, entries: map[uint64]*list.Element{}}
}

// Fill counts tokens of prompts and answers that the target has put into its memory.
func (t *Target) Fill(tokens float64) { t.filledTokens += tokens }

// IsEmpty reports whether the target holds nothing.
func (t *Target) IsEmpty() bool { return len(t.entries) == 0 }

// Hold records that the target has computed the prefixes of a prompt.
func (t *Target) Hold(now time.Duration, prefixes []Prefix) {
	s := t.store
	// The shortest prefix is the last to be dropped, since a longer one is of no use without it.
	for i := len(prefixes) - 1; i >= 0; i-- {
		key := prefixes[i].Key
		element := t.entries[key]
		if element == nil {
			element = s.entries.PushFront(&entry{target: t, key: key})
			t.entries[key] = element
		}
		s.entries.MoveToFront(element)
		e := element.Value.(*entry)
		e.usedAt, e.filledTokens = now, t.filledTokens
	}
	for s.entries.Len() > s.capacity {
		s.remove(s.entries.Back())
	}
	for back := s.entries.Back(); back != nil && now-back.Value.(*entry).usedAt >= s.retention; back = s.entries.Back() {
		s.remove(back)
	}
}

// Held returns the size of the longest of the prefixes that the target is expected to hold. room
// is the number of tokens that its memory has beside the requests in flight. A prefix
// for which later prompts have left no room is forgotten.
func (t *Target) Held(now time.Duration, prefixes []Prefix, room float64) int {
	for i := len(prefixes) - 1; i >= 0; i-- {
		element := t.entries[prefixes[i].Key]
		if element == nil {
			continue
		}
		e := element.Value.(*entry)
		if now-e.usedAt >= t.store.retention || t.filledTokens-e.filledTokens+float64(prefixes[i].Tokens) > room {
			t.store.remove(element)
			continue
		}
		return prefixes[i].Tokens
	}
	return 0
}

// Forget drops all entries of the target.
func (t *Target) Forget() {
	for _, element := range t.entries {
		t.store.entries.Remove(element)
	}
	clear(t.entries)
}

func (s *Store) remove(element *list.Element) {
	e := s.entries.Remove(element).(*entry)
	delete(e.target.entries, e.key)
}
