// Package configuration keeps this node's copy of the configuration and its
// freshness, commits changes, and keeps the registry of nodes.
package configuration

import (
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

const (
	name = "configuration"
	// FreshFor is how long evidence that no newer version was accepted lasts.
	FreshFor = 2 * time.Second
	// readPeriod is the period of reads of the head.
	readPeriod = 500 * time.Millisecond
	// collectAfter is the age of the evidence at which a node of a large
	// registry asks all others. A random part of the same length spreads the
	// nodes, so that the first ones to ask pass their evidence on to the rest.
	collectAfter = 800 * time.Millisecond
)

// System reads Peers; it writes Config and the specification columns of
// Accounts.
type System struct {
	t     *state.Tables
	peers *state.DirtySet[state.NodeID]

	head     headReads
	fetch    peerFetch
	spread   spread
	commits  commits
	registry registry
	majority []time.Duration

	registered  bool
	adoptedAt   time.Duration
	collectFrom time.Duration
}

// New returns the configuration system.
func New(t *state.Tables) *System {
	s := &System{t: t, peers: t.Peers.Subscribe()}
	s.head.init()
	s.spread.init(t.Self.ID)
	s.collectFrom = collectAfter + s.jitter(collectAfter)
	return s
}

// Step implements state.System.
func (s *System) Step(now time.Duration, in state.Input, out *state.Outbox) {
	switch in := in.(type) {
	case state.Tick:
		s.readHead(now, out)
		s.fetchFromPeer(now, out)
		s.watchRegistry(now)
		if len(s.t.Config.Head.Nodes) == 1 {
			// No peer's reply makes a majority of one due.
			s.askMajority(now)
		}
	case state.StoreReply:
		if s.t.OwnsReply(name, in) {
			s.storeReplied(now, in, out)
		}
	case state.PeerMessage:
		s.peerMessage(now, in, out)
	case state.OperatorCommand:
		s.enqueue(now, in, out)
	}
	if changed := s.peers.Take(); len(changed) > 0 {
		s.peersChanged(now, changed)
	}
	s.judgeAcceptance(now, out)
	s.advance(now, out)
	s.answerOperators(now, out)
	s.updateFresh(now, out)
}

func (s *System) storeReplied(now time.Duration, reply state.StoreReply, out *state.Outbox) {
	if s.head.owns(reply.ID) {
		s.headReplied(now, reply, out)
		return
	}
	s.commitReplied(now, reply, out)
}

// adopt replaces the copy by a later version. A lower or equal version is
// ignored, however late its message arrives.
func (s *System) adopt(now time.Duration, head state.Head, doc *state.Document, out *state.Outbox) {
	c := &s.t.Config
	if c.Loaded && head.Version <= c.Head.Version && !s.t.Switches.IgnoreVersionOrder {
		return
	}
	c.PreviousNodes = previousNodes(head)
	c.Head, c.Loaded = head, true
	if doc != nil {
		c.Document = *doc
	}
	s.adoptedAt = now
	s.registered = find(head.Nodes, s.t.Self.ID) != nil
	s.spread.reset(now, head, c.PreviousNodes)
	for id, p := range s.t.Peers.All() {
		s.spread.report(now, id, p)
	}
	s.applyAccounts()
	out.Log(event.ConfigLoaded, versionAttr(head.Version))
}

// previousNodes returns the registry of the version before a head.
func previousNodes(head state.Head) []state.NodeEntry {
	if head.AddedNode == "" && head.RemovedNode == nil {
		return head.Nodes
	}
	nodes := slices.DeleteFunc(slices.Clone(head.Nodes), func(n state.NodeEntry) bool { return n.ID == head.AddedNode })
	if head.RemovedNode != nil {
		nodes = insert(nodes, *head.RemovedNode)
	}
	return nodes
}

// evidence notes that no version newer than the copy was accepted at a time.
func (s *System) evidence(at time.Duration) {
	if at > s.t.Config.EvidenceAt {
		s.t.Config.EvidenceAt = at
	}
}

func (s *System) updateFresh(now time.Duration, out *state.Outbox) {
	c := &s.t.Config
	s.updateCollect(now)
	// A node that is not registered is not waited for when a change is
	// accepted, so that it may not send work either.
	fresh := c.Loaded && c.Synced && s.registered && c.EvidenceAt >= 0 && now-c.EvidenceAt < FreshFor
	if s.t.Switches.IgnoreFreshness {
		fresh = c.Loaded
	}
	if fresh == c.Fresh {
		return
	}
	c.Fresh = fresh
	if fresh {
		out.Log(event.ConfigFresh, versionAttr(c.Head.Version))
		return
	}
	out.Log(event.ConfigStale, versionAttr(c.Head.Version))
}

func (s *System) updateCollect(now time.Duration) {
	c := &s.t.Config
	pending := c.Loaded && c.AcceptedVersion < c.Head.Version
	c.PollAllPeers = !c.Synced || now-c.EvidenceAt > s.collectFrom ||
		pending && (s.commits.made == c.Head.Version || now-s.adoptedAt > FreshFor+s.collectFrom)
}

func (s *System) jitter(d time.Duration) time.Duration {
	return time.Duration(s.t.Rand.Int64N(int64(d)))
}
