package configuration

import (
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// handlePeerChanges applies what peers have reported since the last step: their
// versions, evidence, accepted versions and reachability. It then checks whether a
// majority confirms the copy.
func (s *System) handlePeerChanges(now time.Duration, changed []state.NodeID) {
	for _, id := range changed {
		peer := s.tables.Peers.Get(id)
		s.acceptance.recordPeer(now, id, peer)
		s.updateUnreachable(id, peer)
		if peer == nil {
			continue
		}
		config := &s.tables.Config
		// An acceptance is never revoked, so the report of any node is sufficient.
		config.AcceptedVersion = max(config.AcceptedVersion, peer.AcceptedVersion)
		s.fetcher.behind = s.fetcher.behind || peer.Version > config.Head.Version
		if config.Loaded && peer.Version <= config.Head.Version && peer.EvidenceAt >= 0 {
			s.recordEvidence(peer.EvidenceAt)
		}
	}
	s.checkMajority(now)
}

// checkMajority marks the copy as synced and records evidence if a majority confirms
// the copy.
func (s *System) checkMajority(now time.Duration) {
	if at, ok := s.majorityConfirmedAt(now); ok {
		s.tables.Config.Synced = true
		s.recordEvidence(at)
	}
}

// majorityConfirmedAt returns the latest time at or after which each node of a
// majority of the registry was polled and reported no version newer than the copy.
// A node that is not synced does not count itself, because it may have had a newer
// version before it restarted.
func (s *System) majorityConfirmedAt(now time.Duration) (time.Duration, bool) {
	config := &s.tables.Config
	if !config.Loaded || len(config.Head.Nodes) == 0 {
		return 0, false
	}
	s.confirmationTimes = s.confirmationTimes[:0]
	for _, n := range config.Head.Nodes {
		if n.ID == s.tables.Self.ID {
			if config.Synced {
				s.confirmationTimes = append(s.confirmationTimes, now)
			}
			continue
		}
		peer := s.tables.Peers.Get(n.ID)
		if peer != nil && peer.Synced && peer.Version <= config.Head.Version && peer.Version > 0 {
			s.confirmationTimes = append(s.confirmationTimes, peer.VersionAt)
		}
	}
	majoritySize := len(config.Head.Nodes)/2 + 1
	if len(s.confirmationTimes) < majoritySize {
		return 0, false
	}
	slices.Sort(s.confirmationTimes)
	return s.confirmationTimes[len(s.confirmationTimes)-majoritySize], true
}
