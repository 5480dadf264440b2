package membership

import (
	"log/slog"
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/rendezvous"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

const (
	// pollPeriod is the interval between two polls of a peer.
	pollPeriod = 250 * time.Millisecond
	// maxFullPollPeers is the largest number of peers at which each period polls
	// all of them.
	maxFullPollPeers = 7
	// pollFanOut is the number of fixed peers polled in each period when there
	// are more than maxFullPollPeers.
	pollFanOut = 4
	// livenessTimeout is how long a peer may leave polls unanswered before it is no
	// longer live for the choice of watchers.
	livenessTimeout = time.Second
	// unreachableTimeout is how long a peer leaves polls unanswered before this
	// node reports it as unreachable, so that it may be removed from the registry.
	unreachableTimeout = 60 * time.Second
	// maxOutstandingPolls bounds the unanswered polls kept for one peer. A reply to
	// an older poll is dropped.
	maxOutstandingPolls = 12
)

// poller holds the state of the polling of peers.
type poller struct {
	nextPollAt      time.Duration
	lastSeq         uint64
	registryVersion state.Version
	// registeredPeers are the other nodes of the registry, sorted.
	registeredPeers []state.NodeEntry
	peers           map[state.NodeID]*peerState
	// fixedPeers are polled in each period; rotatingPeer is the additional peer
	// chosen in turn in the last period.
	fixedPeers   []state.NodeID
	rotatingPeer state.NodeID
	// unansweredDue holds the peers with unanswered polls by the time of their next
	// timeout: livenessTimeout, then unreachableTimeout.
	unansweredDue *state.DueQueue[state.NodeID]
	// unreachableNodes are the registered nodes past unreachableTimeout, sorted.
	unreachableNodes []state.NodeID
}

// peerState holds the polling state of one peer.
type peerState struct {
	// cursor is the sequence number in the peer's change log up to which this node
	// has received changes.
	cursor      uint64
	outstanding []outstandingPoll
	// reportedGroups are the groups with a health report of the peer, sorted.
	reportedGroups []state.GroupID
}

type outstandingPoll struct {
	seq    uint64
	sentAt time.Duration
}

func (p *poller) init(t *state.Tables) {
	p.peers = map[state.NodeID]*peerState{}
	p.unansweredDue = state.NewDueQueue[state.NodeID]()
	p.nextPollAt = time.Duration(t.Rand.Int64N(int64(pollPeriod)))
}

// updateRegistry applies a new configuration version to the peers: it requests
// links to the registered nodes and removes peers that are no longer registered
// or linked.
func (s *System) updateRegistry(now time.Duration, out *state.Outbox) {
	config, p := &s.tables.Config, &s.poller
	if !config.Loaded || p.registryVersion == config.Head.Version {
		return
	}
	p.registryVersion = config.Head.Version
	nodes := slices.DeleteFunc(slices.Clone(config.Head.Nodes), func(n state.NodeEntry) bool { return n.ID == s.tables.Self.ID })
	s.tracker.reassignAll = true
	if slices.Equal(nodes, p.registeredPeers) {
		return
	}
	previous := p.registeredPeers
	p.registeredPeers = nodes
	out.Add(state.SetPeers{Peers: nodes})
	for _, n := range nodes {
		row := s.ensurePeer(now, n.ID)
		row.DataCentre, row.Address = n.DataCentre, n.Address
		s.tables.Peers.Touch(n.ID)
	}
	for _, n := range previous {
		s.removeUnusedPeer(n.ID)
	}
	s.chooseFixedPeers()
}

func (s *System) isRegistered(id state.NodeID) bool {
	_, found := slices.BinarySearchFunc(s.poller.registeredPeers, id, func(n state.NodeEntry, id state.NodeID) int {
		if n.ID < id {
			return -1
		}
		if n.ID > id {
			return 1
		}
		return 0
	})
	return found
}

// ensurePeer returns the row of a peer and creates it if it does not exist.
func (s *System) ensurePeer(now time.Duration, id state.NodeID) *state.Peer {
	if row := s.tables.Peers.Get(id); row != nil {
		return row
	}
	row := &state.Peer{ID: id, EvidenceAt: -1}
	s.poller.peers[id] = &peerState{}
	s.tables.Peers.Put(id, row)
	s.setUnansweredSince(row, max(now, 1))
	return row
}

// removeUnusedPeer removes a peer that is neither linked nor registered.
func (s *System) removeUnusedPeer(id state.NodeID) {
	row := s.tables.Peers.Get(id)
	if row == nil || row.Linked || s.isRegistered(id) {
		return
	}
	s.removePeerReports(id)
	s.poller.unansweredDue.Cancel(id)
	s.poller.unreachableNodes = removeSorted(s.poller.unreachableNodes, id)
	delete(s.poller.peers, id)
	s.tables.Peers.Delete(id)
	s.tracker.reassignAll = true
}

func (s *System) chooseFixedPeers() {
	p := &s.poller
	ids := make([]state.NodeID, len(p.registeredPeers))
	for i, n := range p.registeredPeers {
		ids[i] = n.ID
	}
	p.fixedPeers = rendezvous.Rank(string(s.tables.Self.ID), ids).First(pollFanOut)
}

func (s *System) handlePeerLink(now time.Duration, in state.PeerLinkChanged, out *state.Outbox) {
	row := s.ensurePeer(now, in.Peer)
	ps := s.poller.peers[in.Peer]
	ps.outstanding = nil
	attr := slog.String("peer", string(in.Peer))
	row.Linked = in.Up
	if !in.Up {
		out.Log(event.PeerDown, attr)
		if row.UnansweredSince == 0 {
			s.setUnansweredSince(row, max(now, 1))
		}
	} else {
		out.Log(event.PeerUp, attr)
		if row.Incarnation != in.Incarnation {
			s.resetPeer(row, in.Incarnation)
		}
	}
	s.tables.Peers.Touch(in.Peer)
	s.tracker.reassignAll = true
	s.removeUnusedPeer(in.Peer)
}

// resetPeer discards what a peer reported before it restarted.
func (s *System) resetPeer(row *state.Peer, incarnation state.Incarnation) {
	s.removePeerReports(row.ID)
	s.poller.peers[row.ID] = &peerState{}
	row.Incarnation = incarnation
	row.Version, row.VersionAt, row.Synced, row.EvidenceAt = 0, 0, false, -1
	row.Leaving, row.UnreachableNodes, row.UnreachableDataCentres, row.Loads, row.Usage = false, nil, nil, nil, nil
}

// pollPeers polls all peers once in each period. A node with more than
// maxFullPollPeers polls the fixed peers and one other in turn, unless the
// configuration system needs replies of all.
func (s *System) pollPeers(now time.Duration, out *state.Outbox) {
	p := &s.poller
	if now < p.nextPollAt {
		return
	}
	p.nextPollAt += pollPeriod
	if p.nextPollAt <= now {
		p.nextPollAt = now + pollPeriod
	}
	if s.tables.Peers.Len() <= maxFullPollPeers || s.tables.Config.PollAllPeers {
		for _, id := range s.tables.Peers.Keys() {
			s.sendPoll(now, id, out)
		}
		return
	}
	for _, id := range p.fixedPeers {
		s.sendPoll(now, id, out)
	}
	s.advanceRotation()
	if !slices.Contains(p.fixedPeers, p.rotatingPeer) {
		s.sendPoll(now, p.rotatingPeer, out)
	}
}

// advanceRotation sets rotatingPeer to the next registered peer in id order.
func (s *System) advanceRotation() {
	p := &s.poller
	for _, n := range p.registeredPeers {
		if n.ID > p.rotatingPeer {
			p.rotatingPeer = n.ID
			return
		}
	}
	p.rotatingPeer = ""
	if len(p.registeredPeers) > 0 {
		p.rotatingPeer = p.registeredPeers[0].ID
	}
}

func (s *System) sendPoll(now time.Duration, id state.NodeID, out *state.Outbox) {
	row, p := s.tables.Peers.Get(id), &s.poller
	if row == nil || !row.Linked {
		return
	}
	ps := p.peers[id]
	p.lastSeq++
	if len(ps.outstanding) >= maxOutstandingPolls {
		ps.outstanding = ps.outstanding[1:]
	}
	ps.outstanding = append(ps.outstanding, outstandingPoll{p.lastSeq, now})
	if row.UnansweredSince == 0 {
		s.setUnansweredSince(row, max(now, 1))
	}
	out.Add(state.SendPeer{To: id, Message: state.Message{PollRequest: &state.PollRequest{Seq: p.lastSeq, Cursor: ps.cursor}}})
}

// setUnansweredSince sets the start of the time without an answer of a peer and
// schedules its first timeout.
func (s *System) setUnansweredSince(row *state.Peer, since time.Duration) {
	row.UnansweredSince = since
	s.poller.unansweredDue.Schedule(row.ID, since+livenessTimeout)
}

// checkUnansweredPeers handles the peers that have reached a timeout. A peer past
// livenessTimeout is no longer live; one past unreachableTimeout is unreachable.
func (s *System) checkUnansweredPeers(now time.Duration, out *state.Outbox) {
	p := &s.poller
	for {
		id, ok := p.unansweredDue.Pop(now)
		if !ok {
			return
		}
		row := s.tables.Peers.Get(id)
		if row == nil || row.UnansweredSince == 0 {
			continue
		}
		if now < row.UnansweredSince+unreachableTimeout {
			p.unansweredDue.Schedule(id, row.UnansweredSince+unreachableTimeout)
			s.tracker.reassignAll = true
			out.Log(event.PeerUnresponsive, slog.String("peer", string(id)))
			continue
		}
		row.Unreachable = true
		if s.isRegistered(id) {
			p.unreachableNodes = insertSorted(p.unreachableNodes, id)
		}
		s.tables.Peers.Touch(id)
	}
}

// insertSorted returns a sorted list with v in it. It does not modify the list,
// which a message that was sent may share.
func insertSorted[T ~string](list []T, v T) []T {
	i, found := slices.BinarySearch(list, v)
	if found {
		return list
	}
	return slices.Insert(slices.Clone(list), i, v)
}

// removeSorted returns a sorted list without v. It does not modify the list.
func removeSorted[T ~string](list []T, v T) []T {
	i, found := slices.BinarySearch(list, v)
	if !found {
		return list
	}
	return slices.Delete(slices.Clone(list), i, i+1)
}
