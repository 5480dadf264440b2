package quarantine

import (
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// traitRecord holds the crashes of a trait.
type traitRecord struct {
	// crashes are in the order in which they became known.
	crashes []crashRecord
	knownAt time.Duration
	// arrivedAt is when a request with the trait last arrived since its quarantine began.
	arrivedAt time.Duration
	// reviewed is set after a quarantine has ended without a start.
	reviewed bool
	// otherAnswers counts the answers of other requests since the wait for the verdict began.
	otherAnswers int
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
