package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

const (
	// minCrashes is the number of processes that must have ended with a part before it
	// is put into quarantine. A sound part that one of k requests holds is taken for
	// faulty only if its requests are lost three times in a row in the short time
	// between the beginning of their answer and its first event.
	minCrashes = 3
	// reviewTime is how long no request with a part in quarantine must have arrived
	// before the next one is run. One more crash then puts the part back at once.
	reviewTime = 10 * time.Minute
	// minOtherStarts is how many requests without the part must have started at this
	// node since the third crash if the part started here in the last minute. When many
	// targets are lost at the same moment, as by a reset of the node's own connections,
	// a part that many requests have may crash at three of them before any request can
	// start again.
	minOtherStarts = 40
	// maxParts and maxCrashesPerPart bound the memory. Parts without crashes take none.
	maxParts          = 256
	maxCrashesPerPart = 16
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

// Ledger holds the evidence on prompt parts and decides which of them are in
// quarantine. It does not depend on the order in which crashes and clears arrive.
type Ledger struct {
	parts map[state.PromptPartID]*partRecord
	// quarantined holds the parts in quarantine with the time of their review.
	quarantined map[state.PromptPartID]time.Duration
	// accused holds the processes of crashes that are not cleared, with the time at
	// which the first of these became known.
	accused map[Process]time.Duration
	// pending holds the parts with minCrashes that wait for other starts.
	pending map[state.PromptPartID]bool
	recent  recentParts
	// starts counts the starts at this node.
	starts      uint64
	transitions []Transition
	nextPurgeAt time.Duration
}

// partRecord holds the crashes of a part.
type partRecord struct {
	// crashes are in the order in which they became known.
	crashes []crashRecord
	knownAt time.Duration
	// reviewed is set after a quarantine has ended without a start.
	reviewed bool
	// startsBefore is the number of starts at this node when the part became pending.
	startsBefore uint64
}

type crashRecord struct {
	process Process
	cleared bool
	// at is when the crash became known, or when it was cleared.
	at time.Duration
}

// Transition is the beginning or the end of a quarantine. Targets is the number of
// processes whose crashes are not cleared.
type Transition struct {
	Part        state.PromptPartID
	Quarantined bool
	Targets     int
	// Reviewed is set if the quarantine ended without a sign that the part is sound.
	Reviewed bool
}

// NewLedger returns a ledger without evidence.
func NewLedger() *Ledger {
	return &Ledger{
		parts: map[state.PromptPartID]*partRecord{}, quarantined: map[state.PromptPartID]time.Duration{},
		accused: map[Process]time.Duration{}, pending: map[state.PromptPartID]bool{},
	}
}

// Crash records that a process ended when it began to answer a request with the given
// parts. It returns what peers do not know.
func (l *Ledger) Crash(now time.Duration, process Process, parts []state.PromptPartID) []state.PromptPartCrash {
	crashes := make([]state.PromptPartCrash, 0, len(parts))
	for _, part := range parts {
		crashes = append(crashes, state.PromptPartCrash{Part: part, Host: process.Host, StartID: process.StartID})
	}
	return l.Merge(now, crashes)
}

// Merge adds crashes and clears that a peer reported. It returns those that are new.
func (l *Ledger) Merge(now time.Duration, crashes []state.PromptPartCrash) []state.PromptPartCrash {
	var news []state.PromptPartCrash
	for _, crash := range crashes {
		if l.merge(now, crash) {
			news = append(news, crash)
		}
	}
	return news
}

func (l *Ledger) merge(now time.Duration, crash state.PromptPartCrash) bool {
	process := Process{crash.Host, crash.StartID}
	record := l.parts[crash.Part]
	if record == nil {
		if len(l.parts) >= maxParts && !l.evictPart() {
			return false
		}
		record = &partRecord{knownAt: now}
		l.parts[crash.Part] = record
	}
	i := slices.IndexFunc(record.crashes, func(c crashRecord) bool { return c.process == process })
	switch {
	case i >= 0 && (record.crashes[i].cleared || !crash.Cleared):
		return false
	case i >= 0:
		record.crashes[i].cleared, record.crashes[i].at = true, now
	default:
		if len(record.crashes) >= maxCrashesPerPart {
			record.crashes = slices.Delete(record.crashes, 0, 1)
		}
		record.crashes = append(record.crashes, crashRecord{process, crash.Cleared, now})
	}
	if _, known := l.accused[process]; !known && !crash.Cleared {
		l.accused[process] = now
	}
	l.judge(now, crash.Part, i < 0 && !crash.Cleared)
	return true
}

// Start records the first event of a request with the given parts, which was sent to
// the process at sentAt. It clears the crashes of the parts, and those of the process
// that were known when the request was sent: it had not ended. Start returns what peers
// do not know.
func (l *Ledger) Start(now time.Duration, process Process, sentAt time.Duration, parts []state.PromptPartID) []state.PromptPartCrash {
	l.starts++
	var clears []state.PromptPartCrash
	for _, part := range parts {
		l.recent.add(now, part)
		clears = append(clears, l.clear(now, part, func(Process) bool { return true })...)
	}
	if at, accused := l.accused[process]; accused && sentAt > at {
		delete(l.accused, process)
		for _, part := range slices.Sorted(maps.Keys(l.parts)) {
			clears = append(clears, l.clear(now, part, func(p Process) bool { return p == process })...)
		}
	}
	for _, part := range slices.Sorted(maps.Keys(l.pending)) {
		l.judge(now, part, false)
	}
	return clears
}

// clear clears the crashes of a part at the selected processes.
func (l *Ledger) clear(now time.Duration, part state.PromptPartID, selects func(Process) bool) []state.PromptPartCrash {
	record := l.parts[part]
	if record == nil {
		return nil
	}
	var clears []state.PromptPartCrash
	for i := range record.crashes {
		if c := &record.crashes[i]; !c.cleared && selects(c.process) {
			c.cleared, c.at = true, now
			clears = append(clears, state.PromptPartCrash{Part: part, Host: c.process.Host, StartID: c.process.StartID, Cleared: true})
		}
	}
	if len(clears) > 0 {
		l.judge(now, part, false)
	}
	return clears
}

// judge begins or ends the quarantine of a part. isNew is set if a crash has just
// become known.
func (l *Ledger) judge(now time.Duration, part state.PromptPartID, isNew bool) {
	record := l.parts[part]
	count := record.count()
	_, quarantined := l.quarantined[part]
	if count < minCrashes {
		record.reviewed = false
		delete(l.pending, part)
		if quarantined {
			delete(l.quarantined, part)
			l.transitions = append(l.transitions, Transition{Part: part, Targets: count})
		}
		return
	}
	if quarantined || record.reviewed && !isNew || l.mustWait(now, part, record) {
		return
	}
	delete(l.pending, part)
	record.reviewed = false
	l.quarantined[part] = now + reviewTime
	l.transitions = append(l.transitions, Transition{Part: part, Quarantined: true, Targets: count})
}

// mustWait reports whether other requests must start before a part with enough crashes
// is put into quarantine.
func (l *Ledger) mustWait(now time.Duration, part state.PromptPartID, record *partRecord) bool {
	if !l.pending[part] {
		if !l.recent.has(now, part) {
			return false
		}
		l.pending[part], record.startsBefore = true, l.starts
	}
	return l.starts-record.startsBefore < minOtherStarts
}

// count returns the number of crashes that are not cleared.
func (r *partRecord) count() int {
	count := 0
	for _, c := range r.crashes {
		if !c.cleared {
			count++
		}
	}
	return count
}

// Arrive records the arrival of a request and defers the review of its parts.
func (l *Ledger) Arrive(now time.Duration, parts []state.PromptPartID) {
	if len(l.quarantined) == 0 {
		return
	}
	for _, part := range parts {
		if _, quarantined := l.quarantined[part]; quarantined {
			l.quarantined[part] = now + reviewTime
		}
	}
}

// Tick ends the quarantines that are due for review and forgets old clears.
func (l *Ledger) Tick(now time.Duration) {
	if now < l.nextPurgeAt {
		return
	}
	l.nextPurgeAt = now + purgePeriod
	for _, part := range slices.Sorted(maps.Keys(l.quarantined)) {
		if now >= l.quarantined[part] {
			delete(l.quarantined, part)
			l.parts[part].reviewed = true
			l.transitions = append(l.transitions, Transition{Part: part, Targets: l.parts[part].count(), Reviewed: true})
		}
	}
	accused := map[Process]bool{}
	for part, record := range l.parts {
		record.crashes = slices.DeleteFunc(record.crashes, func(c crashRecord) bool { return c.cleared && now-c.at > clearedRetention })
		if len(record.crashes) == 0 {
			delete(l.parts, part)
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

// Quarantined returns the parts in quarantine with the time of their review. The map
// belongs to the ledger.
func (l *Ledger) Quarantined() map[state.PromptPartID]time.Duration { return l.quarantined }

// Crashes returns at most limit crashes and clears: those of parts in quarantine first,
// then those of the parts with most crashes.
func (l *Ledger) Crashes(limit int) []state.PromptPartCrash {
	parts := slices.SortedFunc(maps.Keys(l.parts), func(a, b state.PromptPartID) int {
		return cmp.Or(-compareBool(l.isQuarantined(a), l.isQuarantined(b)), l.parts[b].count()-l.parts[a].count(), cmp.Compare(a, b))
	})
	var crashes []state.PromptPartCrash
	for _, part := range parts {
		for _, c := range l.parts[part].crashes {
			if len(crashes) == limit {
				return crashes
			}
			crashes = append(crashes, state.PromptPartCrash{Part: part, Host: c.process.Host, StartID: c.process.StartID, Cleared: c.cleared})
		}
	}
	return crashes
}

func (l *Ledger) isQuarantined(part state.PromptPartID) bool {
	_, quarantined := l.quarantined[part]
	return quarantined
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

// evictPart forgets the part that has been known longest among those with the fewest
// crashes. It returns false if all parts are in quarantine.
func (l *Ledger) evictPart() bool {
	var evicted state.PromptPartID
	found := false
	for part, record := range l.parts {
		if l.isQuarantined(part) {
			continue
		}
		best := l.parts[evicted]
		if !found || cmp.Or(cmp.Compare(record.count(), best.count()), cmp.Compare(record.knownAt, best.knownAt), cmp.Compare(part, evicted)) < 0 {
			evicted, found = part, true
		}
	}
	if found {
		delete(l.parts, evicted)
		delete(l.pending, evicted)
	}
	return found
}
