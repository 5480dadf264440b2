package routing

import (
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

const (
	// fetchPeriod is the period of load requests to a target in use.
	fetchPeriod = time.Second
	// useFor is how long a target counts as used after an attempt.
	useFor = 10 * time.Second
)

// fetch asks the targets that this node uses for their load. Suspect and leaving
// targets are asked too, because a report shows that they are back.
func (s *System) fetch(now time.Duration, out *state.Outbox) {
	for id, ok := s.fetches.Pop(now); ok; id, ok = s.fetches.Pop(now) {
		tr := s.tracks[id]
		if tr == nil {
			continue
		}
		row := tr.row
		used := now-tr.lastUsed <= useFor || row.InFlight > 0
		if row.Address == "" || (!used && !row.Suspect && !row.Report.Leaving) {
			tr.fetching = false
			continue
		}
		tr.sentSinceFetch = 0
		out.Add(state.FetchLoad{Target: id, Address: row.Address, SentAt: now})
		// The jitter keeps the nodes from asking a target all at once.
		jitter := time.Duration(s.t.Rand.Int64N(int64(fetchPeriod / 10)))
		s.fetches.Schedule(id, now+fetchPeriod-jitter)
	}
}

// use notes that an attempt goes to a target.
func (s *System) use(now time.Duration, tr *track, id state.RequestID) {
	if s.held[id] == tr {
		// The attempt takes the place that was kept for it and adds no load.
		delete(s.held, id)
		s.watch(now, tr)
		return
	}
	tr.row.InFlight++
	tr.row.SentSinceReport++
	tr.sentSinceFetch++
	s.t.Targets.Touch(tr.row.ID)
	s.watch(now, tr)
}

func (s *System) watch(now time.Duration, tr *track) {
	tr.lastUsed = now
	if !tr.fetching {
		tr.fetching = true
		s.fetches.Schedule(tr.row.ID, now)
	}
}

// reported takes a load report. A report of an older request or incarnation is
// dropped, so that the limit follows the latest state of the target.
func (s *System) reported(now time.Duration, in state.LoadReport, out *state.Outbox) {
	tr := s.tracks[in.Target]
	if tr == nil {
		return
	}
	s.grew = s.grew || !s.isChecked(now, tr)
	tr.asked, tr.askedAt = true, max(tr.askedAt, in.SentAt)
	if !in.OK {
		return
	}
	row := tr.row
	if tr.hasReport && (in.SentAt < row.ReportAt || in.Answer.Incarnation < row.Report.Incarnation) {
		return
	}
	if tr.hasReport && in.Answer.Incarnation != row.Report.Incarnation {
		row.Report = in.Answer
		row.Report.Completed = 0
		s.turnCold(now, tr, out)
		row.ColdBaseline = 0
		tr.firstTokens, tr.usualFirst = 0, 0
		s.hints.forget(in.Target, now)
	}
	row.Report, row.ReportAt, tr.hasReport = in.Answer, in.SentAt, true
	row.SentSinceReport, tr.peersAtReport = tr.sentSinceFetch, row.PeerInFlight
	s.hints.report(in, now)
	s.setLeaving(tr)
	s.limit(now, tr)
	s.expiry.Schedule(in.Target, in.SentAt+reportFor)
}

// attempted follows the attempts of this node.
func (s *System) attempted(now time.Duration, ev state.AttemptEvent, out *state.Outbox) {
	req := s.t.Requests.Get(ev.Request)
	if req == nil || !req.IsCurrent(ev) {
		return
	}
	tr := s.tracks[req.Target]
	if tr == nil {
		return
	}
	if ev.Stage == state.AttemptFirstByte {
		s.firstToken(now, tr, now-req.SentAt, out)
		return
	}
	if mayResume(req, ev) {
		// The generation runs on at the target, so that its place is not free.
		s.held[ev.Request] = tr
	} else {
		s.release(tr)
	}
	switch ev.Failure {
	case state.FailureConnect, state.FailureConnectionLost:
		s.suspect(now, tr)
		s.turnCold(now, tr, out)
		s.watch(now, tr)
	case state.FailureNone:
		if ev.Outcome == apierror.Done {
			s.hints.served(req.Target, req.Arrival.PrefixHashes, now)
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

// releaseHeld frees the place of a request that does not resume after all.
func (s *System) releaseHeld(id state.RequestID) {
	tr := s.held[id]
	if tr == nil {
		return
	}
	req := s.t.Requests.Get(id)
	if req != nil && req.Phase != state.RequestEnded && req.NextStep == state.NextResume {
		return
	}
	delete(s.held, id)
	s.release(tr)
}

// suspect keeps new work from a target to which a connection failed.
func (s *System) suspect(now time.Duration, tr *track) {
	if !tr.row.Suspect {
		s.suspects = append(s.suspects, tr.row.ID)
	}
	tr.row.Suspect, tr.row.SuspectAt = true, now
	s.t.Targets.Touch(tr.row.ID)
}

// clearSuspects clears the targets that evidence from after the failure shows to
// be well: a verdict on a group, or the load report of a replica of a plain
// service, which nobody probes.
func (s *System) clearSuspects() {
	s.suspects = slices.DeleteFunc(s.suspects, func(id state.TargetID) bool {
		tr := s.tracks[id]
		if tr == nil {
			return true
		}
		row := tr.row
		well := row.Group == "" && row.ReportAt > row.SuspectAt ||
			tr.group != nil && tr.group.Healthy && tr.group.HealthyAt > row.SuspectAt
		if !well {
			return false
		}
		row.Suspect, s.grew = false, true
		s.t.Targets.Touch(id)
		return true
	})
}

// release frees one place at a target.
func (s *System) release(tr *track) {
	tr.row.InFlight--
	s.grew = true
	s.t.Targets.Touch(tr.row.ID)
	if !tr.declared && tr.row.InFlight == 0 {
		s.drop(tr.row.ID)
	}
}

// isChecked reports whether a replica of a plain service was asked a short time
// ago. Groups are probed, but nothing else tells that an unused replica is
// leaving. One that has no load report is checked by the failed request.
func (s *System) isChecked(now time.Duration, tr *track) bool {
	return tr.row.Service == "" || (tr.asked && now-tr.askedAt < reportFor)
}

// load estimates the requests at a target: its last report, what this node has
// sent since, and what the peers have reported or are expected to have sent.
func (s *System) load(now time.Duration, tr *track) float64 {
	row := tr.row
	known := row.InFlight + row.PeerInFlight
	if !tr.hasReport || now-row.ReportAt >= reportFor {
		return float64(known)
	}
	// Attempts that have ended since the report are no load any more.
	sent := min(row.SentSinceReport, row.InFlight) * (1 + s.unheard)
	peers := max(row.PeerInFlight-tr.peersAtReport, 0)
	return float64(max(row.Report.Running+row.Report.Waiting+sent+peers, known))
}
