package membership

import (
	"log/slog"
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

const (
	// probePeriod is the interval between two probes of a watched member.
	probePeriod = 250 * time.Millisecond
	// comparisonProbePeriod is the interval between two probes of a comparison host.
	comparisonProbePeriod = time.Second
	// maxComparisonHosts bounds the hosts of a data centre probed for comparison.
	maxComparisonHosts = 8
	// latencySamples is the number of probes behind the median latency that
	// identifies a straggler.
	latencySamples = 10
)

// prober holds the state of the probed hosts and counts how many hosts of each
// data centre this node reaches.
type prober struct {
	due          *state.DueQueue[state.HostID]
	hosts        map[state.HostID]*hostProbeState
	reachability map[state.DataCentre]*reachability
	// unreachableDataCentres are the data centres of which this node reaches less
	// than half of the hosts that it probes, sorted.
	unreachableDataCentres []state.DataCentre
	// seenNotReady is the last incarnation in which any node saw a member before
	// it was ready. A member that is ready later has loaded since.
	seenNotReady map[state.HostID]state.Incarnation
}

// hostProbeState holds the outcome of the last probe of a host and the latencies
// of its last probes.
type hostProbeState struct {
	dataCentre state.DataCentre
	outcome    probeOutcome
	// latencies is a ring of latencySamples entries; nextSample is the next index.
	latencies  []time.Duration
	nextSample int
	// medianLatency is 0 until latencySamples probes were answered.
	medianLatency time.Duration
}

type probeOutcome uint8

const (
	probeNone probeOutcome = iota
	probeAnswered
	probeFailed
)

// reachability counts the probed hosts of a data centre by the outcome of their
// last probe.
type reachability struct {
	answered, failed int
	// comparisonHosts are the hosts probed for comparison. comparisonChosen is set
	// once they are chosen, even if no host was eligible.
	comparisonHosts  map[state.HostID]bool
	comparisonChosen bool
}

func (p *prober) init() {
	p.due, p.hosts = state.NewDueQueue[state.HostID](), map[state.HostID]*hostProbeState{}
	p.reachability, p.seenNotReady = map[state.DataCentre]*reachability{}, map[state.HostID]state.Incarnation{}
}

// hostProbePeriod returns the interval at which this node probes a host, or 0 if
// it does not probe the host.
func (s *System) hostProbePeriod(id state.HostID, row *state.Host) time.Duration {
	if g := s.tracker.groups[s.tracker.memberOf[id]]; g != nil && (g.probesAsWatcher || g.probesAsFallback) {
		return probePeriod
	}
	if r := s.prober.reachability[row.DataCentre]; r != nil && r.comparisonHosts[id] {
		return comparisonProbePeriod
	}
	return 0
}

// scheduleProbe makes the next probe of a host due now if this node probes it.
func (s *System) scheduleProbe(now time.Duration, id state.HostID) {
	row := s.tables.Hosts.Get(id)
	if row != nil && s.hostProbePeriod(id, row) > 0 {
		s.prober.due.Schedule(id, now)
	}
}

// sendDueProbes sends the probes that are due and schedules the next ones.
func (s *System) sendDueProbes(now time.Duration, out *state.Outbox) {
	p := &s.prober
	for {
		id, ok := p.due.Pop(now)
		if !ok {
			return
		}
		row := s.tables.Hosts.Get(id)
		if row == nil {
			s.stopProbing(id, out)
			continue
		}
		period := s.hostProbePeriod(id, row)
		if period == 0 {
			s.stopProbing(id, out)
			continue
		}
		if p.hosts[id] == nil {
			p.hosts[id] = &hostProbeState{dataCentre: row.DataCentre}
		}
		out.Add(state.Probe{Host: id, Address: row.Address, SentAt: now})
		p.due.Schedule(id, now+period)
	}
}

// stopProbing ends the probing of a host and discards the outcome of its last
// probe, which is no evidence of its later state.
func (s *System) stopProbing(id state.HostID, out *state.Outbox) {
	probeState := s.prober.hosts[id]
	if probeState == nil {
		return
	}
	s.setOutcome(probeState, probeNone, out)
	delete(s.prober.hosts, id)
	if row := s.tables.Hosts.Get(id); row != nil && row.UnansweredSince != 0 {
		row.UnansweredSince = 0
		s.tables.Hosts.Touch(id)
	}
}

// handleProbeResult applies the result of a probe. Answers are dated by the send
// time of the probe; a result is dropped if a later probe was answered already.
func (s *System) handleProbeResult(now time.Duration, result state.ProbeResult, out *state.Outbox) {
	if result.OK && result.Answer.Phase != state.PhaseReady {
		// The placement system sends probes too, and observes the phases of a load
		// even when the watchers do not reach the host.
		s.recordNotReady(result.Host, result.Answer.Incarnation)
	}
	row, probeState := s.tables.Hosts.Get(result.Host), s.prober.hosts[result.Host]
	if row == nil || probeState == nil || row.ProbeAt > result.SentAt {
		return
	}
	previousUnansweredSince, previousAnswer := row.UnansweredSince, row.Probe
	if result.OK {
		row.Probe, row.ProbeAt, row.UnansweredSince = result.Answer, result.SentAt, 0
		probeState.addLatency(result.Answer.Latency)
		s.setOutcome(probeState, probeAnswered, out)
	} else {
		if row.UnansweredSince == 0 {
			row.UnansweredSince = max(result.SentAt, 1)
		}
		s.setOutcome(probeState, probeFailed, out)
	}
	if (previousUnansweredSince == 0) != (row.UnansweredSince == 0) || !sameAnswer(previousAnswer, row.Probe) {
		s.tables.Hosts.Touch(result.Host)
	}
	s.updateComparison(now, row)
	if g := s.tracker.groups[s.tracker.memberOf[result.Host]]; g != nil {
		s.updateOwnReport(now, g)
		s.updateGroupHealth(now, g, out)
	}
}

// recordNotReady records that a member was seen before it was ready in an
// incarnation. This stays true, so that it is passed on without an age.
func (s *System) recordNotReady(id state.HostID, incarnation state.Incarnation) {
	if s.tracker.memberOf[id] == "" || s.prober.seenNotReady[id] >= incarnation {
		return
	}
	s.prober.seenNotReady[id] = incarnation
	s.changeLog.record(item{itemNotReadyMember, string(id)})
}

// appendNotReadyMember appends a member to the list of a poll reply unless the
// group is healthy with the incarnation in question.
func (s *System) appendNotReadyMember(members []state.HostIncarnation, id state.HostID) []state.HostIncarnation {
	member := state.HostIncarnation{Host: id, Incarnation: s.prober.seenNotReady[id]}
	g := s.tracker.groups[s.tracker.memberOf[id]]
	if g == nil {
		return members
	}
	row, i := s.tables.Groups.Get(g.id), slices.Index(g.members, id)
	if row != nil && row.Healthy && i < len(row.Incarnations) && row.Incarnations[i] == member.Incarnation {
		return members
	}
	return append(members, member)
}

// sameAnswer compares all fields of two probe answers except the latency.
func sameAnswer(a, b state.ProbeAnswer) bool {
	return a.Incarnation == b.Incarnation && a.Phase == b.Phase && a.Group == b.Group && a.FencingToken == b.FencingToken &&
		a.Model == b.Model && a.Version == b.Version && a.ChecksFencingToken == b.ChecksFencingToken &&
		slices.Equal(a.Adapters, b.Adapters)
}

func (s *System) setOutcome(probeState *hostProbeState, outcome probeOutcome, out *state.Outbox) {
	if probeState.outcome == outcome {
		return
	}
	p := &s.prober
	r := p.reachability[probeState.dataCentre]
	if r == nil {
		r = &reachability{comparisonHosts: map[state.HostID]bool{}}
		p.reachability[probeState.dataCentre] = r
	}
	r.add(probeState.outcome, -1)
	r.add(outcome, 1)
	probeState.outcome = outcome
	s.updateReachability(probeState.dataCentre, r, out)
}

func (r *reachability) add(outcome probeOutcome, n int) {
	switch outcome {
	case probeAnswered:
		r.answered += n
	case probeFailed:
		r.failed += n
	case probeNone:
	}
}

// updateReachability updates whether a data centre is unreachable: this node
// reaches less than half of the hosts that it probes there. In that case the node
// is more likely to be cut off than the hosts are to be dead.
func (s *System) updateReachability(dc state.DataCentre, r *reachability, out *state.Outbox) {
	p := &s.prober
	unreachable := r.failed > r.answered
	if unreachable == slices.Contains(p.unreachableDataCentres, dc) {
		return
	}
	s.tracker.reassignAll = true
	if unreachable {
		p.unreachableDataCentres = insertSorted(p.unreachableDataCentres, dc)
		out.Log(event.DataCentreUnreachable, slog.String("data_centre", string(dc)))
		return
	}
	p.unreachableDataCentres = removeSorted(p.unreachableDataCentres, dc)
	out.Log(event.DataCentreReachable, slog.String("data_centre", string(dc)))
}

// updateComparison chooses other hosts of a data centre to probe while a probed
// host there does not answer. A watcher of few hosts cannot otherwise distinguish
// between dead hosts and its own loss of connectivity.
func (s *System) updateComparison(now time.Duration, row *state.Host) {
	r := s.prober.reachability[row.DataCentre]
	if r == nil {
		return
	}
	if r.failed == 0 {
		clear(r.comparisonHosts)
		r.comparisonChosen = false
		return
	}
	if r.comparisonChosen {
		return
	}
	r.comparisonChosen = true
	for id, other := range s.tables.Hosts.All() {
		if len(r.comparisonHosts) == maxComparisonHosts {
			return
		}
		if other.DataCentre == row.DataCentre && other.Listed && s.prober.hosts[id] == nil {
			r.comparisonHosts[id] = true
			s.scheduleProbe(now, id)
		}
	}
}

// addLatency stores the latency of an answered probe and updates the median after
// each latencySamples probes.
func (s *hostProbeState) addLatency(latency time.Duration) {
	if len(s.latencies) < latencySamples {
		s.latencies = append(s.latencies, latency)
	} else {
		s.latencies[s.nextSample] = latency
	}
	s.nextSample = (s.nextSample + 1) % latencySamples
	if s.nextSample == 0 {
		sorted := slices.Clone(s.latencies)
		slices.Sort(sorted)
		s.medianLatency = sorted[len(sorted)/2]
	}
}
