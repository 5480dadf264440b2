package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

const (
	// minCrashes is the number of processes that must have ended with a trait before it
	// is put into quarantine. A sound part that one of k requests holds is taken for
	// faulty only if its requests are lost three times in a row in the short time
	// between the beginning of their answer and its first event.
	minCrashes = 3
	// reviewTime is the time from the last crash of a trait in quarantine to the next trial, and
	// how long no request with the trait must have arrived before its quarantine ends. After
	// that, one more crash puts the trait back at once.
	reviewTime = 10 * time.Minute
	// minOtherStarts is how many requests without the trait, but with traits of its kind,
	// must have started at this node since the third crash if the trait started here in
	// the last minute. When many targets are lost at the same moment, as by a reset of the
	// node's own connections, a trait that many requests have may crash at three of them
	// before any request can start again. Plain services go on meanwhile: their starts say
	// nothing of parts of prompts.
	minOtherStarts = 40
	// maxTraits, for each kind, and maxCrashesPerTrait bound the memory. Traits without
	// crashes take none.
	maxTraits          = 256
	maxCrashesPerTrait = 16
	// clearedRetention is how long a cleared crash is remembered, so that a late report
	// does not bring it back.
	clearedRetention = time.Minute
	// purgePeriod is the interval between searches for cleared crashes to forget.
	purgePeriod = time.Second
)

// Process is one process of a target.
type Process struct {
	Host    state.HostID
	StartID int64
}

// Ledger holds the evidence on traits and decides which of them are in quarantine. It does not depend on the order in which crashes and clears arrive.
type Ledger struct {
	records map[state.Trait]*traitRecord
	// quarantined holds the traits in quarantine with the time from which requests with them
	// are tried.
	quarantined map[state.Trait]time.Duration
	// accused holds the processes of crashes that are not cleared, with the time at
	// which the first of these became known.
	accused map[Process]time.Duration
	// pending holds the traits with minCrashes that wait for other starts.
	pending map[state.Trait]bool
	recent  [state.TraitKinds]recentTraits
	// starts counts the starts at this node of requests with traits of each kind.
	starts      [state.TraitKinds]uint64
	transitions []Transition
	nextPurgeAt time.Duration
}

// traitRecord holds the crashes of a trait.
type traitRecord struct {
	// crashes are in the order in which they became known.
	crashes []crashRecord
	knownAt time.Duration
	// arrivedAt is when a request with the trait last arrived since its quarantine began.
	arrivedAt time.Duration
	// reviewed is set after a quarantine has ended without a start.
	reviewed bool
	// startsBefore is the number of starts of its kind when the trait became pending.
	startsBefore uint64
}

type crashRecord struct {
	process Process
	cleared bool
	// at is when the crash became known, or when it was cleared.
	at time.Duration
}

// Transition is the beginning, the prolongation or the end of a quarantine. Targets is the number of
// processes whose crashes are not cleared.
type Transition struct {
	Trait       state.Trait
	Quarantined bool
	Targets     int
	// Reviewed is set if the quarantine ended without a sign that the trait is sound.
	Reviewed bool
	// Tried is set if the quarantine goes on because a trial has ended its target.
	Tried bool
}

// NewLedger returns a ledger without evidence.
func NewLedger() *Ledger {
	return &Ledger{
		records: map[state.Trait]*traitRecord{}, quarantined: map[state.Trait]time.Duration{},
		accused: map[Process]time.Duration{}, pending: map[state.Trait]bool{},
	}
}

// Crash records that a process ended when it began to answer a request with the given
// traits. It returns what peers do not know.
func (l *Ledger) Crash(now time.Duration, process Process, traits []state.Trait) []state.TraitCrash {
	crashes := make([]state.TraitCrash, 0, len(traits))
	for _, trait := range traits {
		crashes = append(crashes, state.TraitCrash{Trait: trait, Host: process.Host, StartID: process.StartID})
	}
	return l.Merge(now, crashes)
}

// Merge adds crashes and clears that a peer reported. It returns those that are new.
func (l *Ledger) Merge(now time.Duration, crashes []state.TraitCrash) []state.TraitCrash {
	var news []state.TraitCrash
	for _, crash := range crashes {
		if l.merge(now, crash) {
			news = append(news, crash)
		}
	}
	return news
}

func (l *Ledger) merge(now time.Duration, crash state.TraitCrash) bool {
	if crash.Trait.Kind >= state.TraitKinds {
		// A later release may know more kinds.
		return false
	}
	process := Process{crash.Host, crash.StartID}
	record := l.records[crash.Trait]
	if record == nil {
		if l.countKind(crash.Trait.Kind) >= maxTraits && !l.evictTrait(crash.Trait.Kind) {
			return false
		}
		record = &traitRecord{knownAt: now}
		l.records[crash.Trait] = record
	}
	i := slices.IndexFunc(record.crashes, func(c crashRecord) bool { return c.process == process })
	switch {
	case i >= 0 && (record.crashes[i].cleared || !crash.Cleared):
		return false
	case i >= 0:
		record.crashes[i].cleared, record.crashes[i].at = true, now
	default:
		if len(record.crashes) >= maxCrashesPerTrait {
			record.crashes = slices.Delete(record.crashes, 0, 1)
		}
		record.crashes = append(record.crashes, crashRecord{process, crash.Cleared, now})
	}
	if _, known := l.accused[process]; !known && !crash.Cleared {
		l.accused[process] = now
	}
	l.judge(now, crash.Trait, i < 0 && !crash.Cleared)
	return true
}

// Start records the first event of a request with the given traits, which was sent to
// the process at sentAt. It clears the crashes of the traits, and those of the process
// that were known when the request was sent: it had not ended. Start returns what peers
// do not know.
func (l *Ledger) Start(now time.Duration, process Process, sentAt time.Duration, traits []state.Trait) []state.TraitCrash {
	l.countStart(traits)
	var clears []state.TraitCrash
	for _, trait := range traits {
		l.recent[trait.Kind].add(now, trait)
		clears = append(clears, l.clear(now, trait, func(Process) bool { return true })...)
	}
	if at, accused := l.accused[process]; accused && sentAt > at {
		delete(l.accused, process)
		for _, trait := range sortedTraits(l.records) {
			clears = append(clears, l.clear(now, trait, func(p Process) bool { return p == process })...)
		}
	}
	for _, trait := range sortedTraits(l.pending) {
		l.judge(now, trait, false)
	}
	return clears
}

// countStart counts a start once for each kind of the traits of its request.
func (l *Ledger) countStart(traits []state.Trait) {
	var counted [state.TraitKinds]bool
	for _, trait := range traits {
		if !counted[trait.Kind] {
			counted[trait.Kind] = true
			l.starts[trait.Kind]++
		}
	}
}

// clear clears the crashes of a trait at the selected processes.
func (l *Ledger) clear(now time.Duration, trait state.Trait, selects func(Process) bool) []state.TraitCrash {
	record := l.records[trait]
	if record == nil {
		return nil
	}
	var clears []state.TraitCrash
	for i := range record.crashes {
		if c := &record.crashes[i]; !c.cleared && selects(c.process) {
			c.cleared, c.at = true, now
			clears = append(clears, state.TraitCrash{Trait: trait, Host: c.process.Host, StartID: c.process.StartID, Cleared: true})
		}
	}
	if len(clears) > 0 {
		l.judge(now, trait, false)
	}
	return clears
}

// Release clears all crashes of a trait. It returns what peers do not know.
func (l *Ledger) Release(now time.Duration, trait state.Trait) []state.TraitCrash {
	return l.clear(now, trait, func(Process) bool { return true })
}

// judge begins, prolongs or ends the quarantine of a trait. isNew is set if a crash has just
// become known.
func (l *Ledger) judge(now time.Duration, trait state.Trait, isNew bool) {
	record := l.records[trait]
	count := record.count()
	_, quarantined := l.quarantined[trait]
	if count < minCrashes {
		record.reviewed = false
		delete(l.pending, trait)
		if quarantined {
			delete(l.quarantined, trait)
			l.transitions = append(l.transitions, Transition{Trait: trait, Targets: count})
		}
		return
	}
	if quarantined && isNew {
		if now >= l.quarantined[trait] {
			l.transitions = append(l.transitions, Transition{Trait: trait, Quarantined: true, Targets: count, Tried: true})
		}
		l.quarantined[trait] = now + reviewTime
	}
	if quarantined || record.reviewed && !isNew || l.mustWait(now, trait, record) {
		return
	}
	delete(l.pending, trait)
	record.reviewed, record.arrivedAt = false, now
	l.quarantined[trait] = now + reviewTime
	l.transitions = append(l.transitions, Transition{Trait: trait, Quarantined: true, Targets: count})
}

// mustWait reports whether other requests must start before a trait with enough crashes
// is put into quarantine.
func (l *Ledger) mustWait(now time.Duration, trait state.Trait, record *traitRecord) bool {
	if !l.pending[trait] {
		if !l.recent[trait.Kind].has(now, trait) {
			return false
		}
		l.pending[trait], record.startsBefore = true, l.starts[trait.Kind]
	}
	return l.starts[trait.Kind]-record.startsBefore < minOtherStarts
}

// count returns the number of crashes that are not cleared.
func (r *traitRecord) count() int {
	count := 0
	for _, c := range r.crashes {
		if !c.cleared {
			count++
		}
	}
	return count
}

// Arrive records the arrival of a request with traits in quarantine. These last until a trial
// shows that they are sound, or until no such request arrives any more.
func (l *Ledger) Arrive(now time.Duration, traits ...state.Trait) {
	for _, trait := range traits {
		if l.isQuarantined(trait) {
			l.records[trait].arrivedAt = max(l.records[trait].arrivedAt, now)
		}
	}
}

// Tick ends the quarantines of traits without requests and forgets old clears.
func (l *Ledger) Tick(now time.Duration) {
	if now < l.nextPurgeAt {
		return
	}
	l.nextPurgeAt = now + purgePeriod
	for _, trait := range sortedTraits(l.quarantined) {
		if now-l.records[trait].arrivedAt >= reviewTime {
			delete(l.quarantined, trait)
			l.records[trait].reviewed = true
			l.transitions = append(l.transitions, Transition{Trait: trait, Targets: l.records[trait].count(), Reviewed: true})
		}
	}
	accused := map[Process]bool{}
	for trait, record := range l.records {
		record.crashes = slices.DeleteFunc(record.crashes, func(c crashRecord) bool { return c.cleared && now-c.at > clearedRetention })
		if len(record.crashes) == 0 {
			delete(l.records, trait)
		}
		for _, c := range record.crashes {
			accused[c.process] = accused[c.process] || !c.cleared
		}
	}
	maps.DeleteFunc(l.accused, func(p Process, _ time.Duration) bool { return !accused[p] })
}

// Transitions returns the transitions since the last call.
func (l *Ledger) Transitions() []Transition {
	transitions := l.transitions
	l.transitions = nil
	return transitions
}

// Quarantined returns the traits in quarantine with the time from which requests with them
// are tried. The map belongs to the ledger.
func (l *Ledger) Quarantined() map[state.Trait]time.Duration { return l.quarantined }

// CrashesOf returns the crashes of a trait that are not cleared.
func (l *Ledger) CrashesOf(trait state.Trait) []state.TraitCrash {
	record := l.records[trait]
	if record == nil {
		return nil
	}
	var crashes []state.TraitCrash
	for _, c := range record.crashes {
		if !c.cleared {
			crashes = append(crashes, state.TraitCrash{Trait: trait, Host: c.process.Host, StartID: c.process.StartID})
		}
	}
	return crashes
}

// Crashes returns at most limit crashes and clears: those of traits in quarantine first,
// then those of the traits with most crashes.
func (l *Ledger) Crashes(limit int) []state.TraitCrash {
	traits := slices.SortedFunc(maps.Keys(l.records), func(a, b state.Trait) int {
		return cmp.Or(-compareBool(l.isQuarantined(a), l.isQuarantined(b)), l.records[b].count()-l.records[a].count(), state.CompareTraits(a, b))
	})
	var crashes []state.TraitCrash
	for _, trait := range traits {
		for _, c := range l.records[trait].crashes {
			if len(crashes) == limit {
				return crashes
			}
			crashes = append(crashes, state.TraitCrash{Trait: trait, Host: c.process.Host, StartID: c.process.StartID, Cleared: c.cleared})
		}
	}
	return crashes
}

func (l *Ledger) isQuarantined(trait state.Trait) bool {
	_, quarantined := l.quarantined[trait]
	return quarantined
}

func sortedTraits[V any](m map[state.Trait]V) []state.Trait {
	return slices.SortedFunc(maps.Keys(m), state.CompareTraits)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// countKind returns the number of traits of a kind with crashes.
func (l *Ledger) countKind(kind state.TraitKind) int {
	count := 0
	for trait := range l.records {
		if trait.Kind == kind {
			count++
		}
	}
	return count
}

// evictTrait forgets the trait of a kind that has been known longest among those with the
// fewest crashes. It returns false if all of them are in quarantine.
func (l *Ledger) evictTrait(kind state.TraitKind) bool {
	var evicted state.Trait
	found := false
	for trait, record := range l.records {
		if trait.Kind != kind || l.isQuarantined(trait) {
			continue
		}
		best := l.records[evicted]
		if !found || cmp.Or(cmp.Compare(record.count(), best.count()), cmp.Compare(record.knownAt, best.knownAt), state.CompareTraits(trait, evicted)) < 0 {
			evicted, found = trait, true
		}
	}
	if found {
		delete(l.records, evicted)
		delete(l.pending, evicted)
	}
	return found
}
