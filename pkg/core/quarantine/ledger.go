package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

const (
	// maxTraits, for each kind, and maxCrashesPerTrait bound the memory. Traits without
	// crashes take none. The prompts of two requests that fill their headers have no more parts.
	maxTraits          = 8192
	maxCrashesPerTrait = 16
	// maxNewTraits bounds the traits of the requests which were lost with a process that a node adds
	// to the evidence, and maxSoundTraits those among them that were sound here lately. See
	// selectTraits.
	maxNewTraits   = 4096
	maxSoundTraits = 256
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

// Ledger holds the evidence on traits and decides which of them are in quarantine. The order in which
// crashes and clears arrive does not matter, apart from the moments at which targets end together.
type Ledger struct {
	records map[state.Trait]*traitRecord
	// quarantined holds the traits in quarantine with the time from which requests with them
	// are tried.
	quarantined map[state.Trait]time.Duration
	// probation holds the traits in quarantine whose trials begin at once, with the time at which
	// it began.
	probation map[state.Trait]time.Duration
	// accused holds the processes of crashes that are not cleared, with the time at
	// which the first of these became known.
	accused map[Process]time.Duration
	// pending holds the traits with enough crashes whose verdict is awaited, with the time at which
	// the wait began.
	pending map[state.Trait]time.Duration
	recent  [state.TraitKinds]recentTraits
	// disturbances holds the moments at which several processes have ended.
	disturbances disturbances
	// counts holds the number of records of each kind.
	counts [state.TraitKinds]int
	// added counts the traits that were added for a process, by selectTraits.
	added map[Process]addedTraits
	// running holds the answers at this node that are still running.
	running     runningAnswers
	transitions []Transition
	nextPurgeAt time.Duration
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
	// Probation is set if the trait is tried at once.
	Probation bool
}

// NewLedger returns a ledger without evidence.
func NewLedger() *Ledger {
	return &Ledger{
		records: map[state.Trait]*traitRecord{}, quarantined: map[state.Trait]time.Duration{},
		probation: map[state.Trait]time.Duration{},
		accused:   map[Process]time.Duration{}, pending: map[state.Trait]time.Duration{}, running: runningAnswers{},
		added: map[Process]addedTraits{},
	}
}

// Crash records that a process ended while it answered a request with the given traits, which was
// sent at sentAt. age is the time since the first event of the answer, 0 before that. It returns
// what peers do not know.
func (l *Ledger) Crash(now time.Duration, process Process, sentAt, age time.Duration, traits []state.Trait) []state.TraitCrash {
	// What was lost had outlived earlier crashes.
	var news []state.TraitCrash
	for _, trait := range traits {
		news = append(news, l.clear(now, trait, answer{sentAt: sentAt, age: age}.clears)...)
	}
	traits = l.selectTraits(now, process, traits)
	crashes := make([]state.TraitCrash, 0, len(traits))
	for _, trait := range traits {
		since, onProbation := l.probation[trait]
		crashes = append(crashes, state.TraitCrash{
			Trait: trait, Host: process.Host, StartID: process.StartID,
			Age: age.Truncate(time.Millisecond), Ran: (now - sentAt).Truncate(time.Millisecond), Tried: onProbation && sentAt >= since,
		})
	}
	return append(news, l.Merge(now, crashes, false)...)
}

// Merge adds crashes and clears that a peer reported or a row holds. areOld is set if they were not
// reported as they happened. Merge returns those that are new.
func (l *Ledger) Merge(now time.Duration, crashes []state.TraitCrash, areOld bool) []state.TraitCrash {
	var news []state.TraitCrash
	for _, crash := range crashes {
		if l.merge(now, crash, areOld) {
			news = append(news, crash)
		}
	}
	return news
}

func (l *Ledger) merge(now time.Duration, crash state.TraitCrash, isOld bool) bool {
	if crash.Trait.Kind >= state.TraitKinds {
		// A later release may know more kinds.
		return false
	}
	process := Process{crash.Host, crash.StartID}
	record := l.records[crash.Trait]
	if record == nil {
		if l.counts[crash.Trait.Kind] >= maxTraits && !l.evictTraits(crash.Trait.Kind) {
			return false
		}
		record = &traitRecord{knownAt: now}
		l.records[crash.Trait] = record
		l.counts[crash.Trait.Kind]++
	}
	if !record.add(now, crash, isOld) {
		return false
	}
	if _, known := l.accused[process]; !known && !crash.Cleared {
		l.accused[process] = now
		if !isOld {
			l.disturbances.add(now, now-crash.Ran)
		}
	}
	if _, onProbation := l.probation[crash.Trait]; onProbation && crash.Tried {
		record.failedTrials++
	}
	if crash.Cleared {
		l.restartWait(now, crash.Trait)
	}
	l.judge(now, crash.Trait, !crash.Cleared)
	return true
}

// Sound records an answer of a request with the given traits. It clears the crashes of the traits
// against which the answer speaks, and returns what peers do not know.
func (l *Ledger) Sound(now time.Duration, a answer, traits []state.Trait) []state.TraitCrash {
	var clears []state.TraitCrash
	for _, trait := range traits {
		// The rest of an answer may be too short to show anything.
		if !a.resumed {
			l.recent[trait.Kind].add(now, trait)
		}
		clears = append(clears, l.clear(now, trait, a.clears)...)
	}
	l.countOtherAnswers(now, a, traits)
	return clears
}

// isAccused reports whether a process is believed to have ended before a time.
func (l *Ledger) isAccused(process Process, at time.Duration) bool {
	since, accused := l.accused[process]
	return accused && since < at
}

// ConfirmAlive records that a process has answered a request that was sent at sentAt. It clears the
// crashes at the process that were known before: it had not ended. ConfirmAlive returns what peers
// do not know.
func (l *Ledger) ConfirmAlive(now time.Duration, process Process, sentAt time.Duration) []state.TraitCrash {
	if !l.isAccused(process, sentAt) {
		return nil
	}
	delete(l.accused, process)
	var clears []state.TraitCrash
	for _, trait := range sortedTraits(l.records) {
		clears = append(clears, l.clear(now, trait, func(c *crashRecord) bool { return c.process == process && c.at < sentAt })...)
	}
	return clears
}

// clear clears the selected crashes of a trait.
func (l *Ledger) clear(now time.Duration, trait state.Trait, selects func(*crashRecord) bool) []state.TraitCrash {
	record := l.records[trait]
	if record == nil {
		return nil
	}
	var clears []state.TraitCrash
	for i := range record.crashes {
		if c := &record.crashes[i]; !c.cleared && selects(c) {
			c.cleared, c.at = true, now
			clears = append(clears, state.TraitCrash{Trait: trait, Host: c.process.Host, StartID: c.process.StartID, Cleared: true})
		}
	}
	if len(clears) > 0 {
		l.restartWait(now, trait)
		l.judge(now, trait, false)
	}
	return clears
}

// ConfirmRunning clears the crashes of traits whose verdict is awaited, or that are on probation,
// against which the running answers at this node speak. It returns what peers do not know.
func (l *Ledger) ConfirmRunning(now time.Duration) []state.TraitCrash {
	var clears []state.TraitCrash
	for _, suspects := range []map[state.Trait]time.Duration{l.pending, l.probation} {
		for _, trait := range sortedTraits(suspects) {
			answers := l.running.withTrait(now, trait)
			clears = append(clears, l.clear(now, trait, func(c *crashRecord) bool {
				return slices.ContainsFunc(answers, func(a answer) bool { return a.clears(c) })
			})...)
		}
	}
	return clears
}

// Release clears all crashes of a trait. It returns what peers do not know.
func (l *Ledger) Release(now time.Duration, trait state.Trait) []state.TraitCrash {
	return l.clear(now, trait, func(*crashRecord) bool { return true })
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

// Tick ends waits for a verdict and the quarantines of traits without requests, and forgets old
// clears.
func (l *Ledger) Tick(now time.Duration) {
	for _, trait := range sortedTraits(l.pending) {
		l.judge(now, trait, false)
	}
	if l.disturbances.takeChanged() {
		for _, trait := range sortedTraits(l.quarantined) {
			l.judge(now, trait, false)
		}
	}
	if now < l.nextPurgeAt {
		return
	}
	l.nextPurgeAt = now + purgePeriod
	for _, trait := range sortedTraits(l.quarantined) {
		if now-l.records[trait].arrivedAt >= reviewTime {
			l.endQuarantine(trait)
			l.records[trait].reviewed = true
			l.transitions = append(l.transitions, Transition{Trait: trait, Targets: l.records[trait].count(), Reviewed: true})
		}
	}
	accused := map[Process]bool{}
	for trait, record := range l.records {
		record.crashes = slices.DeleteFunc(record.crashes, func(c crashRecord) bool { return c.cleared && now-c.at > clearedRetention })
		if len(record.crashes) == 0 {
			l.forget(trait)
		}
		for _, c := range record.crashes {
			accused[c.process] = accused[c.process] || !c.cleared
		}
	}
	maps.DeleteFunc(l.accused, func(p Process, _ time.Duration) bool { return !accused[p] })
	maps.DeleteFunc(l.added, func(p Process, _ addedTraits) bool { return !accused[p] })
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

// Probation returns the traits in quarantine whose trials begin at once, with the time at which it
// began. The map belongs to the ledger.
func (l *Ledger) Probation() map[state.Trait]time.Duration { return l.probation }

// HasEvidence reports whether the crashes of a trait are enough for a quarantine.
func (l *Ledger) HasEvidence(trait state.Trait) bool {
	record := l.records[trait]
	return record != nil && record.judge(&l.disturbances).weight >= verdictWeight
}

// CrashesOf returns the crashes of a trait that are not cleared.
func (l *Ledger) CrashesOf(trait state.Trait) []state.TraitCrash {
	record := l.records[trait]
	if record == nil {
		return nil
	}
	var crashes []state.TraitCrash
	for _, c := range record.crashes {
		if !c.cleared {
			crashes = append(crashes, state.TraitCrash{Trait: trait, Host: c.process.Host, StartID: c.process.StartID, Age: c.age})
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
			crashes = append(crashes, state.TraitCrash{Trait: trait, Host: c.process.Host, StartID: c.process.StartID, Cleared: c.cleared, Age: c.age})
		}
	}
	return crashes
}

func (l *Ledger) isQuarantined(trait state.Trait) bool {
	_, quarantined := l.quarantined[trait]
	return quarantined
}

func sortedTraits[V any](m map[state.Trait]V) []state.Trait {
	if len(m) == 0 {
		return nil
	}
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
