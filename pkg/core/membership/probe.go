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
	// slowProbePeriod is the period of probes of hosts for comparison.
	slowProbePeriod = time.Second
	// comparedHosts is the number of hosts probed for comparison.
	comparedHosts = 8
	// latencySamples is the number of probes that a straggler is judged by.
	latencySamples = 10
)

// prober sends probes and keeps how much of each data centre it reaches.
type prober struct {
	queue *state.DueQueue[state.HostID]
	hosts map[state.HostID]*hostState
	reach map[state.DataCentre]*reach
	// blind are the data centres of which this node reaches less than half.
	blind []state.DataCentre
	// notReady is the last incarnation of a member that any node has seen before
	// it was ready. A member that is ready later has loaded since.
	notReady map[state.HostID]state.Incarnation
}

// hostState is what the prober keeps about a host that it probes.
type hostState struct {
	dc        state.DataCentre
	result    probeState
	latencies []time.Duration
	next      int
	median    time.Duration
}

type probeState uint8

const (
	probeNone probeState = iota
	probeGood
	probeFailed
)

// reach counts the hosts of a data centre by their last probe.
type reach struct {
	good, failed int
	// compared are the hosts probed for comparison; chosen is set while they
	// are, even when there are none.
	compared map[state.HostID]bool
	chosen   bool
}

func (p *prober) init() {
	p.queue, p.hosts = state.NewDueQueue[state.HostID](), map[state.HostID]*hostState{}
	p.reach, p.notReady = map[state.DataCentre]*reach{}, map[state.HostID]state.Incarnation{}
}

// period returns how often this node probes a host; 0 means not at all.
func (s *System) period(id state.HostID, row *state.Host) time.Duration {
	if g := s.watch.groups[s.watch.memberOf[id]]; g != nil && (g.duty || g.alone) {
		return probePeriod
	}
	if r := s.prober.reach[row.DataCentre]; r != nil && r.compared[id] {
		return slowProbePeriod
	}
	return 0
}

// startProbing schedules a host when it is to be probed.
func (s *System) startProbing(now time.Duration, id state.HostID) {
	row := s.t.Hosts.Get(id)
	if row != nil && s.period(id, row) > 0 {
		s.prober.queue.Schedule(id, now)
	}
}

// probe sends the probes that are due.
func (s *System) probe(now time.Duration, out *state.Outbox) {
	p := &s.prober
	for {
		id, ok := p.queue.Pop(now)
		if !ok {
			return
		}
		row := s.t.Hosts.Get(id)
		if row == nil {
			s.forgetHost(id, out)
			continue
		}
		period := s.period(id, row)
		if period == 0 {
			s.forgetHost(id, out)
			continue
		}
		if p.hosts[id] == nil {
			p.hosts[id] = &hostState{dc: row.DataCentre}
		}
		out.Add(state.Probe{Host: id, Address: row.Address, SentAt: now})
		p.queue.Schedule(id, now+period)
	}
}

// forgetHost ends the probing of a host. Its last result proves nothing later.
func (s *System) forgetHost(id state.HostID, out *state.Outbox) {
	h := s.prober.hosts[id]
	if h == nil {
		return
	}
	s.setResult(h, probeNone, out)
	delete(s.prober.hosts, id)
	if row := s.t.Hosts.Get(id); row != nil && row.UnansweredSince != 0 {
		row.UnansweredSince = 0
		s.t.Hosts.Touch(id)
	}
}

// probed takes the answer to a probe. Answers are dated by the send time of the
// probe, and one that is older than another answer of the host is dropped.
func (s *System) probed(now time.Duration, res state.ProbeResult, out *state.Outbox) {
	if res.OK && res.Answer.Phase != state.PhaseReady {
		// The probe may be one of the placement system, which sees the phases of
		// a load even when the watchers do not.
		s.sawNotReady(res.Host, res.Answer.Incarnation)
	}
	row, h := s.t.Hosts.Get(res.Host), s.prober.hosts[res.Host]
	if row == nil || h == nil || row.ProbeAt > res.SentAt {
		return
	}
	wasFailed, before := row.UnansweredSince, row.Probe
	if res.OK {
		row.Probe, row.ProbeAt, row.UnansweredSince = res.Answer, res.SentAt, 0
		h.sample(res.Answer.Latency)
		s.setResult(h, probeGood, out)
	} else {
		if row.UnansweredSince == 0 {
			row.UnansweredSince = max(res.SentAt, 1)
		}
		s.setResult(h, probeFailed, out)
	}
	if (wasFailed == 0) != (row.UnansweredSince == 0) || !sameAnswer(before, row.Probe) {
		s.t.Hosts.Touch(res.Host)
	}
	s.compare(now, row)
	if g := s.watch.groups[s.watch.memberOf[res.Host]]; g != nil {
		s.judge(now, g)
		s.combine(now, g, out)
	}
}

// sawNotReady notes a fact that lasts, so that it is passed on without an age.
func (s *System) sawNotReady(id state.HostID, incarnation state.Incarnation) {
	if s.watch.memberOf[id] == "" || s.prober.notReady[id] >= incarnation {
		return
	}
	s.prober.notReady[id] = incarnation
	s.log.changed(item{itemNotReady, string(id)})
}

// reportNotReady appends a member to a reply unless the verdict in force rests
// on its incarnation already.
func (s *System) reportNotReady(list []state.HostIncarnation, id state.HostID) []state.HostIncarnation {
	seen := state.HostIncarnation{Host: id, Incarnation: s.prober.notReady[id]}
	g := s.watch.groups[s.watch.memberOf[id]]
	if g == nil {
		return list
	}
	row, i := s.t.Groups.Get(g.id), slices.Index(g.members, id)
	if row != nil && row.Healthy && i < len(row.Incarnations) && row.Incarnations[i] == seen.Incarnation {
		return list
	}
	return append(list, seen)
}

func sameAnswer(a, b state.ProbeAnswer) bool {
	return a.Incarnation == b.Incarnation && a.Phase == b.Phase && a.Group == b.Group && a.FencingToken == b.FencingToken &&
		a.Model == b.Model && a.Version == b.Version && a.ChecksFencingToken == b.ChecksFencingToken &&
		slices.Equal(a.Adapters, b.Adapters)
}

func (s *System) setResult(h *hostState, result probeState, out *state.Outbox) {
	if h.result == result {
		return
	}
	p := &s.prober
	r := p.reach[h.dc]
	if r == nil {
		r = &reach{compared: map[state.HostID]bool{}}
		p.reach[h.dc] = r
	}
	r.count(h.result, -1)
	r.count(result, 1)
	h.result = result
	s.updateBlind(h.dc, r, out)
}

func (r *reach) count(result probeState, n int) {
	switch result {
	case probeGood:
		r.good += n
	case probeFailed:
		r.failed += n
	case probeNone:
	}
}

// updateBlind notes whether this node reaches less than half of the hosts of a
// data centre that it probes. Then it is more likely cut off than they are dead.
func (s *System) updateBlind(dc state.DataCentre, r *reach, out *state.Outbox) {
	p := &s.prober
	blind := r.failed > r.good
	if blind == slices.Contains(p.blind, dc) {
		return
	}
	s.watch.changed = true
	if blind {
		p.blind = with(p.blind, dc)
		out.Log(event.DataCentreUnreachable, slog.String("data_centre", string(dc)))
		return
	}
	p.blind = without(p.blind, dc)
	out.Log(event.DataCentreReachable, slog.String("data_centre", string(dc)))
}

// compare probes some other hosts of a data centre while a host there does not
// answer. A watcher of few hosts could not tell otherwise whether they are dead
// or it is cut off.
func (s *System) compare(now time.Duration, row *state.Host) {
	r := s.prober.reach[row.DataCentre]
	if r == nil {
		return
	}
	if r.failed == 0 {
		clear(r.compared)
		r.chosen = false
		return
	}
	if r.chosen {
		return
	}
	r.chosen = true
	for id, other := range s.t.Hosts.All() {
		if len(r.compared) == comparedHosts {
			return
		}
		if other.DataCentre == row.DataCentre && other.Listed && s.prober.hosts[id] == nil {
			r.compared[id] = true
			s.startProbing(now, id)
		}
	}
}

func (h *hostState) sample(latency time.Duration) {
	if len(h.latencies) < latencySamples {
		h.latencies = append(h.latencies, latency)
	} else {
		h.latencies[h.next] = latency
	}
	h.next = (h.next + 1) % latencySamples
	if h.next == 0 {
		sorted := slices.Clone(h.latencies)
		slices.Sort(sorted)
		h.median = sorted[len(sorted)/2]
	}
}
