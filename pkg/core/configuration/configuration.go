// Package configuration maintains this node's copy of the configuration and its
// freshness, commits changes, and maintains the registry of nodes.
package configuration

import (
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

const (
	// systemName identifies the store requests of this system.
	systemName = "configuration"
	// MaxEvidenceAge is the maximum age of the evidence that no newer version has been
	// accepted. A node with older evidence sends no new work.
	MaxEvidenceAge = 2 * time.Second
	// headReadPeriod is the interval between two reads of the head.
	headReadPeriod = 500 * time.Millisecond
	// pollAllPeersAfter is the minimum age of the evidence at which a node of a
	// large registry polls all others. A random addition of up to the same length
	// staggers the nodes, so that the first ones to poll pass their evidence on to
	// the rest.
	pollAllPeersAfter = 800 * time.Millisecond
)

// System is the configuration system. It reads Peers and writes Config and the
// specification fields of Accounts.
type System struct {
	tables       *state.Tables
	changedPeers *state.DirtySet[state.NodeID]

	headReader headReader
	fetcher    peerFetcher
	acceptance acceptanceTracker
	commits    commitQueue
	registry   registryWatcher
	// confirmationTimes is a buffer that majorityConfirmedAt reuses.
	confirmationTimes []time.Duration

	// registered is set while the registry of the copy contains this node.
	registered bool
	// adoptedAt is when the version of the copy was adopted.
	adoptedAt time.Duration
	// pollAllPeersAge is pollAllPeersAfter plus the random addition of this node.
	pollAllPeersAge time.Duration
}

// New returns the configuration system.
func New(t *state.Tables) *System {
	s := &System{tables: t, changedPeers: t.Peers.Subscribe()}
	s.headReader.init()
	s.acceptance.init(t.Self.ID)
	s.pollAllPeersAge = pollAllPeersAfter + s.jitter(pollAllPeersAfter)
	return s
}

// Step implements state.System.
func (s *System) Step(now time.Duration, in state.Input, out *state.Outbox) {
	switch in := in.(type) {
	case state.Tick:
		s.readHead(now, out)
		s.fetchFromPeer(now, out)
		s.planRegistryChange(now)
		if len(s.tables.Config.Head.Nodes) == 1 {
			// A majority of one node has no peer whose reply triggers the check.
			s.checkMajority(now)
		}
	case state.StoreReply:
		if s.tables.OwnsReply(systemName, in) {
			s.handleStoreReply(now, in, out)
		}
	case state.PeerMessage:
		s.handlePeerMessage(now, in, out)
	case state.OperatorCommand:
		s.enqueueCommand(now, in, out)
	}
	if changed := s.changedPeers.Take(); len(changed) > 0 {
		s.handlePeerChanges(now, changed)
	}
	s.updateAcceptance(now, out)
	s.advanceCommits(now, out)
	s.replyToWaitingOperators(now, out)
	s.updateFreshness(now, out)
}

func (s *System) handleStoreReply(now time.Duration, reply state.StoreReply, out *state.Outbox) {
	if s.headReader.ownsRequest(reply.ID) {
		s.handleHeadReply(now, reply, out)
		return
	}
	s.handleCommitReply(now, reply, out)
}

// adoptVersion replaces the copy with a later version. It ignores a lower or equal
// version, so that a delayed message cannot restore an old one.
func (s *System) adoptVersion(now time.Duration, head state.Head, doc *state.Document, out *state.Outbox) {
	config := &s.tables.Config
	if config.Loaded && head.Version <= config.Head.Version && !s.tables.Switches.IgnoreVersionOrder {
		return
	}
	config.PreviousNodes = previousNodes(head)
	config.Head, config.Loaded = head, true
	if doc != nil {
		config.Document = *doc
	}
	s.adoptedAt = now
	s.registered = findNode(head.Nodes, s.tables.Self.ID) != nil
	s.acceptance.reset(now, head, config.PreviousNodes)
	for id, peer := range s.tables.Peers.All() {
		s.acceptance.recordPeer(now, id, peer)
	}
	s.applyAccounts()
	out.Log(event.ConfigLoaded, versionAttr(head.Version))
}

// previousNodes returns the registry of the version that precedes a head.
func previousNodes(head state.Head) []state.NodeEntry {
	if head.AddedNode == "" && head.RemovedNode == nil {
		return head.Nodes
	}
	nodes := slices.DeleteFunc(slices.Clone(head.Nodes), func(n state.NodeEntry) bool { return n.ID == head.AddedNode })
	if head.RemovedNode != nil {
		nodes = putNode(nodes, *head.RemovedNode)
	}
	return nodes
}

// recordEvidence records that no version newer than the copy had been accepted at
// the given time.
func (s *System) recordEvidence(at time.Duration) {
	if at > s.tables.Config.EvidenceAt {
		s.tables.Config.EvidenceAt = at
	}
}

// updateFreshness decides whether the copy is fresh, and logs each transition.
func (s *System) updateFreshness(now time.Duration, out *state.Outbox) {
	config := &s.tables.Config
	s.updatePollAllPeers(now)
	// The acceptance of a change does not wait for a node that is not registered, so
	// such a node must not send work.
	fresh := config.Loaded && config.Synced && s.registered && config.EvidenceAt >= 0 && now-config.EvidenceAt < MaxEvidenceAge
	if s.tables.Switches.IgnoreFreshness {
		fresh = config.Loaded
	}
	if fresh == config.Fresh {
		return
	}
	config.Fresh = fresh
	if fresh {
		out.Log(event.ConfigFresh, versionAttr(config.Head.Version))
		return
	}
	out.Log(event.ConfigStale, versionAttr(config.Head.Version))
}

// updatePollAllPeers requests polls of all nodes while the copy is not synced, its
// evidence is old, or this node determines its acceptance. The node that committed
// a version does so at once, the others after MaxEvidenceAge plus pollAllPeersAge.
func (s *System) updatePollAllPeers(now time.Duration) {
	config := &s.tables.Config
	pending := config.Loaded && config.AcceptedVersion < config.Head.Version
	config.PollAllPeers = !config.Synced || now-config.EvidenceAt > s.pollAllPeersAge ||
		pending && (s.commits.lastCommitted == config.Head.Version || now-s.adoptedAt > MaxEvidenceAge+s.pollAllPeersAge)
}

// jitter returns a random duration below d.
func (s *System) jitter(d time.Duration) time.Duration {
	return time.Duration(s.tables.Rand.Int64N(int64(d)))
}
