package membership

import (
	"slices"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// itemKind is a kind of thing that poll replies report when it changed.
type itemKind uint8

const (
	itemLoad itemKind = iota
	itemUsage
	itemHealthReport
	itemNotReadyMember
)

type item struct {
	kind itemKind
	key  string
}

// changeLog numbers the changes of what this node reports, so that a reply
// holds only what changed since the asker's cursor.
type changeLog struct {
	lastSeq   uint64
	latestSeq map[item]uint64
	// changes holds the items by the number of their change. An item that changed
	// again is skipped at its older place.
	changes []change
	counts  map[item]int

	dirtyTargets  *state.DirtySet[state.TargetID]
	dirtyAccounts *state.DirtySet[state.AccountID]
}

type change struct {
	seq  uint64
	item item
}

// compactSlack is the number of outdated places that are kept.
const compactSlack = 64

func (l *changeLog) init(t *state.Tables) {
	l.latestSeq, l.counts = map[item]uint64{}, map[item]int{}
	l.dirtyTargets, l.dirtyAccounts = t.Targets.Subscribe(), t.Accounts.Subscribe()
}

// collectCounts notes the counts that changed since the last step.
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

// visitSince calls f for each item that changed after a cursor. A cursor that this
// node has not given out is one of a former incarnation and counts as none.
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
