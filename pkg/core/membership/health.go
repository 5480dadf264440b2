package membership

import (
	"log/slog"
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

const (
	// maxProbeAge is the largest age of a member's last answered probe at which the
	// group may be healthy.
	maxProbeAge = time.Second
	// fallbackProbeDelay is the age of the health reports on a group at which a
	// node that is not a watcher probes the members itself.
	fallbackProbeDelay = time.Second
	// deadTimeout is how long a member leaves probes unanswered before it is dead.
	deadTimeout = 3 * time.Second
	// stragglerFactor is the multiple of the median probe latency of the group
	// above which a member is a straggler.
	stragglerFactor = 4
	// minStragglerLatency is the least median probe latency of a straggler: five round
	// trips inside a data centre. A lower one is within the scheduling delays of busy
	// hosts.
	minStragglerLatency = 5 * time.Millisecond
)

// healthReport is the health of a group as one node observed it, with times on
// this node's clock.
type healthReport struct {
	fencingToken state.FencingToken
	healthy      bool
	// evidenceAt is the send time of the oldest probe behind a healthy report. Any
	// other report is dated by its evaluation on this node, or by the send time of
	// the last poll in whose reply the peer confirmed it.
	evidenceAt   time.Duration
	incarnations []state.Incarnation
	straggler    bool
	deadMembers  []deadMember
}

// deadMember is a member that does not answer probes. It counts as dead after
// deadTimeout.
type deadMember struct {
	host            state.HostID
	unansweredSince time.Duration
}

// updateOwnReport derives this node's health report on a group from its probes.
func (s *System) updateOwnReport(now time.Duration, g *groupState) {
	if !g.probesAsWatcher && !g.probesAsFallback {
		g.ownReport, g.loadedIncarnations = nil, nil
		return
	}
	row := s.tables.Groups.Get(g.id)
	if row == nil || len(g.members) == 0 {
		g.ownReport = nil
		return
	}
	report := &healthReport{fencingToken: row.FencingToken, evidenceAt: now, healthy: true}
	report.straggler = s.hasStraggler(g)
	incarnations := make([]state.Incarnation, len(g.members))
	probedAny := false
	for i, m := range g.members {
		host, probeState := s.tables.Hosts.Get(m), s.prober.hosts[m]
		if host == nil || probeState == nil || probeState.outcome == probeNone {
			report.healthy = false
			continue
		}
		probedAny = true
		if host.UnansweredSince > 0 {
			report.deadMembers = append(report.deadMembers, deadMember{m, host.UnansweredSince})
		}
		if s.tables.Switches.IgnoreWholeness && i > 0 {
			continue
		}
		if !isServing(row, host) || now-host.ProbeAt > maxProbeAge {
			report.healthy = false
		}
		report.evidenceAt = min(report.evidenceAt, host.ProbeAt)
		incarnations[i] = host.Probe.Incarnation
	}
	if !probedAny {
		g.ownReport = nil
		return
	}
	if report.healthy {
		report.healthy = s.haveLoadedTogether(g, row, incarnations)
	}
	if !report.healthy {
		report.evidenceAt = now
	}
	report.incarnations = g.loadedIncarnations
	s.setOwnReport(g, report)
}

// isServing reports whether a member, by its last answer, serves in the group with
// the fencing token of the row. A member with another fencing token was loaded for
// another assignment: this node's row is out of date, or an order of a former
// lease holder took effect.
func isServing(row *state.Group, host *state.Host) bool {
	answer := &host.Probe
	return answer.Phase == state.PhaseReady && answer.Group == row.ID && answer.MatchesFencingToken(row.FencingToken)
}

// haveLoadedTogether reports whether the current incarnations of the members are
// those that loaded together. A member with another incarnation is a new member.
// It is accepted only after it was seen before it was ready, which shows that it
// has loaded again.
func (s *System) haveLoadedTogether(g *groupState, row *state.Group, current []state.Incarnation) bool {
	if g.loadedIncarnations == nil {
		g.loadedIncarnations = g.knownIncarnations(row)
		if len(g.loadedIncarnations) != len(current) {
			g.loadedIncarnations = current
		}
	}
	if s.tables.Switches.IgnoreWholeness || slices.Equal(g.loadedIncarnations, current) {
		return true
	}
	for i, m := range g.members {
		if current[i] != g.loadedIncarnations[i] && s.prober.seenNotReady[m] != current[i] {
			return false
		}
	}
	g.loadedIncarnations = current
	return true
}

// knownIncarnations returns the incarnations that loaded together according to the
// reports that this node has received: those of the last healthy report in force,
// or else those reported by the peer with the lowest id, for the fencing token of
// the row. It returns nil if there is no such report; a new watcher then accepts
// the members that it finds.
func (g *groupState) knownIncarnations(row *state.Group) []state.Incarnation {
	if row.HealthKnown && len(row.Incarnations) > 0 && g.healthyToken == row.FencingToken {
		return slices.Clone(row.Incarnations)
	}
	var reporter state.NodeID
	var incarnations []state.Incarnation
	for id, report := range g.peerReports {
		if report.fencingToken == row.FencingToken && len(report.incarnations) > 0 && (incarnations == nil || id < reporter) {
			reporter, incarnations = id, report.incarnations
		}
	}
	return slices.Clone(incarnations)
}

// hasStraggler reports whether the slowest member takes more than stragglerFactor
// times the median latency of the group, and at least minStragglerLatency. It returns false until every member has
// a median latency.
func (s *System) hasStraggler(g *groupState) bool {
	medians := make([]time.Duration, 0, len(g.members))
	for _, m := range g.members {
		probeState := s.prober.hosts[m]
		if probeState == nil || probeState.medianLatency == 0 {
			return false
		}
		medians = append(medians, probeState.medianLatency)
	}
	slices.Sort(medians)
	last := len(medians) - 1
	return last > 0 && medians[last] >= minStragglerLatency && medians[last] > stragglerFactor*medians[last/2]
}

// setOwnReport sets this node's report on a group. If the report is published and
// has changed, the next poll replies carry it.
func (s *System) setOwnReport(g *groupState, report *healthReport) {
	previous := g.ownReport
	g.ownReport = report
	if g.published && (previous == nil || !sameHealthReport(previous, report)) {
		s.changeLog.record(item{itemHealthReport, string(g.id)})
	}
}

// sameHealthReport compares two reports without the time of their evidence.
func sameHealthReport(a, b *healthReport) bool {
	return a.fencingToken == b.fencingToken && a.healthy == b.healthy && a.straggler == b.straggler &&
		slices.Equal(a.incarnations, b.incarnations) && slices.Equal(a.deadMembers, b.deadMembers)
}

// updateGroupHealth derives the health of a group from the reports of this node and
// its peers. A healthy report rests on an answer of every member, so that one is
// enough, even if a watcher that does not reach the members reports otherwise.
func (s *System) updateGroupHealth(now time.Duration, g *groupState, out *state.Outbox) {
	row := s.tables.Groups.Get(g.id)
	if row == nil {
		return
	}
	best, latestAt := g.latestHealthyReport(now, row.FencingToken)
	s.updateFallbackProbing(now, g, row.FencingToken, latestAt)
	changed := (latestAt >= 0) != row.HealthKnown || (best != nil) != row.Healthy
	if best != nil {
		row.HealthyAt = best.evidenceAt
		g.healthyToken = row.FencingToken
		if g.loadedIncarnations != nil && best != g.ownReport && len(best.incarnations) == len(g.loadedIncarnations) {
			// The watcher behind the report has observed that the members loaded.
			g.loadedIncarnations = slices.Clone(best.incarnations)
		}
		changed = changed || row.Straggler != best.straggler || !slices.Equal(row.Incarnations, best.incarnations)
		row.Straggler, row.Incarnations = best.straggler, best.incarnations
	}
	if row.Healthy != (best != nil) {
		eventID := event.GroupUnhealthy
		if best != nil {
			eventID = event.GroupHealthy
		}
		out.Log(eventID, slog.String("group", string(g.id)))
	}
	row.Healthy, row.HealthKnown = best != nil, latestAt >= 0 || row.HealthKnown
	dead := s.agreedDeadMembers(now, g, row)
	if !slices.Equal(dead, row.DeadMembers) {
		row.DeadMembers, changed = dead, true
	}
	if changed {
		s.tables.Groups.Touch(g.id)
	}
	s.scheduleReevaluation(now, g, best, latestAt)
}

// latestHealthyReport returns the healthy report with the most recent evidence, or
// nil if all are too old, and the time of the most recent report of any kind, or
// -1 if there is none.
func (g *groupState) latestHealthyReport(now time.Duration, token state.FencingToken) (*healthReport, time.Duration) {
	var best *healthReport
	var bestNode state.NodeID
	latestAt := time.Duration(-1)
	consider := func(id state.NodeID, report *healthReport) {
		if report.fencingToken != token {
			return
		}
		latestAt = max(latestAt, report.evidenceAt)
		if !report.healthy || now-report.evidenceAt >= MaxHealthEvidenceAge {
			return
		}
		// Reports of the same time are ordered by node id, because the iteration
		// order of the map is random.
		if best == nil || report.evidenceAt > best.evidenceAt || report.evidenceAt == best.evidenceAt && id < bestNode {
			best, bestNode = report, id
		}
	}
	if g.ownReport != nil {
		consider("", g.ownReport)
	}
	for id, report := range g.peerReports {
		consider(id, report)
	}
	return best, latestAt
}

// updateFallbackProbing starts and stops the probing of a group by a node that is
// not one of its watchers and has no recent report of a peer.
func (s *System) updateFallbackProbing(now time.Duration, g *groupState, token state.FencingToken, latestAt time.Duration) {
	hasFreshReport := false
	for _, report := range g.peerReports {
		hasFreshReport = hasFreshReport || report.fencingToken == token && now-report.evidenceAt < fallbackProbeDelay
	}
	if g.probesAsWatcher || hasFreshReport {
		g.probesAsFallback = false
		return
	}
	if !g.probesAsFallback && now-max(latestAt, g.firstSeenAt) >= fallbackProbeDelay {
		g.probesAsFallback = true
		s.scheduleMemberProbes(now, g)
	}
}

// agreedDeadMembers returns the members that all watchers report as dead. Without
// a watcher that reaches the data centre there is no evidence, and no member
// counts as dead.
func (s *System) agreedDeadMembers(now time.Duration, g *groupState, row *state.Group) []state.HostID {
	var dead []state.HostID
	for _, m := range g.members {
		agreed := len(g.watchers) > 0
		for _, watcher := range g.watchers {
			report := g.peerReports[watcher]
			if watcher == s.tables.Self.ID {
				report = g.ownReport
			}
			agreed = agreed && report != nil && report.fencingToken == row.FencingToken && report.reportsDead(m, now)
		}
		if agreed {
			dead = append(dead, m)
		}
	}
	return dead
}

func (r *healthReport) reportsDead(host state.HostID, now time.Duration) bool {
	return slices.ContainsFunc(r.deadMembers, func(d deadMember) bool { return d.host == host && now-d.unansweredSince >= deadTimeout })
}

// scheduleReevaluation sets the time at which the health of a group may next change
// without an input.
func (s *System) scheduleReevaluation(now time.Duration, g *groupState, best *healthReport, latestAt time.Duration) {
	next := now + fallbackProbeDelay
	consider := func(at time.Duration) {
		if at > now && at < next {
			next = at
		}
	}
	consider(max(latestAt, g.firstSeenAt) + fallbackProbeDelay)
	if best != nil {
		consider(best.evidenceAt + MaxHealthEvidenceAge)
	}
	if g.ownReport != nil {
		consider(g.ownReport.evidenceAt + maxProbeAge + state.TickPeriod)
		for _, d := range g.ownReport.deadMembers {
			consider(d.unansweredSince + deadTimeout)
		}
	}
	for _, report := range g.peerReports {
		for _, d := range report.deadMembers {
			consider(d.unansweredSince + deadTimeout)
		}
	}
	s.tracker.reevaluationDue.Schedule(g.id, next)
}

func (s *System) reevaluateDueGroups(now time.Duration, out *state.Outbox) {
	for {
		id, ok := s.tracker.reevaluationDue.Pop(now)
		if !ok {
			return
		}
		if g := s.tracker.groups[id]; g != nil {
			s.updateOwnReport(now, g)
			s.updateGroupHealth(now, g, out)
		}
	}
}
