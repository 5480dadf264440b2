package configuration

import (
	"log/slog"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

// confirmFor is how long the members of a candidate set may take to report
// again before a new set is formed.
const confirmFor = time.Second

// spread follows which nodes know the version of the copy.
//
// Nodes keep nothing on disk, so a node that reported a version may restart and
// catch up to the version before, from a majority that does not know the new
// one yet. A set of nodes therefore counts only once there was one moment at
// which all of them knew the version: each had reported it by then, and has
// reported it again since, in the same incarnation.
type spread struct {
	version state.Version
	now     []state.NodeEntry
	before  []state.NodeEntry
	// gone holds the nodes that operators stated to be gone for good, with the
	// time of the statement. They count as having reported: they answer nobody.
	gone     map[state.NodeID]time.Duration
	reports  map[state.NodeID]report
	blocking moment
	all      moment
	self     state.NodeID
}

// report is what a node said about the version in one incarnation.
type report struct {
	incarnation state.Incarnation
	since       time.Duration
	sentAt      time.Duration
}

// moment is a time at which a set of nodes may all have known the version.
type moment struct {
	at        time.Duration
	candidate bool
	confirmed bool
}

func (s *spread) init(self state.NodeID) {
	s.self = self
	s.gone = map[state.NodeID]time.Duration{}
	s.reports = map[state.NodeID]report{}
}

func (s *spread) reset(now time.Duration, head state.Head, before []state.NodeEntry) {
	s.version, s.now, s.before = head.Version, head.Nodes, before
	clear(s.reports)
	s.blocking, s.all = moment{}, moment{}
	if head.RemovedNode != nil && head.RemovedByOperator {
		s.gone[head.RemovedNode.ID] = now
	}
}

func (s *spread) isGone(id state.NodeID) bool { _, ok := s.gone[id]; return ok }

// report takes what a peer row says. A row that no longer says the version
// takes the report back.
func (s *spread) report(now time.Duration, id state.NodeID, p *state.Peer) {
	if p == nil {
		return
	}
	if at, ok := s.gone[id]; ok && p.LastReplyAt > at {
		delete(s.gone, id)
	}
	if !p.Synced || p.Version < s.version {
		delete(s.reports, id)
		return
	}
	old, ok := s.reports[id]
	if !ok || old.incarnation != p.Incarnation {
		old = report{incarnation: p.Incarnation, since: now}
	}
	old.sentAt = p.VersionAt
	s.reports[id] = old
}

// blocks reports whether the nodes for which cond holds meet every majority of
// a registry.
func blocks(nodes []state.NodeEntry, cond func(state.NodeID) bool) bool {
	count := 0
	for _, n := range nodes {
		if cond(n.ID) {
			count++
		}
	}
	return count >= (len(nodes)+1)/2
}

func every(nodes []state.NodeEntry, cond func(state.NodeID) bool) bool {
	for _, n := range nodes {
		if !cond(n.ID) {
			return false
		}
	}
	return true
}

type quorum func(nodes []state.NodeEntry, cond func(state.NodeID) bool) bool

func (s *spread) both(q quorum, cond func(report) bool) bool {
	f := func(id state.NodeID) bool {
		if id == s.self || s.isGone(id) {
			return true
		}
		r, ok := s.reports[id]
		return ok && cond(r)
	}
	return q(s.now, f) && q(s.before, f)
}

func (s *spread) update(now time.Duration, m *moment, q quorum) {
	if m.confirmed {
		return
	}
	if !m.candidate || now-m.at > confirmFor {
		m.candidate = s.both(q, func(report) bool { return true })
		m.at = now
	}
	if m.candidate {
		m.confirmed = s.both(q, func(r report) bool { return r.since <= m.at && r.sentAt >= m.at })
	}
}

// missing lists the registered nodes that have not reported the version.
func (s *spread) missing() []state.NodeID {
	var ids []state.NodeID
	for _, n := range s.now {
		if _, ok := s.reports[n.ID]; !ok && n.ID != s.self && !s.isGone(n.ID) {
			ids = append(ids, n.ID)
		}
	}
	return ids
}

// judgeAcceptance decides whether the version of the copy is accepted. Every
// node can tell, so that acceptance does not depend on the node that committed.
func (s *System) judgeAcceptance(now time.Duration, out *state.Outbox) {
	c, sp := &s.t.Config, &s.spread
	if !c.Loaded || !c.Synced || c.AcceptedVersion >= c.Head.Version {
		return
	}
	sp.update(now, &sp.blocking, blocks)
	sp.update(now, &sp.all, every)
	waited := sp.blocking.confirmed && now-sp.blocking.at >= FreshFor
	// Before the version before is accepted, a node that it removed may still be
	// fresh, and is in neither registry of this version.
	reported := sp.all.confirmed && c.AcceptedVersion+1 >= c.Head.Version
	if !waited && !reported {
		return
	}
	c.AcceptedVersion = c.Head.Version
	out.Log(event.ConfigAccepted, versionAttr(c.AcceptedVersion), slog.Int("nodes", len(c.Head.Nodes)))
}

// mayFollow reports whether the next version may be committed: the present one
// is known to a blocking set of its own registry and of the one before, so that
// a majority of either includes a node that knows it.
//
// A version that changed the registry must be accepted first. Nodes divide the
// limits of targets by the registry of their version and of the one before, so
// that fresh nodes may be one registry apart and no more.
func (s *System) mayFollow() bool {
	c := &s.t.Config
	if c.AcceptedVersion >= c.Head.Version {
		return true
	}
	return s.spread.blocking.confirmed && c.Head.AddedNode == "" && c.Head.RemovedNode == nil
}
