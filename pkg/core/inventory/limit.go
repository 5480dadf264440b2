package inventory

import (
	"log/slog"
	"math"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

const (
	// limitRetention is how long a limit is kept that no answer confirms any more.
	limitRetention = 10 * time.Second
	// significantLimitChange is the relative change of a limit that is logged.
	significantLimitChange = 0.1
)

// handleLimitStatement keeps what an answer of a target says about a limit of requests.
// An answer to a request that was sent before the limit was last named may be older than
// the limit, and does not end it.
func (s *System) handleLimitStatement(now time.Duration, in state.TargetNotice, out *state.Outbox) {
	known, exists := s.managed.TargetLimits[in.Host]
	switch {
	case exists && known.StartID > in.StartID:
	case in.Limit.Named:
		s.setLimit(state.TargetLimit{Host: in.Host, StartID: in.StartID, Rate: in.Limit.Rate, ConfirmedAt: now}, out)
	case in.Limit.None && exists && (known.StartID < in.StartID || in.SentAt > known.ConfirmedAt):
		s.endLimit(known, out)
	}
}

func (s *System) setLimit(limit state.TargetLimit, out *state.Outbox) {
	known, exists := s.managed.TargetLimits[limit.Host]
	s.managed.TargetLimits[limit.Host] = limit
	eventID := event.TargetLimitNamed
	switch {
	case !exists || known.StartID != limit.StartID:
	case math.Abs(limit.Rate-known.Rate) <= significantLimitChange*known.Rate:
		return
	default:
		eventID = event.TargetLimitChanged
	}
	out.Log(eventID, slog.String("target", string(limit.Host)), slog.Float64("rate", limit.Rate))
}

func (s *System) endLimit(limit state.TargetLimit, out *state.Outbox) {
	delete(s.managed.TargetLimits, limit.Host)
	out.Log(event.TargetLimitEnded, slog.String("target", string(limit.Host)))
}

// purgeLimits ends the limits that no answer has confirmed for limitRetention, and those
// of processes that are gone.
func (s *System) purgeLimits(now time.Duration, out *state.Outbox) {
	for _, id := range state.SortedKeys(s.managed.TargetLimits) {
		limit, row := s.managed.TargetLimits[id], s.managed.Instances.Get(id)
		if now-limit.ConfirmedAt > limitRetention || row == nil || row.StartID > limit.StartID {
			s.endLimit(limit, out)
		}
	}
}
