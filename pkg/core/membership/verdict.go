package membership

import (
	"log/slog"
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

const (
	// positiveFor is how old the probe of a member may be in a whole verdict.
	positiveFor = time.Second
	// aloneAfter is the age of the verdicts on a group at which a node probes
	// the members itself.
	aloneAfter = time.Second
	// deadAfter is how long a member does not answer before it is dead.
	deadAfter = 3 * time.Second
	// stragglerFactor is the multiple of the group's median probe time above
	// which a member is a straggler.
	stragglerFactor = 4
)

// vote is a verdict of one node, with its dates on this node's clock.
type vote struct {
	fence state.FencingToken
	whole bool
	// at dates a whole verdict by its oldest probe, any other by its arrival.
	at           time.Duration
	incarnations []state.Incarnation
	straggler    bool
	dead         []deadMember
}

type deadMember struct {
	host  state.HostID
	since time.Duration
}

// judge makes this node's own verdict from its probes.
func (s *System) judge(now time.Duration, g *groupState) {
	if !g.duty && !g.alone {
		g.own, g.loaded = nil, nil
		return
	}
	row := s.t.Groups.Get(g.id)
	if row == nil || len(g.members) == 0 {
		g.own = nil
		return
	}
	v := &vote{fence: row.FencingToken, at: now, whole: true}
	v.straggler = s.hasStraggler(g)
	incarnations := make([]state.Incarnation, len(g.members))
	tried := false
	for i, m := range g.members {
		host, h := s.t.Hosts.Get(m), s.prober.hosts[m]
		if host == nil || h == nil || h.result == probeNone {
			v.whole = false
			continue
		}
		tried = true
		if host.UnansweredSince > 0 {
			v.dead = append(v.dead, deadMember{m, host.UnansweredSince})
		}
		if s.t.Switches.IgnoreWholeness && i > 0 {
			continue
		}
		if !serves(row, host) || now-host.ProbeAt > positiveFor {
			v.whole = false
		}
		v.at = min(v.at, host.ProbeAt)
		incarnations[i] = host.Probe.Incarnation
	}
	if !tried {
		g.own = nil
		return
	}
	if v.whole {
		v.whole = s.loadedTogether(g, row, incarnations)
	}
	if !v.whole {
		v.at = now
	}
	v.incarnations = g.loaded
	s.publish(g, v)
}

// serves reports whether a member's last answer says that it serves in the
// group as the row has it. One that reports another fencing number was loaded
// for another assignment: this node's row is out of date, or the order of a
// former holder took effect.
func serves(row *state.Group, host *state.Host) bool {
	p := &host.Probe
	return p.Phase == state.PhaseReady && p.Group == row.ID && p.MatchesFencingToken(row.FencingToken)
}

// loadedTogether reports whether the members are those that loaded together. A
// member with another incarnation is a new one. It joins only once it was seen
// before it was ready, which shows that it has loaded again.
func (s *System) loadedTogether(g *groupState, row *state.Group, now []state.Incarnation) bool {
	if g.loaded == nil {
		g.loaded = g.knownLoaded(row)
		if len(g.loaded) != len(now) {
			g.loaded = now
		}
	}
	if s.t.Switches.IgnoreWholeness || slices.Equal(g.loaded, now) {
		return true
	}
	for i, m := range g.members {
		if now[i] != g.loaded[i] && s.prober.notReady[m] != now[i] {
			return false
		}
	}
	g.loaded = now
	return true
}

// knownLoaded returns the incarnations that loaded together by what this node
// has heard: those of the last whole verdict, or of any node that watches. It
// returns nil when nobody has told; a node that begins to watch then takes the
// members that it finds.
func (g *groupState) knownLoaded(row *state.Group) []state.Incarnation {
	if row.HealthKnown && len(row.Incarnations) > 0 && g.heardFence == row.FencingToken {
		return slices.Clone(row.Incarnations)
	}
	var from state.NodeID
	var known []state.Incarnation
	for id, v := range g.votes {
		if v.fence == row.FencingToken && len(v.incarnations) > 0 && (known == nil || id < from) {
			from, known = id, v.incarnations
		}
	}
	return slices.Clone(known)
}

func (s *System) hasStraggler(g *groupState) bool {
	medians := make([]time.Duration, 0, len(g.members))
	for _, m := range g.members {
		h := s.prober.hosts[m]
		if h == nil || h.median == 0 {
			return false
		}
		medians = append(medians, h.median)
	}
	slices.Sort(medians)
	last := len(medians) - 1
	return last > 0 && medians[last] > stragglerFactor*medians[(last)/2]
}

// publish sets the own verdict and notes for the peers whether it changed.
func (s *System) publish(g *groupState, v *vote) {
	old := g.own
	g.own = v
	if g.published && (old == nil || !sameVote(old, v)) {
		s.log.changed(item{itemVerdict, string(g.id)})
	}
}

func sameVote(a, b *vote) bool {
	return a.fence == b.fence && a.whole == b.whole && a.straggler == b.straggler &&
		slices.Equal(a.incarnations, b.incarnations) && slices.Equal(a.dead, b.dead)
}

// combine makes the verdict in force of the verdicts that this node has. A
// whole verdict rests on an answer of every member, so that one is enough,
// whatever a watcher says that does not reach them.
func (s *System) combine(now time.Duration, g *groupState, out *state.Outbox) {
	row := s.t.Groups.Get(g.id)
	if row == nil {
		return
	}
	best, latest := g.best(now, row.FencingToken)
	s.updateAlone(now, g, row.FencingToken, latest)
	changed := (latest >= 0) != row.HealthKnown || (best != nil) != row.Healthy
	if best != nil {
		row.HealthyAt = best.at
		g.heardFence = row.FencingToken
		if g.loaded != nil && best != g.own && len(best.incarnations) == len(g.loaded) {
			// The other watcher saw the members load.
			g.loaded = slices.Clone(best.incarnations)
		}
		changed = changed || row.Straggler != best.straggler || !slices.Equal(row.Incarnations, best.incarnations)
		row.Straggler, row.Incarnations = best.straggler, best.incarnations
	}
	if row.Healthy != (best != nil) {
		id := event.GroupUnhealthy
		if best != nil {
			id = event.GroupHealthy
		}
		out.Log(id, slog.String("group", string(g.id)))
	}
	row.Healthy, row.HealthKnown = best != nil, latest >= 0 || row.HealthKnown
	dead := s.deadMembers(now, g, row)
	if !slices.Equal(dead, row.DeadMembers) {
		row.DeadMembers, changed = dead, true
	}
	if changed {
		s.t.Groups.Touch(g.id)
	}
	s.schedule(now, g, best, latest)
}

// best returns the youngest whole verdict that is not too old, and the date of
// the youngest verdict of any kind, -1 for none.
func (g *groupState) best(now time.Duration, fence state.FencingToken) (*vote, time.Duration) {
	var best *vote
	var by state.NodeID
	latest := time.Duration(-1)
	consider := func(id state.NodeID, v *vote) {
		if v.fence != fence {
			return
		}
		latest = max(latest, v.at)
		if !v.whole || now-v.at >= VerdictFor {
			return
		}
		// Equal dates go by node id, because votes have no order.
		if best == nil || v.at > best.at || v.at == best.at && id < by {
			best, by = v, id
		}
	}
	if g.own != nil {
		consider("", g.own)
	}
	for id, v := range g.votes {
		consider(id, v)
	}
	return best, latest
}

// updateAlone starts and ends the probing by a node that has no fresh verdict.
func (s *System) updateAlone(now time.Duration, g *groupState, fence state.FencingToken, latest time.Duration) {
	fresh := false
	for _, v := range g.votes {
		fresh = fresh || v.fence == fence && now-v.at < aloneAfter
	}
	if g.duty || fresh {
		g.alone = false
		return
	}
	if !g.alone && now-max(latest, g.since) >= aloneAfter {
		g.alone = true
		s.probeMembers(now, g)
	}
}

// deadMembers returns the members that all watchers have found dead. Without
// watchers that see the data centre there is no evidence, and nothing is dead.
func (s *System) deadMembers(now time.Duration, g *groupState, row *state.Group) []state.HostID {
	var dead []state.HostID
	for _, m := range g.members {
		agreed := len(g.watchers) > 0
		for _, w := range g.watchers {
			v := g.votes[w]
			if w == s.t.Self.ID {
				v = g.own
			}
			agreed = agreed && v != nil && v.fence == row.FencingToken && v.findsDead(m, now)
		}
		if agreed {
			dead = append(dead, m)
		}
	}
	return dead
}

func (v *vote) findsDead(host state.HostID, now time.Duration) bool {
	return slices.ContainsFunc(v.dead, func(d deadMember) bool { return d.host == host && now-d.since >= deadAfter })
}

// schedule sets when the verdict may change without an input.
func (s *System) schedule(now time.Duration, g *groupState, best *vote, latest time.Duration) {
	next := now + aloneAfter
	soon := func(at time.Duration) {
		if at > now && at < next {
			next = at
		}
	}
	soon(max(latest, g.since) + aloneAfter)
	if best != nil {
		soon(best.at + VerdictFor)
	}
	if g.own != nil {
		soon(g.own.at + positiveFor + state.TickPeriod)
		for _, d := range g.own.dead {
			soon(d.since + deadAfter)
		}
	}
	for _, v := range g.votes {
		for _, d := range v.dead {
			soon(d.since + deadAfter)
		}
	}
	s.watch.due.Schedule(g.id, next)
}

func (s *System) expireVerdicts(now time.Duration, out *state.Outbox) {
	for {
		id, ok := s.watch.due.Pop(now)
		if !ok {
			return
		}
		if g := s.watch.groups[id]; g != nil {
			s.judge(now, g)
			s.combine(now, g, out)
		}
	}
}
