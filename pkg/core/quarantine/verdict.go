package quarantine

import (
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

const (
	// minCrashes is the number of processes that must have ended with a trait before it
	// is put into quarantine. A sound part that one of k requests holds is taken for
	// faulty only if its requests are lost three times in a row in the short time
	// between the head of their answer and beginningTime after its first event.
	minCrashes = 3
	// crashWeight is the weight of a crash at the beginning of an answer, lateCrashWeight that of a
	// later one, and veryLateCrashWeight that of one later than lateTime: the longer the answer has
	// run, the more answers beside it may be at fault. The bounds of the platform begin with the
	// fifth crash, and allow three more requests.
	crashWeight, lateCrashWeight, veryLateCrashWeight = 4, 2, 1
	lateTime                                          = 500 * time.Millisecond
	// verdictWeight is the weight at which a trait is put into quarantine.
	verdictWeight = minCrashes * crashWeight
	// reviewTime is the time from the last crash of a trait in quarantine to the next trial, and
	// how long no request with the trait must have arrived before its quarantine ends. After
	// that, one more crash puts the trait back at once.
	reviewTime = 10 * time.Minute
	// minOtherAnswers is how many requests without the trait, but with traits of its kind, must
	// have been sent and answered at this node since the verdict on a trait became due that was
	// sound here in the last minute. When many targets are lost at the same moment, as by a reset
	// of the node's own connections, a trait that many requests have may crash at three of them
	// before any request can be answered again. Plain services go on meanwhile: their answers say
	// nothing of parts of prompts.
	minOtherAnswers = 40
	// verdictTimeout bounds that wait if requests with the trait go on ending targets, since their
	// crashes may stop the other requests. It leaves time for a trial within the 3 s that the
	// platform allows. settleTime is how long after the wait began a crash shows that they do: what
	// was lost with many targets at the same moment is known by then.
	verdictTimeout = 2 * time.Second
	settleTime     = 500 * time.Millisecond
	// maxFailedTrials is how many trials of a part on probation may end a target: another trait of
	// the request may be at fault. A whole request is tried once.
	maxFailedTrials = 2
	// outliveTime is how much longer than twice the age of a lost answer another one must have run
	// to speak against the crash before it is complete.
	outliveTime = 500 * time.Millisecond
)

// judge begins, prolongs or ends the quarantine of a trait. isNew is set if a crash has just
// become known.
func (l *Ledger) judge(now time.Duration, trait state.Trait, isNew bool) {
	record := l.records[trait]
	count := record.count()
	_, quarantined := l.quarantined[trait]
	v := record.judge(&l.disturbances)
	if v.weight < verdictWeight {
		record.reviewed = false
		delete(l.pending, trait)
		if quarantined {
			l.endQuarantine(trait)
			l.transitions = append(l.transitions, Transition{Trait: trait, Targets: count})
		}
		return
	}
	if quarantined && isNew {
		l.prolong(now, trait, record)
	}
	if quarantined || record.reviewed && !isNew || l.mustWait(now, trait, record) {
		return
	}
	// What was sound lately, or has only been lost late, is tried at once.
	_, waited := l.pending[trait]
	onProbation := waited || v.beginnings < minCrashes
	delete(l.pending, trait)
	record.reviewed, record.arrivedAt, record.failedTrials = false, now, 0
	l.quarantined[trait] = now + reviewTime
	if onProbation {
		l.quarantined[trait], l.probation[trait] = now, now
	}
	l.transitions = append(l.transitions, Transition{Trait: trait, Quarantined: true, Targets: count, Probation: onProbation})
}

// prolong puts the next trial of a trait in quarantine off after a crash. On probation only the
// crashes of its trials count, since other requests with the trait were under way when it began.
func (l *Ledger) prolong(now time.Duration, trait state.Trait, record *traitRecord) {
	_, onProbation := l.probation[trait]
	if onProbation && (record.failedTrials == 0 || trait.Kind == state.PromptPartTrait && record.failedTrials < maxFailedTrials) {
		return
	}
	delete(l.probation, trait)
	if now >= l.quarantined[trait] {
		l.transitions = append(l.transitions, Transition{Trait: trait, Quarantined: true, Targets: record.count(), Tried: true})
	}
	l.quarantined[trait] = now + reviewTime
}

func (l *Ledger) endQuarantine(trait state.Trait) {
	delete(l.quarantined, trait)
	delete(l.probation, trait)
}

// mustWait reports whether the verdict on a trait with enough crashes is put off: it was sound
// here lately, and answers of other requests have not yet shown that its own should have been
// answered as well.
func (l *Ledger) mustWait(now time.Duration, trait state.Trait, record *traitRecord) bool {
	since, waits := l.pending[trait]
	if !waits {
		if !l.wasSoundLately(now, trait) {
			return false
		}
		since = now
		l.pending[trait], record.otherAnswers = now, 0
	}
	if record.otherAnswers >= minOtherAnswers {
		return false
	}
	return now-since < verdictTimeout || !record.hasCrashAfter(since+settleTime)
}

// hasCrashAfter reports whether a crash that is not cleared became known after a time.
func (r *traitRecord) hasCrashAfter(at time.Duration) bool {
	return slices.ContainsFunc(r.crashes, func(c crashRecord) bool { return !c.cleared && c.at > at })
}

// wasSoundLately reports whether requests with a trait were answered at this node lately, or are
// being answered for some time.
func (l *Ledger) wasSoundLately(now time.Duration, trait state.Trait) bool {
	return l.recent[trait.Kind].has(now, trait) ||
		slices.ContainsFunc(l.running.withTrait(now, trait), func(a answer) bool { return a.age >= outliveTime })
}

// verdict is what the crashes of a trait that are not cleared amount to.
type verdict struct {
	// weight is their weight, and beginnings the number of those at the beginning of an answer.
	weight, beginnings int
}

// judge weighs the crashes that are not cleared. Targets that end within disturbanceTime of each
// other count once, unless the request was sent after the first of these ends: it may be the repeat
// that ends the next target. In a disturbance late losses count for nothing.
func (r *traitRecord) judge(d *disturbances) verdict {
	var v verdict
	weight, since := 0, time.Duration(0)
	add := func() {
		v.weight += weight
		if weight == crashWeight {
			v.beginnings++
		}
		weight = 0
	}
	for i := range r.crashes {
		c := &r.crashes[i]
		if c.cleared {
			continue
		}
		if c.isOld || weight == 0 || c.at-since >= disturbanceTime || c.sentAt > since-reportJitter {
			add()
			since = c.at
		}
		switch w := c.weight(); {
		case c.isOld || !d.has(c.at, c.sentAt):
			weight = max(weight, w)
		case w == crashWeight:
			// Many requests with a faulty trait may end several targets at the same moment.
			weight = max(weight, lateCrashWeight)
		}
	}
	add()
	return v
}

func (c *crashRecord) weight() int {
	switch {
	case c.age < beginningTime:
		return crashWeight
	case c.age < lateTime:
		return lateCrashWeight
	}
	return veryLateCrashWeight
}

// restartWait gives a trait whose verdict is awaited the whole time again, after one of its crashes
// was cleared.
func (l *Ledger) restartWait(now time.Duration, trait state.Trait) {
	if _, waits := l.pending[trait]; waits {
		l.pending[trait], l.records[trait].otherAnswers = now, 0
	}
}

// countOtherAnswers counts an answer for the traits whose verdict is awaited, and that it could have shown
// to be sound.
func (l *Ledger) countOtherAnswers(now time.Duration, a answer, traits []state.Trait) {
	if len(l.pending) == 0 {
		return
	}
	var kinds [state.TraitKinds]bool
	for _, trait := range traits {
		kinds[trait.Kind] = true
	}
	for _, trait := range sortedTraits(l.pending) {
		if kinds[trait.Kind] && a.sentAt >= l.pending[trait] && !slices.Contains(traits, trait) {
			l.records[trait].otherAnswers++
			l.judge(now, trait, false)
		}
	}
}
