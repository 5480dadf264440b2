package configuration

import (
	"log/slog"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

// confirmTimeout bounds the time in which the members of a candidate set must report
// again before a new set is formed.
const confirmTimeout = time.Second

// acceptanceTracker tracks which nodes have the version of the copy.
//
// Nodes store nothing on disk. A node that reported a version may therefore restart
// and sync to the preceding version, from a majority that does not have the new one
// yet. A set of nodes counts only if all of them had the version at one point in
// time: each node reported it before that time and again after it, in the same
// incarnation.
type acceptanceTracker struct {
	version       state.Version
	nodes         []state.NodeEntry
	previousNodes []state.NodeEntry
	// declaredGone holds the nodes that operators declared permanently gone, with the
	// time of the declaration. They count as having reported, because they answer no
	// messages.
	declaredGone map[state.NodeID]time.Duration
	reports      map[state.NodeID]versionReport
	// blockingSet and allNodes are the confirmations of the two sets that acceptance
	// depends on, in the registries of the version and of the preceding one.
	blockingSet setConfirmation
	allNodes    setConfirmation
	self        state.NodeID
}

// versionReport summarises a node's reports of the version in one incarnation.
type versionReport struct {
	incarnation state.Incarnation
	firstSeenAt time.Duration
	// lastSentAt is the send time of the last poll whose reply contained the version.
	lastSentAt time.Duration
}

// setConfirmation tracks whether all nodes of a set had the version at one time,
// candidateAt. It is confirmed once all of them have reported again.
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

func (a *acceptanceTracker) isGone(id state.NodeID) bool { _, ok := a.declaredGone[id]; return ok }

// recordPeer updates the report of a node from its row in Peers. A row without the
// version withdraws the report.
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

// isBlockingSet reports whether the nodes for which cond holds intersect every
// majority of a registry.
func isBlockingSet(nodes []state.NodeEntry, cond func(state.NodeID) bool) bool {
	count := 0
	for _, n := range nodes {
		if cond(n.ID) {
			count++
		}
	}
	return count >= (len(nodes)+1)/2
}

// holdsForAllNodes reports whether cond holds for all nodes of a registry.
func holdsForAllNodes(nodes []state.NodeEntry, cond func(state.NodeID) bool) bool {
	for _, n := range nodes {
		if !cond(n.ID) {
			return false
		}
	}
	return true
}

// quorumRule reports whether the nodes for which cond holds are a sufficient set.
type quorumRule func(nodes []state.NodeEntry, cond func(state.NodeID) bool) bool

// holdsInBoth reports whether the reports that satisfy cond form a sufficient set in
// the registry of the version and in that of the preceding one.
func (a *acceptanceTracker) holdsInBoth(rule quorumRule, cond func(versionReport) bool) bool {
	counts := func(id state.NodeID) bool {
		if id == a.self || a.isGone(id) {
			return true
		}
		r, ok := a.reports[id]
		return ok && cond(r)
	}
	return rule(a.nodes, counts) && rule(a.previousNodes, counts)
}

// updateConfirmation selects a candidate time when there is none or the last one has
// timed out, and checks whether the set is confirmed for it.
func (a *acceptanceTracker) updateConfirmation(now time.Duration, set *setConfirmation, rule quorumRule) {
	if set.confirmed {
		return
	}
	if !set.hasCandidate || now-set.candidateAt > confirmTimeout {
		set.hasCandidate = a.holdsInBoth(rule, func(versionReport) bool { return true })
		set.candidateAt = now
	}
	if set.hasCandidate {
		set.confirmed = a.holdsInBoth(rule, func(r versionReport) bool { return r.firstSeenAt <= set.candidateAt && r.lastSentAt >= set.candidateAt })
	}
}

// unconfirmedNodes lists the registered nodes that have not reported the version.
func (a *acceptanceTracker) unconfirmedNodes() []state.NodeID {
	var ids []state.NodeID
	for _, n := range a.nodes {
		if _, ok := a.reports[n.ID]; !ok && n.ID != a.self && !a.isGone(n.ID) {
			ids = append(ids, n.ID)
		}
	}
	return ids
}

// updateAcceptance decides whether the version of the copy is accepted. Every node
// decides this itself, so that acceptance does not depend on the node that committed
// the version.
func (s *System) updateAcceptance(now time.Duration, out *state.Outbox) {
	config, acceptance := &s.tables.Config, &s.acceptance
	if !config.Loaded || !config.Synced || config.AcceptedVersion >= config.Head.Version {
		return
	}
	acceptance.updateConfirmation(now, &acceptance.blockingSet, isBlockingSet)
	acceptance.updateConfirmation(now, &acceptance.allNodes, holdsForAllNodes)
	// Once a blocking set has the version, neither the head nor a majority confirms
	// an older one, so the nodes that do not have it are stale after MaxEvidenceAge.
	othersStale := acceptance.blockingSet.confirmed && now-acceptance.blockingSet.candidateAt >= MaxEvidenceAge
	// Until the preceding version is accepted, a node that it removed may still be
	// fresh, and such a node is in neither registry of the current version.
	allReported := acceptance.allNodes.confirmed && config.AcceptedVersion+1 >= config.Head.Version
	if !othersStale && !allReported {
		return
	}
	config.AcceptedVersion = config.Head.Version
	out.Log(event.ConfigAccepted, versionAttr(config.AcceptedVersion), slog.Int("nodes", len(config.Head.Nodes)))
}

// mayCommitNext reports whether the next version may be committed. A blocking set of
// the registry of the current version, and one of the preceding registry, must have
// the current version, so that each majority of either includes a node that has it.
//
// A version that changed the registry must be accepted first. Nodes divide the limits
// of targets by the registries of their version and of the preceding one, so the
// registries of fresh nodes may differ by at most one change.
func (s *System) mayCommitNext() bool {
	config := &s.tables.Config
	if config.AcceptedVersion >= config.Head.Version {
		return true
	}
	return s.acceptance.blockingSet.confirmed && config.Head.AddedNode == "" && config.Head.RemovedNode == nil
}
