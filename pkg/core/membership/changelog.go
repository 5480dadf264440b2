package membership

import (
	"slices"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// itemKind is the kind of an item that poll replies carry after a change.
type itemKind uint8

const (
	itemLoad           itemKind = iota // requests in flight at a target
	itemUsage                          // requests in flight of a client account
	itemHealthReport                   // this node's report on a group
	itemNotReadyMember                 // member seen before it was ready
)

// item identifies a value in poll replies. The key is the id of the target,
// client account, group or host.
type item struct {
	kind itemKind
	key  string
}

// changeLog assigns a sequence number to each change of a reported item, so
// that a poll reply holds only what changed since the cursor of the request.
type changeLog struct {
	lastSeq   uint64
	latestSeq map[item]uint64
	// changes is sorted by sequence number. An entry is outdated, and skipped,
	// once its item has changed again.
	changes []change
	counts  map[item]int

	dirtyTargets  *state.DirtySet[state.TargetID]
	dirtyAccounts *state.DirtySet[state.AccountID]
}

type change struct {
	seq  uint64
	item item
}

// compactSlack is the number of entries, beyond twice the number of items, that
// changes holds before outdated entries are removed.
const compactSlack = 64

func (l *changeLog) init(t *state.Tables) {
	l.latestSeq, l.counts = map[item]uint64{}, map[item]int{}
	l.dirtyTargets, l.dirtyAccounts = t.Targets.Subscribe(), t.Accounts.Subscribe()
}

// collectCounts records the counts in flight that changed since the last step.
func (l *changeLog) collectCounts(t *state.Tables) {
	for _, id := range l.dirtyTargets.Take() {
		n := 0
		if row := t.Targets.Get(id); row != nil {
			n = row.InFlight
		}
		l.setCount(item{itemLoad, string(id)}, n)
	}
	for _, id := range l.dirtyAccounts.Take() {
		n := 0
		if row := t.Accounts.Get(id); row != nil {
			n = row.InFlight
		}
		l.setCount(item{itemUsage, string(id)}, n)
	}
}

func (l *changeLog) setCount(it item, n int) {
	if l.counts[it] == n {
		return
	}
	l.counts[it] = n
	l.record(it)
}

func (l *changeLog) record(it item) {
	l.lastSeq++
	l.latestSeq[it] = l.lastSeq
	l.changes = append(l.changes, change{l.lastSeq, it})
	if len(l.changes) > 2*len(l.latestSeq)+compactSlack {
		l.changes = slices.DeleteFunc(l.changes, func(c change) bool { return l.latestSeq[c.item] != c.seq })
	}
}

// visitSince calls visit for each item that changed after a cursor. A cursor
// above the last sequence number comes from a former incarnation of this node
// and counts as 0, so that all items are visited.
func (l *changeLog) visitSince(cursor uint64, visit func(item)) {
	if cursor > l.lastSeq {
		cursor = 0
	}
	i, _ := slices.BinarySearchFunc(l.changes, cursor+1, func(c change, seq uint64) int {
		switch {
		case c.seq < seq:
			return -1
		case c.seq > seq:
			return 1
		}
		return 0
	})
	for _, c := range l.changes[i:] {
		if l.latestSeq[c.item] == c.seq {
			visit(c.item)
		}
	}
}
