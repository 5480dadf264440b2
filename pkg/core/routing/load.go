package routing

import (
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

const (
	// loadFetchPeriod is the period of load requests to a target in use.
	loadFetchPeriod = time.Second
	// idleTargetTimeout is how long a target counts as in use after an attempt.
	idleTargetTimeout = 10 * time.Second
)

// fetchLoads sends the due load requests to the targets that this node uses. It includes
// suspect and leaving targets, because a report shows that they have recovered.
func (s *System) fetchLoads(now time.Duration, out *state.Outbox) {
	for id, ok := s.fetchTimers.Pop(now); ok; id, ok = s.fetchTimers.Pop(now) {
		target := s.targets[id]
		if target == nil {
			continue
		}
		row := target.row
		inUse := now-target.lastUsedAt <= idleTargetTimeout || row.InFlight > 0
		if row.Address == "" || (!inUse && !row.Suspect && !row.Report.Leaving) {
			target.fetching = false
			continue
		}
		target.sentSinceFetch = 0
		out.Add(state.FetchLoad{Target: id, Address: row.Address, SentAt: now})
		// The jitter prevents all nodes from requesting the load of a target at once.
		jitter := time.Duration(s.tables.Rand.Int64N(int64(loadFetchPeriod / 10)))
		s.fetchTimers.Schedule(id, now+loadFetchPeriod-jitter)
	}
}

// countAttempt counts an attempt that is sent to a target.
func (s *System) countAttempt(now time.Duration, target *targetState, id state.RequestID) {
	if s.reservations[id] == target {
		// The attempt uses the capacity that is reserved for it and adds no load.
		delete(s.reservations, id)
		s.scheduleFetch(now, target)
		return
	}
	target.row.InFlight++
	target.row.SentSinceReport++
	target.sentSinceFetch++
	s.tables.Targets.Touch(target.row.ID)
	s.scheduleFetch(now, target)
}

// scheduleFetch records the use of a target and starts its periodic load requests.
func (s *System) scheduleFetch(now time.Duration, target *targetState) {
	target.lastUsedAt = now
	if !target.fetching {
		target.fetching = true
		s.fetchTimers.Schedule(target.row.ID, now)
	}
}

// handleLoadReport applies a load report. A report of an older request or incarnation is
// dropped, so that the limit depends on the latest state of the target. A new
// incarnation starts cold.
func (s *System) handleLoadReport(now time.Duration, in state.LoadReport, out *state.Outbox) {
	target := s.targets[in.Target]
	if target == nil {
		return
	}
	s.capacityGrew = s.capacityGrew || !s.isRecentlyChecked(now, target)
	target.checked, target.checkedAt = true, max(target.checkedAt, in.SentAt)
	if !in.OK {
		return
	}
	row := target.row
	if target.hasReport && (in.SentAt < row.ReportAt || in.Answer.Incarnation < row.Report.Incarnation) {
		return
	}
	if target.hasReport && in.Answer.Incarnation != row.Report.Incarnation {
		row.Report = in.Answer
		row.Report.Completed = 0
		s.resetToCold(now, target, out)
		row.ColdBaseline = 0
		target.firstTokenCount, target.meanFirstTokenTime = 0, 0
		s.hints.invalidate(in.Target, now)
	}
	row.Report, row.ReportAt, target.hasReport = in.Answer, in.SentAt, true
	row.SentSinceReport, target.peerInFlightAtReport = target.sentSinceFetch, row.PeerInFlight
	s.hints.applyReport(in, now)
	s.updateLeaving(target)
	s.updateLimit(now, target)
	s.reportExpiry.Schedule(in.Target, in.SentAt+maxReportAge)
}

// handleAttemptEvent updates the state of a target after progress of an attempt.
func (s *System) handleAttemptEvent(now time.Duration, ev state.AttemptEvent, out *state.Outbox) {
	req := s.tables.Requests.Get(ev.Request)
	if req == nil || !req.IsCurrent(ev) {
		return
	}
	target := s.targets[req.Target]
	if target == nil {
		return
	}
	if ev.Stage == state.AttemptFirstByte {
		s.recordFirstToken(now, target, now-req.SentAt, out)
		return
	}
	if mayResume(req, ev) {
		// The generation continues at the target, so its capacity stays in use.
		s.reservations[ev.Request] = target
	} else {
		s.releaseInFlight(target)
	}
	switch ev.Failure {
	case state.FailureConnect, state.FailureConnectionLost:
		s.setSuspect(now, target)
		s.resetToCold(now, target, out)
		s.scheduleFetch(now, target)
	case state.FailureNone:
		if ev.Outcome == apierror.Done {
			s.hints.addComputed(req.Target, req.Arrival.PrefixHashes, now)
		}
	default:
	}
}

// mayResume reports whether the retry system may resume the generation of an
// attempt that ended.
func mayResume(req *state.Request, ev state.AttemptEvent) bool {
	lost := ev.Failure == state.FailureConnectionLost || ev.Failure == state.FailureInactivityTimeout
	return lost && req.Arrival.Kind == state.KindModel && req.Phase != state.RequestEnded &&
		(ev.Generation != "" || req.Generation != "")
}

// releaseReservation frees the reserved capacity of a request that does not resume.
func (s *System) releaseReservation(id state.RequestID) {
	target := s.reservations[id]
	if target == nil {
		return
	}
	req := s.tables.Requests.Get(id)
	if req != nil && req.Phase != state.RequestEnded && req.NextStep == state.NextResume {
		return
	}
	delete(s.reservations, id)
	s.releaseInFlight(target)
}

// setSuspect excludes a target from new work after a connection failure.
func (s *System) setSuspect(now time.Duration, target *targetState) {
	if !target.row.Suspect {
		s.suspects = append(s.suspects, target.row.ID)
	}
	target.row.Suspect, target.row.SuspectAt = true, now
	s.tables.Targets.Touch(target.row.ID)
}

// clearSuspects clears targets for which newer evidence than the failure shows that they
// work: a health report of a group, or a load report of a replica of a plain service,
// which is not probed.
func (s *System) clearSuspects() {
	s.suspects = slices.DeleteFunc(s.suspects, func(id state.TargetID) bool {
		target := s.targets[id]
		if target == nil {
			return true
		}
		row := target.row
		recovered := row.Group == "" && row.ReportAt > row.SuspectAt ||
			target.group != nil && target.group.Healthy && target.group.HealthyAt > row.SuspectAt
		if !recovered {
			return false
		}
		row.Suspect, s.capacityGrew = false, true
		s.tables.Targets.Touch(id)
		return true
	})
}

// releaseInFlight decrements the requests in flight at a target. A target that the
// configuration no longer contains is removed after its last request.
func (s *System) releaseInFlight(target *targetState) {
	target.row.InFlight--
	s.capacityGrew = true
	s.tables.Targets.Touch(target.row.ID)
	if !target.declared && target.row.InFlight == 0 {
		s.removeTarget(target.row.ID)
	}
}

// isRecentlyChecked reports whether the load of a replica of a plain service was
// requested recently. Groups are probed, but only a load request shows that an unused
// replica is leaving. For a replica without load reports, the failed request counts as
// the check.
func (s *System) isRecentlyChecked(now time.Duration, target *targetState) bool {
	return target.row.Service == "" || (target.checked && now-target.checkedAt < maxReportAge)
}

// estimateLoad estimates the number of requests at a target: its last report, the
// attempts that this node has sent since, and those that the peers have reported or are
// assumed to have sent.
func (s *System) estimateLoad(now time.Duration, target *targetState) float64 {
	row := target.row
	counted := row.InFlight + row.PeerInFlight
	if !target.hasReport || now-row.ReportAt >= maxReportAge {
		return float64(counted)
	}
	// Attempts that have ended since the report are no longer load. Each peer without
	// recent counts is assumed to have sent as many attempts as this node.
	sentSince := min(row.SentSinceReport, row.InFlight) * (1 + s.stalePeers)
	peerIncrease := max(row.PeerInFlight-target.peerInFlightAtReport, 0)
	return float64(max(row.Report.Running+row.Report.Waiting+sentSince+peerIncrease, counted))
}
