package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

const (
	// suspicionTimeout is how long the end of a process may take to show after a stream was lost
	// there before its head: entries expire after 3.6 s, and return for 2 s after an outage.
	suspicionTimeout = 8 * time.Second
	// maxSuspicions bounds the processes whose end is awaited.
	maxSuspicions = 256
)

// suspicions holds the streams that were lost before the head of their answer, by the process
// that they were sent to. Such a loss is evidence only if the process has ended: an answer that
// ends in its first line, or a connection that was cut, looks the same.
type suspicions map[Process]*suspicion

type suspicion struct {
	at time.Duration
	// sentAt is when the last of the streams was sent.
	sentAt time.Duration
	traits []state.Trait
}

// add records the loss of a stream with some traits at a process.
func (s suspicions) add(now time.Duration, process Process, sentAt time.Duration, traits []state.Trait) {
	known := s[process]
	switch {
	case known != nil:
		known.sentAt, known.traits = max(known.sentAt, sentAt), append(known.traits, traits...)
	case len(s) < maxSuspicions:
		s[process] = &suspicion{at: now, sentAt: sentAt, traits: traits}
	}
}

// has reports whether a process was suspected before a time.
func (s suspicions) has(process Process, at time.Duration) bool {
	known := s[process]
	return known != nil && known.at < at
}

// clear drops the suspicion on a process that has answered a request sent after the loss.
func (s suspicions) clear(process Process, sentAt time.Duration) {
	if s.has(process, sentAt) {
		delete(s, process)
	}
}

// recordHeadlessLoss suspects the request of a stream that was lost before its head. Its parts are
// not suspected, since the requests that only wait at a target which ends are lost in the same
// way and share them.
func (s *System) recordHeadlessLoss(now time.Duration, process Process, sentAt time.Duration, traits []state.Trait) {
	if row := s.managed.Instances.Get(process.Host); row != nil && row.StartID == process.StartID {
		s.suspicions.add(now, process, sentAt, ofKind(traits, state.RequestTrait))
	}
}

func compareProcesses(a, b Process) int {
	return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.StartID, b.StartID))
}

// confirmSuspicions turns the suspicions on processes that have ended into crashes.
func (s *System) confirmSuspicions(now time.Duration, out *state.Outbox) {
	for process, suspicion := range s.suspicions {
		if now-suspicion.at > suspicionTimeout {
			delete(s.suspicions, process)
		}
	}
	ended := make([]Process, 0, len(s.suspicions))
	for process := range s.suspicions {
		if row := s.managed.Instances.Get(process.Host); row == nil || row.StartID != process.StartID {
			ended = append(ended, process)
		}
	}
	slices.SortFunc(ended, compareProcesses)
	for _, process := range ended {
		known := s.suspicions[process]
		delete(s.suspicions, process)
		s.spread(s.ledger.Crash(now, process, known.sentAt, 0, known.traits), out)
	}
}
