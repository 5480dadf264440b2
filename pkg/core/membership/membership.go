// Package membership determines which entry daemons, hosts and replica group
// members are alive. Nodes poll one another. The watchers of a group probe its
// members; the other nodes use the watchers' health reports with their age.
package membership

import (
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

const (
	// hostListPeriod is the interval between two reads of the platform's host list.
	hostListPeriod = time.Second
	// MaxHealthEvidenceAge is the age from which the evidence behind a health report no
	// longer counts.
	MaxHealthEvidenceAge = 1500 * time.Millisecond
)

// System reads Config, Draining, the stored columns of Groups and the counts in
// flight of Targets and Accounts. It writes Peers, the listed and probed columns
// of Hosts and the health columns of Groups.
type System struct {
	tables         *state.Tables
	nextHostListAt time.Duration
	poller         poller
	changeLog      changeLog
	tracker        groupTracker
	prober         prober
}

// New returns the membership system.
func New(t *state.Tables) *System {
	s := &System{tables: t}
	s.poller.init(t)
	s.changeLog.init(t)
	s.tracker.init(t)
	s.prober.init()
	return s
}

// Step implements state.System.
func (s *System) Step(now time.Duration, in state.Input, out *state.Outbox) {
	s.updateRegistry(now, out)
	s.applyGroupChanges(now)
	switch in := in.(type) {
	case state.Tick:
		s.handleTick(now, out)
	case state.PeerLinkChanged:
		s.handlePeerLink(now, in, out)
	case state.PeerMessage:
		s.handlePeerMessage(now, in, out)
	case state.HostList:
		s.handleHostList(now, in)
	case state.ProbeResult:
		s.handleProbeResult(now, in, out)
	}
	s.reassignWatchers(now, out)
	s.changeLog.collectCounts(s.tables)
}

func (s *System) handleTick(now time.Duration, out *state.Outbox) {
	if now >= s.nextHostListAt {
		s.nextHostListAt = now + hostListPeriod
		out.Add(state.FetchHosts{})
	}
	s.updateEligibility(now)
	s.checkUnansweredPeers(now, out)
	s.pollPeers(now, out)
	s.sendDueProbes(now, out)
	s.reevaluateDueGroups(now, out)
}

// handleHostList applies the platform's host list. A host that is missing from
// the list keeps its row and is no longer Listed.
func (s *System) handleHostList(now time.Duration, list state.HostList) {
	present := make(map[state.HostID]bool, len(list.Hosts))
	for _, h := range list.Hosts {
		present[h.ID] = true
		old := s.tables.Hosts.Get(h.ID)
		row := old
		if row == nil {
			row = &state.Host{ID: h.ID}
		} else if row.Listed && row.Address == h.Address && row.DataCentre == h.DataCentre &&
			row.Domain == h.Domain && row.Leaving == h.Leaving {
			continue
		}
		row.Address, row.DataCentre, row.Domain = h.Address, h.DataCentre, h.Domain
		row.Listed, row.Leaving = true, h.Leaving
		s.tables.Hosts.Put(h.ID, row)
		s.scheduleProbe(now, h.ID)
	}
	for id, row := range s.tables.Hosts.All() {
		if row.Listed && !present[id] {
			row.Listed = false
			s.tables.Hosts.Touch(id)
		}
	}
}
