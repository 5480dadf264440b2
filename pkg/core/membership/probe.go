package membership

import (
	"log/slog"
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

const (
	// probePeriod is the period of probes of a watched member.
	probePeriod = 250 * time.Millisecond
	// comparisonProbePeriod is the period of probes of hosts for comparison.
	comparisonProbePeriod = time.Second
	// maxComparisonHosts is the number of hosts probed for comparison.
	maxComparisonHosts = 8
	// latencySamples is the number of probes that a straggler is judged by.
	latencySamples = 10
)

// prober sends probes and keeps how much of each data centre it reaches.
type prober struct {
	due          *state.DueQueue[state.HostID]
	hosts        map[state.HostID]*hostProbeState
	reachability map[state.DataCentre]*reachability
	// unreachableDataCentres are the data centres of which this node reaches less than half.
	unreachableDataCentres []state.DataCentre
	// seenNotReady is the last incarnation of a member that any node has seen before
	// it was ready. A member that is ready later has loaded since.
	seenNotReady map[state.HostID]state.Incarnation
}

// hostProbeState is what the prober keeps about a host that it probes.
type hostProbeState struct {
	dataCentre    state.DataCentre
	outcome       probeOutcome
	latencies     []time.Duration
	nextSample    int
	medianLatency time.Duration
}

type probeOutcome uint8

const (
	probeNone probeOutcome = iota
	probeAnswered
	probeFailed
)

// reachability counts the hosts of a data centre by their last probe.
type reachability struct {
	answered, failed int
	// comparisonHosts are the hosts probed for comparison; chosen is set while they
	// are, even when there are none.
	comparisonHosts  map[state.HostID]bool
	comparisonChosen bool
}

func (p *prober) init() {
	p.due, p.hosts = state.NewDueQueue[state.HostID](), map[state.HostID]*hostProbeState{}
	p.reachability, p.seenNotReady = map[state.DataCentre]*reachability{}, map[state.HostID]state.Incarnation{}
}

// hostProbePeriod returns how often this node probes a host; 0 means not at all.
func (s *System) hostProbePeriod(id state.HostID, row *state.Host) time.Duration {
	if g := s.tracker.groups[s.tracker.memberOf[id]]; g != nil && (g.probesAsWatcher || g.probesAsFallback) {
		return probePeriod
	}
	if r := s.prober.reachability[row.DataCentre]; r != nil && r.comparisonHosts[id] {
		return comparisonProbePeriod
	}
	return 0
}

// scheduleProbe schedules a host when it is to be probed.
func (s *System) scheduleProbe(now time.Duration, id state.HostID) {
	row := s.t.Hosts.Get(id)
	if row != nil && s.hostProbePeriod(id, row) > 0 {
		s.prober.due.Schedule(id, now)
	}
}

// sendDueProbes sends the probes that are due.
func (s *System) sendDueProbes(now time.Duration, out *state.Outbox) {
	p := &s.prober
	for {
		id, ok := p.due.Pop(now)
		if !ok {
			return
		}
		row := s.t.Hosts.Get(id)
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

// stopProbing ends the probing of a host. Its last result proves nothing later.
func (s *System) stopProbing(id state.HostID, out *state.Outbox) {
	probeState := s.prober.hosts[id]
	if probeState == nil {
		return
	}
	s.setOutcome(probeState, probeNone, out)
	delete(s.prober.hosts, id)
	if row := s.t.Hosts.Get(id); row != nil && row.UnansweredSince != 0 {
		row.UnansweredSince = 0
		s.t.Hosts.Touch(id)
	}
}

// handleProbeResult takes the answer to a probe. Answers are dated by the send time of the
// probe, and one that is older than another answer of the host is dropped.
func (s *System) handleProbeResult(now time.Duration, result state.ProbeResult, out *state.Outbox) {
	if result.OK && result.Answer.Phase != state.PhaseReady {
		// The probe may be one of the placement system, which sees the phases of
		// a load even when the watchers do not.
		s.recordNotReady(result.Host, result.Answer.Incarnation)
	}
	row, probeState := s.t.Hosts.Get(result.Host), s.prober.hosts[result.Host]
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
		s.t.Hosts.Touch(result.Host)
	}
	s.updateComparison(now, row)
	if g := s.tracker.groups[s.tracker.memberOf[result.Host]]; g != nil {
		s.updateOwnReport(now, g)
		s.updateGroupHealth(now, g, out)
	}
}

// recordNotReady notes a fact that lasts, so that it is passed on without an age.
func (s *System) recordNotReady(id state.HostID, incarnation state.Incarnation) {
	if s.tracker.memberOf[id] == "" || s.prober.seenNotReady[id] >= incarnation {
		return
	}
	s.prober.seenNotReady[id] = incarnation
	s.changeLog.record(item{itemNotReadyMember, string(id)})
}

// appendNotReadyMember appends a member to a reply unless the verdict in force rests
// on its incarnation already.
func (s *System) appendNotReadyMember(members []state.HostIncarnation, id state.HostID) []state.HostIncarnation {
	member := state.HostIncarnation{Host: id, Incarnation: s.prober.seenNotReady[id]}
	g := s.tracker.groups[s.tracker.memberOf[id]]
	if g == nil {
		return members
	}
	row, i := s.t.Groups.Get(g.id), slices.Index(g.members, id)
	if row != nil && row.Healthy && i < len(row.Incarnations) && row.Incarnations[i] == member.Incarnation {
		return members
	}
	return append(members, member)
}

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

// updateReachability notes whether this node reaches less than half of the hosts of a
// data centre that it probes. Then it is more likely cut off than they are dead.
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

// updateComparison probes some other hosts of a data centre while a host there does not
// answer. A watcher of few hosts could not tell otherwise whether they are dead
// or it is cut off.
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
	for id, other := range s.t.Hosts.All() {
		if len(r.comparisonHosts) == maxComparisonHosts {
			return
		}
		if other.DataCentre == row.DataCentre && other.Listed && s.prober.hosts[id] == nil {
			r.comparisonHosts[id] = true
			s.scheduleProbe(now, id)
		}
	}
}

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
