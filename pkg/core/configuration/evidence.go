package configuration

import (
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// peersChanged takes what peers reported since the last step: their evidence,
// their part in a majority, and their versions.
func (s *System) peersChanged(now time.Duration, changed []state.NodeID) {
	for _, id := range changed {
		p := s.t.Peers.Get(id)
		s.spread.report(now, id, p)
		s.noteUnreachable(id, p)
		if p == nil {
			continue
		}
		c := &s.t.Config
		// An acceptance is a fact that lasts, so that any node's word on it is
		// as good as this node's own.
		c.AcceptedVersion = max(c.AcceptedVersion, p.AcceptedVersion)
		s.fetch.behind = s.fetch.behind || p.Version > c.Head.Version
		if c.Loaded && p.Version <= c.Head.Version && p.EvidenceAt >= 0 {
			s.evidence(p.EvidenceAt)
		}
	}
	s.askMajority(now)
}

func (s *System) askMajority(now time.Duration) {
	if at, ok := s.majorityAt(now); ok {
		s.t.Config.Synced = true
		s.evidence(at)
	}
}

// majorityAt returns the time since which a majority of the registered nodes
// has been asked and has known no version newer than this node's. A node that
// has not caught up does not count itself: it may have known a newer version
// before it restarted.
func (s *System) majorityAt(now time.Duration) (time.Duration, bool) {
	c := &s.t.Config
	if !c.Loaded || len(c.Head.Nodes) == 0 {
		return 0, false
	}
	s.majority = s.majority[:0]
	for _, n := range c.Head.Nodes {
		if n.ID == s.t.Self.ID {
			if c.Synced {
				s.majority = append(s.majority, now)
			}
			continue
		}
		p := s.t.Peers.Get(n.ID)
		if p != nil && p.Synced && p.Version <= c.Head.Version && p.Version > 0 {
			s.majority = append(s.majority, p.VersionAt)
		}
	}
	need := len(c.Head.Nodes)/2 + 1
	if len(s.majority) < need {
		return 0, false
	}
	slices.Sort(s.majority)
	return s.majority[len(s.majority)-need], true
}
