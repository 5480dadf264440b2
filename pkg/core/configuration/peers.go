package configuration

import (
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// fetchPeriod is the period of requests for a configuration that a peer has and
// this node lacks.
const fetchPeriod = 250 * time.Millisecond

// peerFetch is the fetching of a configuration from peers.
type peerFetch struct {
	next time.Duration
	last state.NodeID
	// behind is set when a peer has reported a later version.
	behind bool
}

func (s *System) peerMessage(now time.Duration, in state.PeerMessage, out *state.Outbox) {
	m := in.Message
	switch {
	case m.ConfigNotice != nil:
		if m.ConfigNotice.Version > s.t.Config.Head.Version {
			s.request(now, in.From, out)
		}
	case m.ConfigRequest != nil:
		s.sendDocument(in.From, m.ConfigRequest.DocumentVersion, out)
	case m.ConfigDocument != nil:
		s.documentFromPeer(now, *m.ConfigDocument, out)
	}
}

func (s *System) request(now time.Duration, to state.NodeID, out *state.Outbox) {
	s.fetch.next, s.fetch.last = now+fetchPeriod, to
	have := state.Version(0)
	if s.t.Config.Loaded {
		have = s.t.Config.Head.DocumentVersion
	}
	out.Add(state.SendPeer{To: to, Message: state.Message{ConfigRequest: &state.ConfigRequest{DocumentVersion: have}}})
}

func (s *System) sendDocument(to state.NodeID, have state.Version, out *state.Outbox) {
	c := &s.t.Config
	if !c.Loaded {
		return
	}
	answer := &state.ConfigDocument{Head: c.Head, PreviousNodes: c.PreviousNodes}
	if have != c.Head.DocumentVersion {
		doc := c.Document
		answer.Document = &doc
	}
	out.Add(state.SendPeer{To: to, Message: state.Message{ConfigDocument: answer}})
}

// documentFromPeer takes a copy from a peer. The copy is a committed version,
// and no evidence that there is no later one.
func (s *System) documentFromPeer(now time.Duration, m state.ConfigDocument, out *state.Outbox) {
	c := &s.t.Config
	if m.Document == nil && (!c.Loaded || m.Head.DocumentVersion != c.Head.DocumentVersion) {
		return
	}
	s.adopt(now, m.Head, m.Document, out)
}

// fetchFromPeer asks the next peer that knows a later version, in turn, so that
// one that does not answer holds nothing up.
func (s *System) fetchFromPeer(now time.Duration, out *state.Outbox) {
	c := &s.t.Config
	behind := !c.Loaded || s.fetch.behind
	if now < s.fetch.next || !behind {
		return
	}
	var first, next state.NodeID
	for id, p := range s.t.Peers.All() {
		if !p.Linked || c.Loaded && p.Version <= c.Head.Version {
			continue
		}
		if first == "" {
			first = id
		}
		if next == "" && id > s.fetch.last {
			next = id
		}
	}
	if next == "" {
		next = first
	}
	s.fetch.behind = first != ""
	if next != "" {
		s.request(now, next, out)
	}
}
