// Package inventory keeps what a node knows where the platform holds the
// configuration and lists the targets: the configuration in force, the
// registered instances, the other nodes and the age of all that.
package inventory

import (
	"log/slog"
	"slices"
	"strings"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

const (
	// name is this system's name for replies of the store.
	name = "inventory"
	// registerPeriod bounds how often a node tries to register itself.
	registerPeriod = time.Second
	// returnTime is how long after an outage of the store an instance whose entry
	// lapsed meanwhile may take to come back. The platform gives 2 s.
	returnTime = 2 * time.Second
	// outageTime is how long before a removal a failed call makes it one of an
	// outage.
	outageTime = 2 * time.Second
	// relayDelay is how long a peer may be ahead before this node asks it for its
	// table. Rows are passed on at once unless a link failed.
	relayDelay = 250 * time.Millisecond
	// relayPeriod bounds how often peers are asked for one table.
	relayPeriod = 300 * time.Millisecond
	// heardFor is how long a peer's last bulletin holds. It is ten periods, and
	// below the time for which cut-off nodes may go on.
	heardFor = time.Second
	// evidenceFor is the age of a peer's last answer of the store up to which this
	// node relies on it. The feed answers after 1 s at the latest, so that its last
	// answer was sent for up to 2 s ago.
	evidenceFor = 2400 * time.Millisecond
	// isolatedAfter is the age of the last answer of the store after which a node
	// that hears no peer takes no new work.
	isolatedAfter = 3 * time.Second
	// forgetAfter is how long a node is not heard before the holder of the
	// formation lease drops its registration. A restart takes less.
	forgetAfter = 10 * time.Second
	// stalledFor is how long a peer's word on a stalled target holds.
	stalledFor = 400 * time.Millisecond
)

// System writes Managed, except what other systems write there, and Config as
// far as the lifecycle system reads it.
type System struct {
	t *state.Tables
	m *state.ManagedState

	// missing holds the instances whose entries lapsed in an outage of the store.
	missing *state.DueQueue[state.HostID]
	failing bool
	// outage is the last verdict of findOutage.
	outage      bool
	nextBeat    time.Duration
	nextAlive   time.Duration
	nextAsk     [3]time.Duration
	aheadSince  [3]time.Duration
	registerAt  time.Duration
	registering uint64
	linked      map[state.NodeID]bool
	// bulletins holds the last one of each linked peer.
	bulletins map[state.NodeID]*state.PeerStatus
	// alive dates when a node was last heard by this node or by one that said so.
	alive map[state.NodeID]time.Duration
	peers []state.NodeEntry
	// hubs is the set of nodes that pass bulletins and rows on; nil where all
	// nodes are linked with each other.
	hubs map[state.NodeID]bool
	// sent are the counts in this node's last bulletin to its hub.
	sent      []state.TargetLoad
	following state.WatchTables
	started   bool
}

// New returns the inventory system.
func New(t *state.Tables) *System {
	return &System{
		t: t, m: t.Managed, missing: state.NewDueQueue[state.HostID](),
		linked: map[state.NodeID]bool{}, bulletins: map[state.NodeID]*state.PeerStatus{},
		alive: map[state.NodeID]time.Duration{},
	}
}

// Step implements state.System.
func (s *System) Step(now time.Duration, in state.Input, out *state.Outbox) {
	switch in := in.(type) {
	case state.TableUpdate:
		s.seen(now, in, out)
	case state.PeerLinkChanged:
		s.link(now, in, out)
	case state.PeerMessage:
		s.message(now, in, out)
	case state.HostReport:
		s.reported(now, in, out)
	case state.StoreReply:
		if s.t.OwnsReply(name, in) && in.ID == s.registering {
			s.registering = 0
		}
	case state.OperatorCommand:
		out.Add(state.OperatorReply{ID: in.ID, Error: apierror.New(apierror.KindConflict, "platform_holds_configuration",
			"the platform holds the configuration; change it there", apierror.NotRun)})
	case state.Tick:
		s.tick(now, out)
	}
}

// seen takes what a call to the store told.
func (s *System) seen(now time.Duration, in state.TableUpdate, out *state.Outbox) {
	view := &s.m.Tables[in.Table]
	if in.Failed {
		view.FailedAt = now
		s.failing = true
		return
	}
	view.AnsweredAt = max(view.AnsweredAt, in.SentAt)
	defer s.judge(now, out)
	if in.Table == state.InstanceTable && s.failing {
		s.failing, s.m.StoreRecoveredAt = false, now
	}
	since := view.Revision
	s.apply(now, in, out)
	if len(in.Rows) > 0 && !in.Snapshot {
		s.passOn(in, since, "", out)
	}
}

// apply takes rows, each in its newest revision only.
func (s *System) apply(now time.Duration, in state.TableUpdate, out *state.Outbox) {
	view := &s.m.Tables[in.Table]
	if in.Snapshot && view.Loaded && in.Revision < view.Revision {
		return
	}
	revision := view.Revision
	present := map[string]bool{}
	for i := range in.Rows {
		row := &in.Rows[i]
		present[row.Key] = !row.Removed
		revision = max(revision, row.Revision)
		s.applyRow(now, in.Table, row, out)
	}
	if in.Snapshot {
		// The revision stays that of the newest row: the store's own counts writes
		// of other tables too, and would let this node look ahead of its peers.
		s.dropAbsent(now, in.Table, present, out)
	}
	view.Revision, view.Loaded = revision, view.Loaded || in.Snapshot
	if in.Table == state.NodeTable && len(in.Rows) > 0 {
		s.setPeers(out)
	}
}

func (s *System) applyRow(now time.Duration, table state.TableKind, row *state.RowUpdate, out *state.Outbox) {
	switch {
	case row.Removed:
		s.remove(now, table, row.Key, row.Revision, out)
	case row.PlatformConfig != nil:
		s.catalogue(now, row.PlatformConfig, out)
	case row.Evacuated != "":
		s.evacuate(row.Evacuated, true, out)
	case row.Instance != nil:
		s.instance(now, row.Instance)
	case row.Node != nil:
		id := row.Node.Entry.ID
		if old := s.m.Nodes.Get(id); old == nil || old.Revision < row.Node.Revision {
			s.m.Nodes.Put(id, row.Node)
		}
	case row.Lease != nil:
		if l := &s.m.Lease; row.Revision > l.Revision {
			*l = state.FormationLease{Row: *row.Lease, Revision: row.Revision, RenewalSeenAt: now}
		}
	}
}

// catalogue takes a configuration. Versions only grow in the life of a process.
func (s *System) catalogue(now time.Duration, c *state.PlatformConfig, out *state.Outbox) {
	if old := s.m.PlatformConfig; old != nil && c.Version <= old.Version {
		return
	}
	s.m.PlatformConfig = c
	s.m.TargetInputsVersion++
	out.Log(event.PlatformConfigLoaded, slog.Uint64("version", c.Version), slog.Int("routes", len(c.Routes)),
		slog.Duration("evidence_age", now-s.m.Tables[state.OperatorTable].AnsweredAt))
}

func (s *System) evacuate(dc state.DataCentre, on bool, out *state.Outbox) {
	if s.m.Evacuated[dc] == on {
		return
	}
	if on {
		s.m.Evacuated[dc] = true
	} else {
		delete(s.m.Evacuated, dc)
	}
	s.m.TargetInputsVersion++
	out.Log(event.EvacuationChanged, slog.String("data_centre", string(dc)), slog.Bool("evacuated", on))
}

func (s *System) instance(now time.Duration, row *state.Instance) {
	if old := s.m.Instances.Get(row.ID); old != nil && old.Revision >= row.Revision {
		return
	}
	row.RevisionSeenAt = now
	s.missing.Cancel(row.ID)
	s.m.Instances.Put(row.ID, row)
	s.m.TargetInputsVersion++
}

func (s *System) dropAbsent(now time.Duration, table state.TableKind, present map[string]bool, out *state.Outbox) {
	switch table {
	case state.OperatorTable:
		for dc := range s.m.Evacuated {
			if !present[evacuationKey(dc)] {
				s.evacuate(dc, false, out)
			}
		}
	case state.InstanceTable:
		for _, id := range slices.Clone(s.m.Instances.Keys()) {
			if !present[string(id)] {
				s.removeInstance(now, id)
			}
		}
	case state.NodeTable:
		for _, id := range slices.Clone(s.m.Nodes.Keys()) {
			if !present[state.PrefixNode+string(id)] {
				s.m.Nodes.Delete(id)
			}
		}
		s.setPeers(out)
	}
}

func evacuationKey(dc state.DataCentre) string { return state.PrefixEvacuated + string(dc) }

func (s *System) remove(now time.Duration, table state.TableKind, key string, revision uint64, out *state.Outbox) {
	switch table {
	case state.OperatorTable:
		if dc, ok := strings.CutPrefix(key, state.PrefixEvacuated); ok {
			s.evacuate(state.DataCentre(dc), false, out)
		}
	case state.InstanceTable:
		if old := s.m.Instances.Get(state.HostID(key)); old != nil && old.Revision <= revision {
			s.removeInstance(now, old.ID)
		}
	case state.NodeTable:
		if id, ok := strings.CutPrefix(key, state.PrefixNode); ok {
			s.m.Nodes.Delete(state.NodeID(id))
		}
	}
}

// removeInstance drops an instance. One whose entry lapsed in an outage of the
// store has a time to come back, since it could not renew it.
func (s *System) removeInstance(now time.Duration, id state.HostID) {
	since := max(s.m.StoreRecoveredAt, s.m.Tables[state.InstanceTable].FailedAt)
	if since >= 0 && now-since < outageTime {
		if !s.missing.Has(id) {
			s.missing.Schedule(id, since+returnTime)
		}
		return
	}
	s.m.Instances.Delete(id)
	s.m.TargetInputsVersion++
}

func (s *System) tick(now time.Duration, out *state.Outbox) {
	for id, ok := s.missing.Pop(now); ok; id, ok = s.missing.Pop(now) {
		s.m.Instances.Delete(id)
		s.m.TargetInputsVersion++
	}
	s.register(now, out)
	s.findOutage(now, out)
	s.m.ShouldReleaseLease = s.yieldsLease(now)
	s.judge(now, out)
	s.follow(now, out)
	if now >= s.nextBeat {
		s.nextBeat = now + state.PeerStatusPeriod
		s.bulletin(now, out)
		s.askPeers(now, out)
		s.forget(now, out)
	}
}

// judge says whether this node may take new work. A node that is cut off from
// the store and from all peers cannot learn of changes that others have seen.
// Where peers are heard, a change that any of them knows comes from there, and
// one that none knows cannot have been accepted while nobody reached the store.
func (s *System) judge(now time.Duration, out *state.Outbox) {
	c := &s.t.Config
	seen := s.m.Tables[state.OperatorTable].AnsweredAt
	isolated := now-seen > isolatedAfter && !s.hearsPeer(now) && s.m.Nodes.Len() > 1
	c.Loaded = s.m.PlatformConfig != nil
	c.Synced = c.Loaded
	fresh := c.Loaded && s.m.Tables[state.InstanceTable].Loaded && !isolated
	if fresh == c.Fresh {
		return
	}
	c.Fresh = fresh
	if fresh {
		out.Log(event.NodeConnected, slog.Duration("evidence_age", now-seen))
	} else {
		out.Log(event.NodeIsolated, slog.Duration("evidence_age", now-seen))
	}
}

func (s *System) hearsPeer(now time.Duration) bool {
	for _, at := range s.m.PeerStatusAt {
		if now-at < heardFor {
			return true
		}
	}
	return false
}
