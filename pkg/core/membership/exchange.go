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
	// pollPeriod is the period of polls of a peer.
	pollPeriod = 250 * time.Millisecond
	// pollAll is the largest number of peers that are all polled in each period.
	pollAll = 7
	// fanOut is the number of fixed peers that are polled when there are more.
	fanOut = 4
	// silentFor is how long a peer may leave polls unanswered before it counts
	// as not alive for the choice of watchers.
	silentFor = time.Second
	// removeAfter is how long a peer is silent before it may be removed from
	// the registry.
	removeAfter = 60 * time.Second
	// maxOutstanding bounds the polls of one peer that may still be answered.
	maxOutstanding = 12
)

// exchange is the polling of peers.
type exchange struct {
	next    time.Duration
	seq     uint64
	version state.Version
	// registered are the other nodes of the registry, sorted.
	registered []state.NodeEntry
	peers      map[state.NodeID]*peerState
	// fixed are the peers of the fan-out; rotating is the last other one.
	fixed    []state.NodeID
	rotating state.NodeID
	// silent orders the peers that do not answer by when that has consequences.
	silent    *state.DueQueue[state.NodeID]
	unreached []state.NodeID
}

// peerState is what the exchange keeps about a peer.
type peerState struct {
	cursor uint64
	sent   []sentPoll
	// groups are the groups on which the peer has given a verdict, sorted.
	groups []state.GroupID
}

type sentPoll struct {
	seq uint64
	at  time.Duration
}

func (e *exchange) init(t *state.Tables) {
	e.peers = map[state.NodeID]*peerState{}
	e.silent = state.NewDueQueue[state.NodeID]()
	e.next = time.Duration(t.Rand.Int64N(int64(pollPeriod)))
}

// followRegistry keeps links to the registered nodes.
func (s *System) followRegistry(now time.Duration, out *state.Outbox) {
	c, e := &s.t.Config, &s.exchange
	if !c.Loaded || e.version == c.Head.Version {
		return
	}
	e.version = c.Head.Version
	nodes := slices.DeleteFunc(slices.Clone(c.Head.Nodes), func(n state.NodeEntry) bool { return n.ID == s.t.Self.ID })
	s.watch.changed = true
	if slices.Equal(nodes, e.registered) {
		return
	}
	before := e.registered
	e.registered = nodes
	out.Add(state.SetPeers{Peers: nodes})
	for _, n := range nodes {
		row := s.peer(now, n.ID)
		row.DataCentre, row.Address = n.DataCentre, n.Address
		s.t.Peers.Touch(n.ID)
	}
	for _, n := range before {
		s.dropUnused(n.ID)
	}
	s.chooseFanOut()
}

func (s *System) isRegistered(id state.NodeID) bool {
	_, found := slices.BinarySearchFunc(s.exchange.registered, id, func(n state.NodeEntry, id state.NodeID) int {
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

// peer returns the row of a peer and makes it when there is none.
func (s *System) peer(now time.Duration, id state.NodeID) *state.Peer {
	if row := s.t.Peers.Get(id); row != nil {
		return row
	}
	row := &state.Peer{ID: id, EvidenceAt: -1}
	s.exchange.peers[id] = &peerState{}
	s.t.Peers.Put(id, row)
	s.setSilent(row, max(now, 1))
	return row
}

func (s *System) dropUnused(id state.NodeID) {
	row := s.t.Peers.Get(id)
	if row == nil || row.Linked || s.isRegistered(id) {
		return
	}
	s.dropVotes(id)
	s.exchange.silent.Cancel(id)
	s.exchange.unreached = without(s.exchange.unreached, id)
	delete(s.exchange.peers, id)
	s.t.Peers.Delete(id)
	s.watch.changed = true
}

func (s *System) chooseFanOut() {
	e := &s.exchange
	ids := make([]state.NodeID, len(e.registered))
	for i, n := range e.registered {
		ids[i] = n.ID
	}
	e.fixed = rendezvous.Rank(string(s.t.Self.ID), ids).First(fanOut)
}

func (s *System) peerLink(now time.Duration, in state.PeerLinkChanged, out *state.Outbox) {
	row := s.peer(now, in.Peer)
	ps := s.exchange.peers[in.Peer]
	ps.sent = nil
	attr := slog.String("peer", string(in.Peer))
	row.Linked = in.Up
	if !in.Up {
		out.Log(event.PeerDown, attr)
		if row.UnansweredSince == 0 {
			s.setSilent(row, max(now, 1))
		}
	} else {
		out.Log(event.PeerUp, attr)
		if row.Incarnation != in.Incarnation {
			s.newIncarnation(row, in.Incarnation)
		}
	}
	s.t.Peers.Touch(in.Peer)
	s.watch.changed = true
	s.dropUnused(in.Peer)
}

// newIncarnation forgets what a peer said before it restarted.
func (s *System) newIncarnation(row *state.Peer, incarnation state.Incarnation) {
	s.dropVotes(row.ID)
	s.exchange.peers[row.ID] = &peerState{}
	row.Incarnation = incarnation
	row.Version, row.VersionAt, row.Synced, row.EvidenceAt = 0, 0, false, -1
	row.Leaving, row.UnreachableNodes, row.UnreachableDataCentres, row.Loads, row.Usage = false, nil, nil, nil, nil
}

// poll asks the peers that are due.
func (s *System) poll(now time.Duration, out *state.Outbox) {
	e := &s.exchange
	if now < e.next {
		return
	}
	e.next += pollPeriod
	if e.next <= now {
		e.next = now + pollPeriod
	}
	if s.t.Peers.Len() <= pollAll || s.t.Config.PollAllPeers {
		for _, id := range s.t.Peers.Keys() {
			s.ask(now, id, out)
		}
		return
	}
	for _, id := range e.fixed {
		s.ask(now, id, out)
	}
	s.rotate()
	if !slices.Contains(e.fixed, e.rotating) {
		s.ask(now, e.rotating, out)
	}
}

// rotate moves to the next registered peer.
func (s *System) rotate() {
	e := &s.exchange
	for _, n := range e.registered {
		if n.ID > e.rotating {
			e.rotating = n.ID
			return
		}
	}
	e.rotating = ""
	if len(e.registered) > 0 {
		e.rotating = e.registered[0].ID
	}
}

func (s *System) ask(now time.Duration, id state.NodeID, out *state.Outbox) {
	row, e := s.t.Peers.Get(id), &s.exchange
	if row == nil || !row.Linked {
		return
	}
	ps := e.peers[id]
	e.seq++
	if len(ps.sent) >= maxOutstanding {
		ps.sent = ps.sent[1:]
	}
	ps.sent = append(ps.sent, sentPoll{e.seq, now})
	if row.UnansweredSince == 0 {
		s.setSilent(row, max(now, 1))
	}
	out.Add(state.SendPeer{To: id, Message: state.Message{PollRequest: &state.PollRequest{Seq: e.seq, Cursor: ps.cursor}}})
}

func (s *System) setSilent(row *state.Peer, at time.Duration) {
	row.UnansweredSince = at
	s.exchange.silent.Schedule(row.ID, at+silentFor)
}

// expireSilent follows up on peers that have not answered for long.
func (s *System) expireSilent(now time.Duration, out *state.Outbox) {
	e := &s.exchange
	for {
		id, ok := e.silent.Pop(now)
		if !ok {
			return
		}
		row := s.t.Peers.Get(id)
		if row == nil || row.UnansweredSince == 0 {
			continue
		}
		if now < row.UnansweredSince+removeAfter {
			e.silent.Schedule(id, row.UnansweredSince+removeAfter)
			s.watch.changed = true
			out.Log(event.PeerUnresponsive, slog.String("peer", string(id)))
			continue
		}
		row.Unreachable = true
		if s.isRegistered(id) {
			e.unreached = with(e.unreached, id)
		}
		s.t.Peers.Touch(id)
	}
}

func with[T ~string](list []T, v T) []T {
	i, found := slices.BinarySearch(list, v)
	if found {
		return list
	}
	return slices.Insert(slices.Clone(list), i, v)
}

func without[T ~string](list []T, v T) []T {
	i, found := slices.BinarySearch(list, v)
	if !found {
		return list
	}
	return slices.Delete(slices.Clone(list), i, i+1)
}
