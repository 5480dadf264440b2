package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

const (
	// sightingTimeout is how long an entry may take to show which process has answered.
	sightingTimeout = 10 * time.Second
	// minRenewals is the number of writes of an entry after an answer that show that the process is
	// the same. The first one that arrives may have been written before the answer.
	minRenewals = 2
	// maxSightings bounds the processes whose entry is awaited.
	maxSightings = 256
)

// sighting is an answer of a host whose process is believed to have ended. A process that starts
// again under the same ID may answer before its entry says so.
type sighting struct {
	sentAt, answeredAt time.Duration
	// revision is the last one seen of the host's entry, and renewals the number of those since
	// the answer.
	revision uint64
	renewals int
}

// recordAnswer records that a process has answered a request. It is evidence that the process has
// not ended once the host's entry, written after the answer, names the same process.
func (s *System) recordAnswer(now time.Duration, process Process, sentAt time.Duration) {
	if !s.ledger.isAccused(process, sentAt) && !s.suspicions.has(process, sentAt) {
		return
	}
	row := s.managed.Instances.Get(process.Host)
	if _, known := s.sightings[process]; known || row == nil || len(s.sightings) >= maxSightings {
		return
	}
	s.sightings[process] = &sighting{sentAt: sentAt, answeredAt: now, revision: row.Revision}
}

// confirmSightings drops the evidence against processes that have turned out to live.
func (s *System) confirmSightings(now time.Duration, out *state.Outbox) {
	if len(s.sightings) == 0 {
		return
	}
	for _, process := range slices.SortedFunc(maps.Keys(s.sightings), compareProcesses) {
		seen, row := s.sightings[process], s.managed.Instances.Get(process.Host)
		if row == nil || row.StartID != process.StartID || now-seen.answeredAt > sightingTimeout {
			delete(s.sightings, process)
			continue
		}
		if row.Revision != seen.revision {
			seen.revision = row.Revision
			seen.renewals++
		}
		if seen.renewals >= minRenewals {
			delete(s.sightings, process)
			s.suspicions.clear(process, seen.sentAt)
			s.spread(s.ledger.ConfirmAlive(now, process, seen.sentAt), out)
		}
	}
}
