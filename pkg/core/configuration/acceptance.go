package configuration

import (
	"log/slog"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

// confirmTimeout is how long the members of a candidate set may take to report
// again before a new set is formed.
const confirmTimeout = time.Second

// acceptanceTracker follows which nodes know the version of the copy.
//
// Nodes keep nothing on disk, so a node that reported a version may restart and
// catch up to the version before, from a majority that does not know the new
// one yet. A set of nodes therefore counts only once there was one moment at
// which all of them knew the version: each had reported it by then, and has
// reported it again since, in the same incarnation.
type acceptanceTracker struct {
	version       state.Version
	nodes         []state.NodeEntry
	previousNodes []state.NodeEntry
	// declaredGone holds the nodes that operators stated to be gone for good, with the
	// time of the statement. They count as having reported: they answer nobody.
	declaredGone map[state.NodeID]time.Duration
	reports      map[state.NodeID]versionReport
	blockingSet  setConfirmation
	allNodes     setConfirmation
	self         state.NodeID
}

// versionReport is what a node said about the version in one incarnation.
type versionReport struct {
	incarnation state.Incarnation
	firstSeenAt time.Duration
	lastSentAt  time.Duration
}

// setConfirmation is a time at which a set of nodes may all have known the version.
type setConfirmation struct {
	candidateAt  time.Duration
	hasCandidate bool
	confirmed    bool
}

func (a *acceptanceTracker) init(self state.NodeID) {
	a.self = self
	a.declaredGone = map[state.NodeID]time.Duration{}
	a.reports = map[state.NodeID]versionReport{}
}

func (a *acceptanceTracker) reset(now time.Duration, head state.Head, previous []state.NodeEntry) {
	a.version, a.nodes, a.previousNodes = head.Version, head.Nodes, previous
	clear(a.reports)
	a.blockingSet, a.allNodes = setConfirmation{}, setConfirmation{}
	if head.RemovedNode != nil && head.RemovedByOperator {
		a.declaredGone[head.RemovedNode.ID] = now
	}
}

func (a *acceptanceTracker) isDeclaredGone(id state.NodeID) bool {
	_, ok := a.declaredGone[id]
	return ok
}

// recordPeer takes what a peer row says. A row that no longer says the version
// takes the report back.
func (a *acceptanceTracker) recordPeer(now time.Duration, id state.NodeID, peer *state.Peer) {
	if peer == nil {
		return
	}
	if at, ok := a.declaredGone[id]; ok && peer.LastReplyAt > at {
		delete(a.declaredGone, id)
	}
	if !peer.Synced || peer.Version < a.version {
		delete(a.reports, id)
		return
	}
	report, ok := a.reports[id]
	if !ok || report.incarnation != peer.Incarnation {
		report = versionReport{incarnation: peer.Incarnation, firstSeenAt: now}
	}
	report.lastSentAt = peer.VersionAt
	a.reports[id] = report
}

// isBlockingSet reports whether the nodes for which cond holds meet every majority of
// a registry.
func isBlockingSet(nodes []state.NodeEntry, cond func(state.NodeID) bool) bool {
	count := 0
	for _, n := range nodes {
		if cond(n.ID) {
			count++
		}
	}
	return count >= (len(nodes)+1)/2
}

func isEveryNode(nodes []state.NodeEntry, cond func(state.NodeID) bool) bool {
	for _, n := range nodes {
		if !cond(n.ID) {
			return false
		}
	}
	return true
}

type quorumRule func(nodes []state.NodeEntry, cond func(state.NodeID) bool) bool

func (a *acceptanceTracker) holdsInBoth(rule quorumRule, cond func(versionReport) bool) bool {
	counts := func(id state.NodeID) bool {
		if id == a.self || a.isDeclaredGone(id) {
			return true
		}
		r, ok := a.reports[id]
		return ok && cond(r)
	}
	return rule(a.nodes, counts) && rule(a.previousNodes, counts)
}

func (a *acceptanceTracker) updateConfirmation(now time.Duration, confirmation *setConfirmation, rule quorumRule) {
	if confirmation.confirmed {
		return
	}
	if !confirmation.hasCandidate || now-confirmation.candidateAt > confirmTimeout {
		confirmation.hasCandidate = a.holdsInBoth(rule, func(versionReport) bool { return true })
		confirmation.candidateAt = now
	}
	if confirmation.hasCandidate {
		confirmation.confirmed = a.holdsInBoth(rule, func(r versionReport) bool {
			return r.firstSeenAt <= confirmation.candidateAt && r.lastSentAt >= confirmation.candidateAt
		})
	}
}

// unconfirmedNodes lists the registered nodes that have not reported the version.
func (a *acceptanceTracker) unconfirmedNodes() []state.NodeID {
	var ids []state.NodeID
	for _, n := range a.nodes {
		if _, ok := a.reports[n.ID]; !ok && n.ID != a.self && !a.isDeclaredGone(n.ID) {
			ids = append(ids, n.ID)
		}
	}
	return ids
}

// updateAcceptance decides whether the version of the copy is accepted. Every
// node can tell, so that acceptance does not depend on the node that committed.
func (s *System) updateAcceptance(now time.Duration, out *state.Outbox) {
	config, acceptance := &s.tables.Config, &s.acceptance
	if !config.Loaded || !config.Synced || config.AcceptedVersion >= config.Head.Version {
		return
	}
	acceptance.updateConfirmation(now, &acceptance.blockingSet, isBlockingSet)
	acceptance.updateConfirmation(now, &acceptance.allNodes, isEveryNode)
	othersStale := acceptance.blockingSet.confirmed && now-acceptance.blockingSet.candidateAt >= FreshFor
	// Before the version before is accepted, a node that it removed may still be
	// fresh, and is in neither registry of this version.
	allReported := acceptance.allNodes.confirmed && config.AcceptedVersion+1 >= config.Head.Version
	if !othersStale && !allReported {
		return
	}
	config.AcceptedVersion = config.Head.Version
	out.Log(event.ConfigAccepted, versionAttr(config.AcceptedVersion), slog.Int("nodes", len(config.Head.Nodes)))
}

// mayCommitNext reports whether the next version may be committed: the present one
// is known to a blocking set of its own registry and of the one before, so that
// a majority of either includes a node that knows it.
//
// A version that changed the registry must be accepted first. Nodes divide the
// limits of targets by the registry of their version and of the one before, so
// that fresh nodes may be one registry apart and no more.
func (s *System) mayCommitNext() bool {
	config := &s.tables.Config
	if config.AcceptedVersion >= config.Head.Version {
		return true
	}
	return s.acceptance.blockingSet.confirmed && config.Head.AddedNode == "" && config.Head.RemovedNode == nil
}
