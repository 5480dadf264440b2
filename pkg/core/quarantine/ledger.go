package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

const (
	// disturbanceTime is the time within which targets that end count as one. It leaves time for a
	// report to reach all nodes, and is shorter than the time to the next first event.
	disturbanceTime = 25 * time.Millisecond
	// reportJitter is by how much the times of two reports of a node may differ at another one.
	reportJitter = 2 * time.Millisecond
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
	// minOtherStarts is how many requests without the trait, but with traits of its kind, must
	// have been sent and answered at this node since the verdict on a trait became due that was
	// sound here in the last minute. When many targets are lost at the same moment, as by a reset
	// of the node's own connections, a trait that many requests have may crash at three of them
	// before any request can be answered again. Plain services go on meanwhile: their answers say
	// nothing of parts of prompts.
	minOtherStarts = 40
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
	// maxTraits, for each kind, and maxCrashesPerTrait bound the memory. Traits without
	// crashes take none. Two requests whose prompts fill a header have fewer parts.
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

// Ledger holds the evidence on traits and decides which of them are in quarantine. It does not depend on the order in which crashes and clears arrive.
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

// traitRecord holds the crashes of a trait.
type traitRecord struct {
	// crashes are in the order in which they became known.
	crashes []crashRecord
	knownAt time.Duration
	// arrivedAt is when a request with the trait last arrived since its quarantine began.
	arrivedAt time.Duration
	// reviewed is set after a quarantine has ended without a start.
	reviewed bool
	// otherStarts counts the answers of other requests since the wait for the verdict began.
	otherStarts int
	// failedTrials counts the targets that trials have ended since the quarantine began.
	failedTrials int
}

type crashRecord struct {
	process Process
	cleared bool
	// age is how long after its first event the answer was lost.
	age time.Duration
	// sentAt is when the request was sent.
	sentAt time.Duration
	// at is when the crash became known, or when it was cleared.
	at time.Duration
	// isOld is set if the crash was reported some time after it had happened.
	isOld bool
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

// add adds a crash or a clear. It returns false if it changes nothing that peers do not know.
func (r *traitRecord) add(now time.Duration, crash state.TraitCrash, isOld bool) bool {
	process := Process{crash.Host, crash.StartID}
	i := slices.IndexFunc(r.crashes, func(c crashRecord) bool { return c.process == process })
	if i < 0 {
		if len(r.crashes) >= maxCrashesPerTrait {
			r.crashes = slices.Delete(r.crashes, 0, 1)
		}
		r.crashes = append(r.crashes, crashRecord{process: process, cleared: crash.Cleared, age: crash.Age, sentAt: now - crash.Ran, at: now, isOld: isOld})
		return true
	}
	known := &r.crashes[i]
	weight := known.weight()
	// The answer that was lost first tells most.
	known.age = min(known.age, crash.Age)
	if known.cleared || !crash.Cleared {
		return !known.cleared && known.weight() > weight
	}
	known.cleared, known.at = true, now
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
	l.countStart(now, a, traits)
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

// countStart counts an answer for the traits whose verdict is awaited, and that it could have shown
// to be sound.
func (l *Ledger) countStart(now time.Duration, a answer, traits []state.Trait) {
	if len(l.pending) == 0 {
		return
	}
	var kinds [state.TraitKinds]bool
	for _, trait := range traits {
		kinds[trait.Kind] = true
	}
	for _, trait := range sortedTraits(l.pending) {
		if kinds[trait.Kind] && a.sentAt >= l.pending[trait] && !slices.Contains(traits, trait) {
			l.records[trait].otherStarts++
			l.judge(now, trait, false)
		}
	}
}

// restartWait gives a trait whose verdict is awaited the whole time again, after one of its crashes
// was cleared.
func (l *Ledger) restartWait(now time.Duration, trait state.Trait) {
	if _, waits := l.pending[trait]; waits {
		l.pending[trait], l.records[trait].otherStarts = now, 0
	}
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
		l.pending[trait], record.otherStarts = now, 0
	}
	if record.otherStarts >= minOtherStarts {
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
