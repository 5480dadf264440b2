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
	itemVerdict
	itemNotReady
)

type item struct {
	kind itemKind
	key  string
}

// changeLog numbers the changes of what this node reports, so that a reply
// holds only what changed since the asker's cursor.
type changeLog struct {
	seq    uint64
	latest map[item]uint64
	// order holds the items by the number of their change. An item that changed
	// again is skipped at its older place.
	order  []change
	counts map[item]int

	targets  *state.DirtySet[state.TargetID]
	accounts *state.DirtySet[state.AccountID]
}

type change struct {
	seq  uint64
	item item
}

// compactSlack is the number of outdated places that are kept.
const compactSlack = 64

func (l *changeLog) init(t *state.Tables) {
	l.latest, l.counts = map[item]uint64{}, map[item]int{}
	l.targets, l.accounts = t.Targets.Subscribe(), t.Accounts.Subscribe()
}

// collect notes the counts that changed since the last step.
func (l *changeLog) collect(t *state.Tables) {
	for _, id := range l.targets.Take() {
		n := 0
		if row := t.Targets.Get(id); row != nil {
			n = row.InFlight
		}
		l.count(item{itemLoad, string(id)}, n)
	}
	for _, id := range l.accounts.Take() {
		n := 0
		if row := t.Accounts.Get(id); row != nil {
			n = row.InFlight
		}
		l.count(item{itemUsage, string(id)}, n)
	}
}

func (l *changeLog) count(it item, n int) {
	if l.counts[it] == n {
		return
	}
	l.counts[it] = n
	l.changed(it)
}

func (l *changeLog) changed(it item) {
	l.seq++
	l.latest[it] = l.seq
	l.order = append(l.order, change{l.seq, it})
	if len(l.order) > 2*len(l.latest)+compactSlack {
		l.order = slices.DeleteFunc(l.order, func(c change) bool { return l.latest[c.item] != c.seq })
	}
}

// since calls f for each item that changed after a cursor. A cursor that this
// node has not given out is one of a former incarnation and counts as none.
func (l *changeLog) since(cursor uint64, f func(item)) {
	if cursor > l.seq {
		cursor = 0
	}
	i, _ := slices.BinarySearchFunc(l.order, cursor+1, func(c change, seq uint64) int {
		switch {
		case c.seq < seq:
			return -1
		case c.seq > seq:
			return 1
		}
		return 0
	})
	for _, c := range l.order[i:] {
		if l.latest[c.item] == c.seq {
			f(c.item)
		}
	}
}
