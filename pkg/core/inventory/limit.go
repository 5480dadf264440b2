package inventory

import (
	"log/slog"
	"math"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

const (
	// limitRetention is how long a limit is kept that no answer confirms any more. A node
	// that may send nothing to the target depends on the reports of the others.
	limitRetention = 30 * time.Second
	// limitReportPeriod is how often the nodes together report a limit that does not
	// change. A report by one node defers those of all others.
	limitReportPeriod = 2500 * time.Millisecond
	// significantLimitChange is the relative change of a limit that is reported at once.
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
		s.setLimit(state.TargetLimit{Host: in.Host, StartID: in.StartID, Rate: in.Limit.Rate, ConfirmedAt: now}, "", out)
		s.reportLimit(now, in.Host, out)
	case in.Limit.None && exists && (known.StartID < in.StartID || in.SentAt > known.ConfirmedAt):
		s.endLimit(known, "", out)
		s.relayLimit(state.TargetLimit{Host: in.Host, StartID: in.StartID, Ended: true}, "", out)
	}
}

// reportLimit tells the peers of a limit that is new or has changed, or that no node has
// reported for limitReportPeriod.
func (s *System) reportLimit(now time.Duration, id state.HostID, out *state.Outbox) {
	limit, last := s.managed.TargetLimits[id], s.announcedLimits[id]
	if last.StartID == limit.StartID && !hasChanged(last, limit) && now-last.ConfirmedAt < limitReportPeriod {
		return
	}
	s.announcedLimits[id] = limit
	s.relayLimit(limit, "", out)
}

func hasChanged(old, limit state.TargetLimit) bool {
	return math.Abs(limit.Rate-old.Rate) > significantLimitChange*old.Rate
}

// handleLimitReport applies what a peer has learned. An end that the peer has seen before
// this node saw the limit named again is ignored.
func (s *System) handleLimitReport(now time.Duration, report *state.TargetLimitReport, from state.NodeID, out *state.Outbox) {
	for _, limit := range report.Limits {
		known, exists := s.managed.TargetLimits[limit.Host]
		limit.ConfirmedAt = now - limit.Age
		switch {
		case !(limit.Rate >= 0) || exists && (known.StartID > limit.StartID || known.ConfirmedAt > limit.ConfirmedAt):
			continue
		case limit.Ended && !exists:
			continue
		case limit.Ended:
			s.endLimit(known, from, out)
		default:
			s.setLimit(limit, from, out)
			s.announcedLimits[limit.Host] = limit
		}
		s.relayLimit(limit, from, out)
	}
}

func (s *System) relayLimit(limit state.TargetLimit, from state.NodeID, out *state.Outbox) {
	for _, id := range s.managed.RelayTargets(s.tables.Self.ID, from) {
		sendLimits([]state.TargetLimit{limit}, id, out)
	}
}

// sendLimits tells a peer whose link came up of all limits.
func (s *System) sendLimits(now time.Duration, to state.NodeID, out *state.Outbox) {
	var limits []state.TargetLimit
	for _, id := range state.SortedKeys(s.managed.TargetLimits) {
		limit := s.managed.TargetLimits[id]
		limit.Age = now - limit.ConfirmedAt
		limits = append(limits, limit)
	}
	if len(limits) > 0 {
		sendLimits(limits, to, out)
	}
}

func sendLimits(limits []state.TargetLimit, to state.NodeID, out *state.Outbox) {
	out.Add(state.SendPeer{To: to, Message: state.Message{TargetLimitReport: &state.TargetLimitReport{Limits: limits}}})
}

// setLimit sets the limit of a target. from is the peer that reported it, empty for this
// node.
func (s *System) setLimit(limit state.TargetLimit, from state.NodeID, out *state.Outbox) {
	known, exists := s.managed.TargetLimits[limit.Host]
	limit.Age = 0
	s.managed.TargetLimits[limit.Host] = limit
	eventID := event.TargetLimitNamed
	switch {
	case !exists:
	case known.StartID == limit.StartID && !hasChanged(known, limit):
		return
	default:
		eventID = event.TargetLimitChanged
	}
	out.Log(eventID, slog.String("target", string(limit.Host)), slog.Float64("rate", limit.Rate), slog.String("from", string(from)))
}

func (s *System) endLimit(limit state.TargetLimit, from state.NodeID, out *state.Outbox) {
	delete(s.managed.TargetLimits, limit.Host)
	delete(s.announcedLimits, limit.Host)
	out.Log(event.TargetLimitEnded, slog.String("target", string(limit.Host)), slog.String("from", string(from)))
}

// purgeLimits ends the limits that no answer has confirmed for limitRetention, and those
// of processes that are gone.
func (s *System) purgeLimits(now time.Duration, out *state.Outbox) {
	for _, id := range state.SortedKeys(s.managed.TargetLimits) {
		limit, row := s.managed.TargetLimits[id], s.managed.Instances.Get(id)
		if now-limit.ConfirmedAt > limitRetention || row == nil || row.StartID > limit.StartID {
			s.endLimit(limit, "", out)
		}
	}
}
