package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// lateLoss is the loss of an answer later than beginningTime after its first event. All streams of a
// target are lost with it, so that the losses at one process come together; they are booked with
// the next tick.
type lateLoss struct {
	process     Process
	sentAt, age time.Duration
	traits      []state.Trait
}

// recordLoss records the loss of an answer. At its beginning it is a crash at once, before the
// request is repeated.
func (s *System) recordLoss(now time.Duration, process Process, sentAt, age time.Duration, traits []state.Trait, out *state.Outbox) {
	if age < beginningTime {
		s.spread(s.ledger.Crash(now, process, sentAt, age, traits), out)
		return
	}
	s.lateLosses = append(s.lateLosses, lateLoss{process, sentAt, age, traits})
}

// bookLateLosses records the late losses as crashes, those of the youngest answers first.
func (s *System) bookLateLosses(now time.Duration, out *state.Outbox) {
	losses := s.lateLosses
	s.lateLosses = nil
	slices.SortStableFunc(losses, func(a, b lateLoss) int { return cmp.Compare(a.age, b.age) })
	for _, loss := range losses {
		s.spread(s.ledger.Crash(now, loss.process, loss.sentAt, loss.age, loss.traits), out)
	}
}
