// Package placement forms and repairs replica groups and orders engines to load
// what they serve. One node at a time does so for a data centre: the holder of
// the data centre's placement lease.
package placement

import (
	"slices"
	"strings"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

const name = "placement"

// System reads Config, Hosts, Requests, Targets and the verdict columns of
// Groups; it writes Leases, the assignment columns of Hosts and the row columns
// of Groups.
type System struct {
	t *state.Tables

	version  state.Version
	document state.Version
	known    bool
	specs    map[state.GroupID]*state.GroupSpec
	models   map[string]*state.ModelSpec
	rates    map[state.DataCentre]int64

	centres map[state.DataCentre]*centre
	dcs     []state.DataCentre

	groups   map[state.GroupID]*group
	groupIDs []state.GroupID
	hosts    map[state.HostID]*host
	listed   *state.DirtySet[state.HostID]

	leaseScan scan
	groupScan scan
	hostScan  scan
	lastOrder uint64
	// groupsRead is set once a scan of the group rows has succeeded.
	groupsRead bool
	nextAsk    time.Duration
}

// New returns the placement system.
func New(t *state.Tables) *System {
	return &System{
		t: t, listed: t.Hosts.Subscribe(),
		specs:   map[state.GroupID]*state.GroupSpec{},
		models:  map[string]*state.ModelSpec{},
		rates:   map[state.DataCentre]int64{},
		centres: map[state.DataCentre]*centre{},
		groups:  map[state.GroupID]*group{},
		hosts:   map[state.HostID]*host{},

		leaseScan: scan{prefix: state.PrefixLease},
		groupScan: scan{prefix: state.PrefixGroup},
		hostScan:  scan{prefix: state.PrefixHost},
	}
}

// Step implements state.System.
func (s *System) Step(now time.Duration, in state.Input, out *state.Outbox) {
	s.readHosts()
	switch in := in.(type) {
	case state.Tick:
		s.tick(now, out)
	case state.StoreReply:
		if s.t.OwnsReply(name, in) {
			s.replied(now, in, out)
		}
	case state.PeerMessage:
		if n := in.Message.GroupNotice; n != nil {
			s.noticed(now, in.From, n, out)
		}
		if in.Message.GroupRequest != nil {
			s.answerPeer(in.From, out)
		}
	case state.ProbeResult:
		s.probed(in)
	case state.EngineOrderResult:
		s.ordered(now, in, out)
	}
}

func (s *System) tick(now time.Duration, out *state.Outbox) {
	if !s.t.Config.Loaded {
		return
	}
	s.readConfig()
	s.scanAll(now, out)
	for _, dc := range s.dcs {
		c := s.centres[dc]
		s.stepLease(now, c, out)
		s.act(now, c, out)
	}
}

// act does the work of the holder of a lease.
func (s *System) act(now time.Duration, c *centre, out *state.Outbox) {
	if !c.held(now) || s.t.Draining || !c.tenure.groupsRead || !c.tenure.hostsRead {
		return
	}
	s.planIfDue(now, c, out)
	s.orderIfDue(now, c, out)
}

// readConfig takes over a new version of the configuration.
func (s *System) readConfig() {
	cfg := &s.t.Config
	if s.known && s.version == cfg.Head.Version && s.document == cfg.Head.DocumentVersion {
		return
	}
	s.known, s.version, s.document = true, cfg.Head.Version, cfg.Head.DocumentVersion
	clear(s.specs)
	clear(s.models)
	clear(s.rates)
	for i := range cfg.Document.Groups {
		spec := &cfg.Document.Groups[i]
		s.specs[spec.Name] = spec
		s.centre(spec.DataCentre)
	}
	for i := range cfg.Document.Models {
		s.models[cfg.Document.Models[i].Name] = &cfg.Document.Models[i]
	}
	for _, dc := range cfg.Document.DataCentres {
		s.rates[dc.Name] = dc.WeightStoreRate
		s.centre(dc.Name)
	}
	s.rankCandidates()
}

// centre returns the data centre of a name and adds it when it is new.
func (s *System) centre(dc state.DataCentre) *centre {
	if c := s.centres[dc]; c != nil || dc == "" {
		return c
	}
	c := newCentre(dc)
	s.centres[dc] = c
	i, _ := slices.BinarySearch(s.dcs, dc)
	s.dcs = slices.Insert(s.dcs, i, dc)
	for id, h := range s.t.Hosts.All() {
		if h.DataCentre == dc {
			c.hosts = append(c.hosts, id)
		}
	}
	return c
}

// readHosts takes over what the platform's list says of hosts.
func (s *System) readHosts() {
	for _, id := range s.listed.Take() {
		row := s.t.Hosts.Get(id)
		if row == nil {
			continue
		}
		h := s.host(id)
		if h.dc != row.DataCentre {
			if c := s.centres[h.dc]; c != nil {
				c.hosts = slices.DeleteFunc(c.hosts, func(o state.HostID) bool { return o == id })
			}
			h.dc = row.DataCentre
			if c := s.centres[h.dc]; c != nil && !slices.Contains(c.hosts, id) {
				i, _ := slices.BinarySearch(c.hosts, id)
				c.hosts = slices.Insert(c.hosts, i, id)
			}
		}
		s.showHost(h)
	}
}

// replied routes a store reply to the scan or the centre that waits for it.
func (s *System) replied(now time.Duration, reply state.StoreReply, out *state.Outbox) {
	for _, sc := range []*scan{&s.leaseScan, &s.groupScan, &s.hostScan} {
		if sc.id == reply.ID && reply.ID != 0 {
			sc.id = 0
			if reply.Result != state.StoreOK {
				// A holder can do nothing without the rows, so that it does not
				// wait for the period.
				sc.next = now + retryDelay
				s.askPeer(now, out)
				return
			}
			s.scanned(now, sc, reply.Rows, out)
			return
		}
	}
	for _, dc := range s.dcs {
		c := s.centres[dc]
		if c.call.kind != callNone && c.call.id == reply.ID {
			s.callReplied(now, c, reply, out)
			// The next change need not wait for a tick.
			s.act(now, c, out)
			return
		}
	}
}

func (s *System) host(id state.HostID) *host {
	h := s.hosts[id]
	if h == nil {
		h = &host{id: id, okAt: never, failedAt: never, probeSent: never}
		s.hosts[id] = h
	}
	return h
}

func (s *System) group(id state.GroupID) *group {
	g := s.groups[id]
	if g == nil {
		g = &group{id: id}
		s.groups[id] = g
		i, _ := slices.BinarySearch(s.groupIDs, id)
		s.groupIDs = slices.Insert(s.groupIDs, i, id)
	}
	return g
}

func groupOfKey(key string) state.GroupID {
	return state.GroupID(strings.TrimPrefix(key, state.PrefixGroup))
}

func hostOfKey(key string) state.HostID {
	return state.HostID(strings.TrimPrefix(key, state.PrefixHost))
}
