// Package placement forms and repairs replica groups and orders engines to load
// what they serve. In each data centre one node at a time does this: the holder
// of the placement lease.
package placement

import (
	"slices"
	"strings"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

const systemName = "placement"

// System is the placement system. It reads Config, Hosts, Requests, Targets and
// the health columns of Groups. It writes Leases, the assignment columns of
// Hosts and the row columns of Groups.
type System struct {
	tables *state.Tables

	configVersion   state.Version
	documentVersion state.Version
	configLoaded    bool
	specs           map[state.GroupID]*state.GroupSpec
	models          map[string]*state.ModelSpec
	weightRates     map[state.DataCentre]int64

	dataCentres   map[state.DataCentre]*dataCentre
	dataCentreIDs []state.DataCentre

	groups       map[state.GroupID]*group
	groupIDs     []state.GroupID
	hosts        map[state.HostID]*host
	changedHosts *state.DirtySet[state.HostID]

	leaseScan   scan
	groupScan   scan
	hostScan    scan
	lastOrderID uint64
	// groupsRead is set once a scan of the group rows has succeeded.
	groupsRead         bool
	nextGroupRequestAt time.Duration
}

// New returns the placement system for the given tables.
func New(t *state.Tables) *System {
	return &System{
		tables: t, changedHosts: t.Hosts.Subscribe(),
		specs:       map[state.GroupID]*state.GroupSpec{},
		models:      map[string]*state.ModelSpec{},
		weightRates: map[state.DataCentre]int64{},
		dataCentres: map[state.DataCentre]*dataCentre{},
		groups:      map[state.GroupID]*group{},
		hosts:       map[state.HostID]*host{},

		leaseScan: scan{prefix: state.PrefixLease},
		groupScan: scan{prefix: state.PrefixGroup},
		hostScan:  scan{prefix: state.PrefixHost},
	}
}

// Step implements state.System.
func (s *System) Step(now time.Duration, in state.Input, out *state.Outbox) {
	s.applyHostChanges()
	switch in := in.(type) {
	case state.Tick:
		s.tick(now, out)
	case state.StoreReply:
		if s.tables.OwnsReply(systemName, in) {
			s.handleStoreReply(now, in, out)
		}
	case state.PeerMessage:
		if n := in.Message.GroupNotice; n != nil {
			s.handleGroupNotice(now, in.From, n, out)
		}
		if in.Message.GroupRequest != nil {
			s.sendGroupRows(in.From, out)
		}
	case state.ProbeResult:
		s.handleProbeResult(in)
	case state.EngineOrderResult:
		s.handleOrderResult(now, in, out)
	}
}

func (s *System) tick(now time.Duration, out *state.Outbox) {
	if !s.tables.Config.Loaded {
		return
	}
	s.applyConfig()
	s.startDueScans(now, out)
	for _, dc := range s.dataCentreIDs {
		c := s.dataCentres[dc]
		s.stepLease(now, c, out)
		s.stepHolder(now, c, out)
	}
}

// stepHolder plans changes and sends engine orders if this node holds the lease
// of the data centre and has read the group and host rows in its term.
func (s *System) stepHolder(now time.Duration, c *dataCentre, out *state.Outbox) {
	if !c.isHolder(now) || s.tables.Draining || !c.term.groupsRead || !c.term.hostsRead {
		return
	}
	s.planIfDue(now, c, out)
	s.sendOrdersIfDue(now, c, out)
}

// applyConfig rebuilds the lookup tables when the version of the configuration
// or its document has changed.
func (s *System) applyConfig() {
	cfg := &s.tables.Config
	if s.configLoaded && s.configVersion == cfg.Head.Version && s.documentVersion == cfg.Head.DocumentVersion {
		return
	}
	s.configLoaded, s.configVersion, s.documentVersion = true, cfg.Head.Version, cfg.Head.DocumentVersion
	clear(s.specs)
	clear(s.models)
	clear(s.weightRates)
	for i := range cfg.Document.Groups {
		spec := &cfg.Document.Groups[i]
		s.specs[spec.Name] = spec
		s.dataCentre(spec.DataCentre)
	}
	for i := range cfg.Document.Models {
		s.models[cfg.Document.Models[i].Name] = &cfg.Document.Models[i]
	}
	for _, dc := range cfg.Document.DataCentres {
		s.weightRates[dc.Name] = dc.WeightStoreRate
		s.dataCentre(dc.Name)
	}
	s.rankCandidates()
}

// dataCentre returns the data centre with the given name and adds it if it is
// new. It returns nil for an empty name.
func (s *System) dataCentre(dc state.DataCentre) *dataCentre {
	if c := s.dataCentres[dc]; c != nil || dc == "" {
		return c
	}
	c := newDataCentre(dc)
	s.dataCentres[dc] = c
	i, _ := slices.BinarySearch(s.dataCentreIDs, dc)
	s.dataCentreIDs = slices.Insert(s.dataCentreIDs, i, dc)
	for id, h := range s.tables.Hosts.All() {
		if h.DataCentre == dc {
			c.hosts = append(c.hosts, id)
		}
	}
	return c
}

// applyHostChanges moves hosts between the lists of the data centres when their
// rows have changed.
func (s *System) applyHostChanges() {
	for _, id := range s.changedHosts.Take() {
		row := s.tables.Hosts.Get(id)
		if row == nil {
			continue
		}
		h := s.host(id)
		if h.dataCentre != row.DataCentre {
			if c := s.dataCentres[h.dataCentre]; c != nil {
				c.hosts = slices.DeleteFunc(c.hosts, func(o state.HostID) bool { return o == id })
			}
			h.dataCentre = row.DataCentre
			if c := s.dataCentres[h.dataCentre]; c != nil && !slices.Contains(c.hosts, id) {
				i, _ := slices.BinarySearch(c.hosts, id)
				c.hosts = slices.Insert(c.hosts, i, id)
			}
		}
		s.publishAssignment(h)
	}
}

// handleStoreReply passes a store reply to the scan or the data centre that
// sent the request.
func (s *System) handleStoreReply(now time.Duration, reply state.StoreReply, out *state.Outbox) {
	for _, sc := range []*scan{&s.leaseScan, &s.groupScan, &s.hostScan} {
		if sc.requestID == reply.ID && reply.ID != 0 {
			sc.requestID = 0
			if reply.Result != state.StoreOK {
				// The holder cannot act without the rows, so a failed scan is
				// repeated before the scan period ends.
				sc.nextAt = now + retryDelay
				s.requestGroupRows(now, out)
				return
			}
			s.completeScan(now, sc, reply.Rows, out)
			return
		}
	}
	for _, dc := range s.dataCentreIDs {
		c := s.dataCentres[dc]
		if c.call.kind != callNone && c.call.requestID == reply.ID {
			s.completeCall(now, c, reply, out)
			// Plan the next change now instead of at the next tick.
			s.stepHolder(now, c, out)
			return
		}
	}
}

func (s *System) host(id state.HostID) *host {
	h := s.hosts[id]
	if h == nil {
		h = &host{id: id, probeOKAt: never, probeFailedAt: never, probeSentAt: never}
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

func groupIDFromKey(key string) state.GroupID {
	return state.GroupID(strings.TrimPrefix(key, state.PrefixGroup))
}

func hostIDFromKey(key string) state.HostID {
	return state.HostID(strings.TrimPrefix(key, state.PrefixHost))
}
