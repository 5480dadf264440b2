package membership

import (
	"log/slog"
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

const (
	// maxProbeAge is how old the probe of a member may be in a whole verdict.
	maxProbeAge = time.Second
	// fallbackProbeDelay is the age of the verdicts on a group at which a node probes
	// the members itself.
	fallbackProbeDelay = time.Second
	// deadTimeout is how long a member does not answer before it is dead.
	deadTimeout = 3 * time.Second
	// stragglerFactor is the multiple of the group's median probe time above
	// which a member is a straggler.
	stragglerFactor = 4
)

// healthReport is a verdict of one node, with its dates on this node's clock.
type healthReport struct {
	fencingToken state.FencingToken
	healthy      bool
	// evidenceAt dates a whole verdict by its oldest probe, any other by its arrival.
	evidenceAt   time.Duration
	incarnations []state.Incarnation
	straggler    bool
	deadMembers  []deadMember
}

type deadMember struct {
	host            state.HostID
	unansweredSince time.Duration
}

// updateOwnReport makes this node's own verdict from its probes.
func (s *System) updateOwnReport(now time.Duration, g *groupState) {
	if !g.probesAsWatcher && !g.probesAsFallback {
		g.ownReport, g.loadedIncarnations = nil, nil
		return
	}
	row := s.t.Groups.Get(g.id)
	if row == nil || len(g.members) == 0 {
		g.ownReport = nil
		return
	}
	report := &healthReport{fencingToken: row.FencingToken, evidenceAt: now, healthy: true}
	report.straggler = s.hasStraggler(g)
	incarnations := make([]state.Incarnation, len(g.members))
	probedAny := false
	for i, m := range g.members {
		host, probeState := s.t.Hosts.Get(m), s.prober.hosts[m]
		if host == nil || probeState == nil || probeState.outcome == probeNone {
			report.healthy = false
			continue
		}
		probedAny = true
		if host.UnansweredSince > 0 {
			report.deadMembers = append(report.deadMembers, deadMember{m, host.UnansweredSince})
		}
		if s.t.Switches.IgnoreWholeness && i > 0 {
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

// isServing reports whether a member's last answer says that it serves in the
// group as the row has it. One that reports another fencing number was loaded
// for another assignment: this node's row is out of date, or the order of a
// former holder took effect.
func isServing(row *state.Group, host *state.Host) bool {
	answer := &host.Probe
	return answer.Phase == state.PhaseReady && answer.Group == row.ID && answer.MatchesFencingToken(row.FencingToken)
}

// haveLoadedTogether reports whether the members are those that loaded together. A
// member with another incarnation is a new one. It joins only once it was seen
// before it was ready, which shows that it has loaded again.
func (s *System) haveLoadedTogether(g *groupState, row *state.Group, current []state.Incarnation) bool {
	if g.loadedIncarnations == nil {
		g.loadedIncarnations = g.knownIncarnations(row)
		if len(g.loadedIncarnations) != len(current) {
			g.loadedIncarnations = current
		}
	}
	if s.t.Switches.IgnoreWholeness || slices.Equal(g.loadedIncarnations, current) {
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

// knownIncarnations returns the incarnations that loaded together by what this node
// has heard: those of the last whole verdict, or of any node that watches. It
// returns nil when nobody has told; a node that begins to watch then takes the
// members that it finds.
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
	return last > 0 && medians[last] > stragglerFactor*medians[(last)/2]
}

// setOwnReport sets the own verdict and notes for the peers whether it changed.
func (s *System) setOwnReport(g *groupState, report *healthReport) {
	previous := g.ownReport
	g.ownReport = report
	if g.published && (previous == nil || !sameHealthReport(previous, report)) {
		s.changeLog.record(item{itemHealthReport, string(g.id)})
	}
}

func sameHealthReport(a, b *healthReport) bool {
	return a.fencingToken == b.fencingToken && a.healthy == b.healthy && a.straggler == b.straggler &&
		slices.Equal(a.incarnations, b.incarnations) && slices.Equal(a.deadMembers, b.deadMembers)
}

// updateGroupHealth makes the verdict in force of the verdicts that this node has. A
// whole verdict rests on an answer of every member, so that one is enough,
// whatever a watcher says that does not reach them.
func (s *System) updateGroupHealth(now time.Duration, g *groupState, out *state.Outbox) {
	row := s.t.Groups.Get(g.id)
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
			// The other watcher saw the members load.
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
		s.t.Groups.Touch(g.id)
	}
	s.scheduleReevaluation(now, g, best, latestAt)
}

// latestHealthyReport returns the youngest whole verdict that is not too old, and the date of
// the youngest verdict of any kind, -1 for none.
func (g *groupState) latestHealthyReport(now time.Duration, token state.FencingToken) (*healthReport, time.Duration) {
	var best *healthReport
	var bestNode state.NodeID
	latestAt := time.Duration(-1)
	consider := func(id state.NodeID, report *healthReport) {
		if report.fencingToken != token {
			return
		}
		latestAt = max(latestAt, report.evidenceAt)
		if !report.healthy || now-report.evidenceAt >= VerdictFor {
			return
		}
		// Equal dates go by node id, because votes have no order.
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

// updateFallbackProbing starts and ends the probing by a node that has no fresh verdict.
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

// agreedDeadMembers returns the members that all watchers have found dead. Without
// watchers that see the data centre there is no evidence, and nothing is dead.
func (s *System) agreedDeadMembers(now time.Duration, g *groupState, row *state.Group) []state.HostID {
	var dead []state.HostID
	for _, m := range g.members {
		agreed := len(g.watchers) > 0
		for _, watcher := range g.watchers {
			report := g.peerReports[watcher]
			if watcher == s.t.Self.ID {
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

// scheduleReevaluation sets when the verdict may change without an input.
func (s *System) scheduleReevaluation(now time.Duration, g *groupState, best *healthReport, latestAt time.Duration) {
	next := now + fallbackProbeDelay
	consider := func(at time.Duration) {
		if at > now && at < next {
			next = at
		}
	}
	consider(max(latestAt, g.firstSeenAt) + fallbackProbeDelay)
	if best != nil {
		consider(best.evidenceAt + VerdictFor)
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
