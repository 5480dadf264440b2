package configuration

import (
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// fetchPeriod is the interval between two requests for a version that a peer has
// and this node lacks.
const fetchPeriod = 250 * time.Millisecond

// peerFetcher is the state of fetching the configuration from peers.
type peerFetcher struct {
	nextRequestAt time.Duration
	// lastPeer is the peer that received the last request.
	lastPeer state.NodeID
	// behind is set when a peer has reported a later version.
	behind bool
}

func (s *System) handlePeerMessage(now time.Duration, in state.PeerMessage, out *state.Outbox) {
	message := in.Message
	switch {
	case message.ConfigNotice != nil:
		if message.ConfigNotice.Version > s.tables.Config.Head.Version {
			s.requestConfig(now, in.From, out)
		}
	case message.ConfigRequest != nil:
		s.sendDocument(in.From, message.ConfigRequest.DocumentVersion, out)
	case message.ConfigDocument != nil:
		s.handleDocument(now, *message.ConfigDocument, out)
	}
}

// requestConfig requests the copy of a peer, without the document if this node has
// the same one.
func (s *System) requestConfig(now time.Duration, to state.NodeID, out *state.Outbox) {
	s.fetcher.nextRequestAt, s.fetcher.lastPeer = now+fetchPeriod, to
	documentVersion := state.Version(0)
	if s.tables.Config.Loaded {
		documentVersion = s.tables.Config.Head.DocumentVersion
	}
	out.Add(state.SendPeer{To: to, Message: state.Message{ConfigRequest: &state.ConfigRequest{DocumentVersion: documentVersion}}})
}

// sendDocument sends this node's copy to a peer, without the document if the peer
// has the same one.
func (s *System) sendDocument(to state.NodeID, documentVersion state.Version, out *state.Outbox) {
	config := &s.tables.Config
	if !config.Loaded {
		return
	}
	answer := &state.ConfigDocument{Head: config.Head, PreviousNodes: config.PreviousNodes}
	if documentVersion != config.Head.DocumentVersion {
		doc := config.Document
		answer.Document = &doc
	}
	out.Add(state.SendPeer{To: to, Message: state.Message{ConfigDocument: answer}})
}

// handleDocument adopts a peer's copy. The copy is a committed version, but no
// evidence that there is no later one.
func (s *System) handleDocument(now time.Duration, message state.ConfigDocument, out *state.Outbox) {
	config := &s.tables.Config
	if message.Document == nil && (!config.Loaded || message.Head.DocumentVersion != config.Head.DocumentVersion) {
		return
	}
	s.adoptVersion(now, message.Head, message.Document, out)
}

// fetchFromPeer requests the configuration from the peers with a later version in
// turn, so that one unresponsive peer does not block the fetch.
func (s *System) fetchFromPeer(now time.Duration, out *state.Outbox) {
	config := &s.tables.Config
	behind := !config.Loaded || s.fetcher.behind
	if now < s.fetcher.nextRequestAt || !behind {
		return
	}
	var firstPeer, nextPeer state.NodeID
	for id, peer := range s.tables.Peers.All() {
		if !peer.Linked || config.Loaded && peer.Version <= config.Head.Version {
			continue
		}
		if firstPeer == "" {
			firstPeer = id
		}
		if nextPeer == "" && id > s.fetcher.lastPeer {
			nextPeer = id
		}
	}
	if nextPeer == "" {
		nextPeer = firstPeer
	}
	s.fetcher.behind = firstPeer != ""
	if nextPeer != "" {
		s.requestConfig(now, nextPeer, out)
	}
}
