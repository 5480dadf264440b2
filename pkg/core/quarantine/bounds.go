package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// addedTraits counts the traits that a node has added for a process, and those among them that were
// sound lately.
type addedTraits struct{ all, sound int }

// selectTraits returns those traits of a request, lost with a process, that are added to the
// evidence. A prompt may have over a thousand parts, and a process many requests. Traits with
// evidence on them are always among these. Of the others, those that no answer here has had lately
// distinguish the requests that were lost; maxNewTraits of them are added, which is more than a
// request has, and the requests that had run shortest come first. Of those that were sound lately,
// which sound requests share, maxSoundTraits are added. A part at fault that is left out for that
// has no more answers, so that it counts among the first again at most twice startMemory later.
func (l *Ledger) selectTraits(now time.Duration, process Process, traits []state.Trait) []state.Trait {
	added := l.added[process]
	if added.all+len(traits) <= maxSoundTraits {
		added.all, added.sound = added.all+len(traits), added.sound+len(traits)
		l.added[process] = added
		return traits
	}
	selected := make([]state.Trait, 0, min(len(traits), maxNewTraits))
	for _, trait := range traits {
		if l.records[trait] != nil {
			selected = append(selected, trait)
			continue
		}
		isSound := l.recent[trait.Kind].has(now, trait)
		if added.all >= maxNewTraits || isSound && added.sound >= maxSoundTraits {
			continue
		}
		added.all++
		if isSound {
			added.sound++
		}
		selected = append(selected, trait)
	}
	l.added[process] = added
	return selected
}

// evictTraits makes room for traits of a kind. It forgets a quarter of those that are not in
// quarantine: the ones with the least evidence, and among these the ones that have been known
// longest. A trait at fault has more evidence with its second crash. It returns false if all are in
// quarantine.
func (l *Ledger) evictTraits(kind state.TraitKind) bool {
	type candidate struct {
		trait   state.Trait
		weight  int
		knownAt time.Duration
	}
	candidates := make([]candidate, 0, l.counts[kind])
	for trait, record := range l.records {
		if trait.Kind == kind && !l.isQuarantined(trait) {
			candidates = append(candidates, candidate{trait, record.judge(&l.disturbances).weight, record.knownAt})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.weight, b.weight), cmp.Compare(a.knownAt, b.knownAt), state.CompareTraits(a.trait, b.trait))
	})
	for _, c := range candidates[:(len(candidates)+3)/4] {
		l.forget(c.trait)
	}
	return len(candidates) > 0
}

// forget drops the evidence on a trait that is not in quarantine.
func (l *Ledger) forget(trait state.Trait) {
	delete(l.records, trait)
	delete(l.pending, trait)
	l.counts[trait.Kind]--
}
