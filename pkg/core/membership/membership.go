// Package membership knows which entry daemons, hosts and replica group members
// are alive. Nodes poll one another; each group is probed by its watchers, and
// the other nodes take the watchers' verdicts with their age.
package membership

import (
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

const (
	// listPeriod is the period of reads of the platform's list of hosts.
	listPeriod = time.Second
	// VerdictFor is how long the evidence behind a verdict lasts.
	VerdictFor = 1500 * time.Millisecond
)

// System reads Config, Draining and the row columns of Groups, and the
// counts in flight of Targets and Accounts. It writes Peers, the listed and
// probed columns of Hosts and the verdict columns of Groups.
type System struct {
	t        *state.Tables
	nextList time.Duration
	exchange exchange
	log      changeLog
	watch    watch
	prober   prober
}

// New returns the membership system.
func New(t *state.Tables) *System {
	s := &System{t: t}
	s.exchange.init(t)
	s.log.init(t)
	s.watch.init(t)
	s.prober.init()
	return s
}

// Step implements state.System.
func (s *System) Step(now time.Duration, in state.Input, out *state.Outbox) {
	s.followRegistry(now, out)
	s.followGroups(now)
	switch in := in.(type) {
	case state.Tick:
		s.tick(now, out)
	case state.PeerLinkChanged:
		s.peerLink(now, in, out)
	case state.PeerMessage:
		s.peerMessage(now, in, out)
	case state.HostList:
		s.listed(now, in)
	case state.ProbeResult:
		s.probed(now, in, out)
	}
	s.reassign(now, out)
	s.log.collect(s.t)
}

func (s *System) tick(now time.Duration, out *state.Outbox) {
	if now >= s.nextList {
		s.nextList = now + listPeriod
		out.Add(state.FetchHosts{})
	}
	s.settle(now)
	s.expireSilent(now, out)
	s.poll(now, out)
	s.probe(now, out)
	s.expireVerdicts(now, out)
}

func (s *System) listed(now time.Duration, list state.HostList) {
	present := make(map[state.HostID]bool, len(list.Hosts))
	for _, h := range list.Hosts {
		present[h.ID] = true
		old := s.t.Hosts.Get(h.ID)
		row := old
		if row == nil {
			row = &state.Host{ID: h.ID}
		} else if row.Listed && row.Address == h.Address && row.DataCentre == h.DataCentre &&
			row.Domain == h.Domain && row.Leaving == h.Leaving {
			continue
		}
		row.Address, row.DataCentre, row.Domain = h.Address, h.DataCentre, h.Domain
		row.Listed, row.Leaving = true, h.Leaving
		s.t.Hosts.Put(h.ID, row)
		s.startProbing(now, h.ID)
	}
	for id, row := range s.t.Hosts.All() {
		if row.Listed && !present[id] {
			row.Listed = false
			s.t.Hosts.Touch(id)
		}
	}
}
