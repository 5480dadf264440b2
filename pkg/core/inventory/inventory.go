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
	// systemName is this system's name for replies of the store.
	systemName = "inventory"
	// registerInterval bounds how often a node tries to register itself.
	registerInterval = time.Second
	// entryReturnTime is how long after an outage of the store an instance whose entry
	// lapsed meanwhile may take to come back. The platform gives 2 s.
	entryReturnTime = 2 * time.Second
	// outageRemovalWindow is how long before a removal a failed call makes it one of an
	// outage.
	outageRemovalWindow = 2 * time.Second
	// tableRequestDelay is how long a peer may be ahead before this node asks it for its
	// table. Rows are passed on at once unless a link failed.
	tableRequestDelay = 250 * time.Millisecond
	// tableRequestInterval bounds how often peers are asked for one table.
	tableRequestInterval = 300 * time.Millisecond
	// peerStatusTimeout is how long a peer's last bulletin holds. It is ten periods, and
	// below the time for which cut-off nodes may go on.
	peerStatusTimeout = time.Second
	// maxStoreReplyAge is the age of a peer's last answer of the store up to which this
	// node relies on it. The feed answers after 1 s at the latest, so that its last
	// answer was sent for up to 2 s ago.
	maxStoreReplyAge = 2400 * time.Millisecond
	// isolationTimeout is the age of the last answer of the store after which a node
	// that hears no peer takes no new work.
	isolationTimeout = 3 * time.Second
	// nodeRemovalTimeout is how long a node is not heard before the holder of the
	// formation lease drops its registration. A restart takes less.
	nodeRemovalTimeout = 10 * time.Second
	// peerStalledTimeout is how long a peer's word on a stalled target holds.
	peerStalledTimeout = 400 * time.Millisecond
)

// System writes Managed, except what other systems write there, and Config as
// far as the lifecycle system reads it.
type System struct {
	tables  *state.Tables
	managed *state.ManagedState

	// lapsedInstances holds the instances whose entries lapsed in an outage of the store.
	lapsedInstances *state.DueQueue[state.HostID]
	storeFailing    bool
	// inOutage is the last verdict of findOutage.
	inOutage            bool
	nextPeerStatusAt    time.Duration
	nextReachableListAt time.Duration
	nextTableRequestAt  [3]time.Duration
	peerAheadSince      [3]time.Duration
	nextRegisterAt      time.Duration
	registerCallID      uint64
	linkedPeers         map[state.NodeID]bool
	// peerStatuses holds the last one of each linked peer.
	peerStatuses map[state.NodeID]*state.PeerStatus
	// lastReachableAt dates when a node was last heard by this node or by one that said so.
	lastReachableAt map[state.NodeID]time.Duration
	peers           []state.NodeEntry
	// hubs is the set of nodes that pass bulletins and rows on; nil where all
	// nodes are linked with each other.
	hubs map[state.NodeID]bool
	// sentLoads are the counts in this node's last bulletin to its hub.
	sentLoads    []state.TargetLoad
	watching     state.WatchTables
	watchStarted bool
}

// New returns the inventory system.
func New(t *state.Tables) *System {
	return &System{
		tables: t, managed: t.Managed, lapsedInstances: state.NewDueQueue[state.HostID](),
		linkedPeers: map[state.NodeID]bool{}, peerStatuses: map[state.NodeID]*state.PeerStatus{},
		lastReachableAt: map[state.NodeID]time.Duration{},
	}
}

// Step implements state.System.
func (s *System) Step(now time.Duration, in state.Input, out *state.Outbox) {
	switch in := in.(type) {
	case state.TableUpdate:
		s.handleStoreUpdate(now, in, out)
	case state.PeerLinkChanged:
		s.handlePeerLink(now, in, out)
	case state.PeerMessage:
		s.handlePeerMessage(now, in, out)
	case state.HostReport:
		s.handleHostReport(now, in, out)
	case state.StoreReply:
		if s.tables.OwnsReply(systemName, in) && in.ID == s.registerCallID {
			s.registerCallID = 0
		}
	case state.OperatorCommand:
		out.Add(state.OperatorReply{ID: in.ID, Error: apierror.New(apierror.KindConflict, "platform_holds_configuration",
			"the platform holds the configuration; change it there", apierror.NotRun)})
	case state.Tick:
		s.handleTick(now, out)
	}
}

// handleStoreUpdate takes what a call to the store told.
func (s *System) handleStoreUpdate(now time.Duration, in state.TableUpdate, out *state.Outbox) {
	view := &s.managed.Tables[in.Table]
	if in.Failed {
		view.FailedAt = now
		s.storeFailing = true
		return
	}
	view.AnsweredAt = max(view.AnsweredAt, in.SentAt)
	defer s.updateFreshness(now, out)
	if in.Table == state.InstanceTable && s.storeFailing {
		s.storeFailing, s.managed.StoreRecoveredAt = false, now
	}
	since := view.Revision
	s.applyUpdate(now, in, out)
	if len(in.Rows) > 0 && !in.Snapshot {
		s.relayUpdate(in, since, "", out)
	}
}

// applyUpdate takes rows, each in its newest revision only.
func (s *System) applyUpdate(now time.Duration, in state.TableUpdate, out *state.Outbox) {
	view := &s.managed.Tables[in.Table]
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
		s.removeAbsent(now, in.Table, present, out)
	}
	view.Revision, view.Loaded = revision, view.Loaded || in.Snapshot
	if in.Table == state.NodeTable && len(in.Rows) > 0 {
		s.setPeers(out)
	}
}

func (s *System) applyRow(now time.Duration, table state.TableKind, row *state.RowUpdate, out *state.Outbox) {
	switch {
	case row.Removed:
		s.removeRow(now, table, row.Key, row.Revision, out)
	case row.PlatformConfig != nil:
		s.setPlatformConfig(now, row.PlatformConfig, out)
	case row.Evacuated != "":
		s.setEvacuated(row.Evacuated, true, out)
	case row.Instance != nil:
		s.putInstance(now, row.Instance)
	case row.Node != nil:
		id := row.Node.Entry.ID
		if old := s.managed.Nodes.Get(id); old == nil || old.Revision < row.Node.Revision {
			s.managed.Nodes.Put(id, row.Node)
		}
	case row.Lease != nil:
		if l := &s.managed.Lease; row.Revision > l.Revision {
			*l = state.FormationLease{Row: *row.Lease, Revision: row.Revision, RenewalSeenAt: now}
		}
	}
}

// setPlatformConfig takes a configuration. Versions only grow in the life of a process.
func (s *System) setPlatformConfig(now time.Duration, c *state.PlatformConfig, out *state.Outbox) {
	if old := s.managed.PlatformConfig; old != nil && c.Version <= old.Version {
		return
	}
	s.managed.PlatformConfig = c
	s.managed.TargetInputsVersion++
	out.Log(event.PlatformConfigLoaded, slog.Uint64("version", c.Version), slog.Int("routes", len(c.Routes)),
		slog.Duration("evidence_age", now-s.managed.Tables[state.OperatorTable].AnsweredAt))
}

func (s *System) setEvacuated(dc state.DataCentre, evacuated bool, out *state.Outbox) {
	if s.managed.Evacuated[dc] == evacuated {
		return
	}
	if evacuated {
		s.managed.Evacuated[dc] = true
	} else {
		delete(s.managed.Evacuated, dc)
	}
	s.managed.TargetInputsVersion++
	out.Log(event.EvacuationChanged, slog.String("data_centre", string(dc)), slog.Bool("evacuated", evacuated))
}

func (s *System) putInstance(now time.Duration, row *state.Instance) {
	if old := s.managed.Instances.Get(row.ID); old != nil && old.Revision >= row.Revision {
		return
	}
	row.RevisionSeenAt = now
	s.lapsedInstances.Cancel(row.ID)
	s.managed.Instances.Put(row.ID, row)
	s.managed.TargetInputsVersion++
}

func (s *System) removeAbsent(now time.Duration, table state.TableKind, present map[string]bool, out *state.Outbox) {
	switch table {
	case state.OperatorTable:
		for dc := range s.managed.Evacuated {
			if !present[evacuationKey(dc)] {
				s.setEvacuated(dc, false, out)
			}
		}
	case state.InstanceTable:
		for _, id := range slices.Clone(s.managed.Instances.Keys()) {
			if !present[string(id)] {
				s.removeInstance(now, id)
			}
		}
	case state.NodeTable:
		for _, id := range slices.Clone(s.managed.Nodes.Keys()) {
			if !present[state.PrefixNode+string(id)] {
				s.managed.Nodes.Delete(id)
			}
		}
		s.setPeers(out)
	}
}

func evacuationKey(dc state.DataCentre) string { return state.PrefixEvacuated + string(dc) }

func (s *System) removeRow(now time.Duration, table state.TableKind, key string, revision uint64, out *state.Outbox) {
	switch table {
	case state.OperatorTable:
		if dc, ok := strings.CutPrefix(key, state.PrefixEvacuated); ok {
			s.setEvacuated(state.DataCentre(dc), false, out)
		}
	case state.InstanceTable:
		if old := s.managed.Instances.Get(state.HostID(key)); old != nil && old.Revision <= revision {
			s.removeInstance(now, old.ID)
		}
	case state.NodeTable:
		if id, ok := strings.CutPrefix(key, state.PrefixNode); ok {
			s.managed.Nodes.Delete(state.NodeID(id))
		}
	}
}

// removeInstance drops an instance. One whose entry lapsed in an outage of the
// store has a time to come back, since it could not renew it.
func (s *System) removeInstance(now time.Duration, id state.HostID) {
	since := max(s.managed.StoreRecoveredAt, s.managed.Tables[state.InstanceTable].FailedAt)
	if since >= 0 && now-since < outageRemovalWindow {
		if !s.lapsedInstances.Has(id) {
			s.lapsedInstances.Schedule(id, since+entryReturnTime)
		}
		return
	}
	s.managed.Instances.Delete(id)
	s.managed.TargetInputsVersion++
}

func (s *System) handleTick(now time.Duration, out *state.Outbox) {
	for id, ok := s.lapsedInstances.Pop(now); ok; id, ok = s.lapsedInstances.Pop(now) {
		s.managed.Instances.Delete(id)
		s.managed.TargetInputsVersion++
	}
	s.register(now, out)
	s.updateOutage(now, out)
	s.managed.ShouldReleaseLease = s.shouldReleaseLease(now)
	s.updateFreshness(now, out)
	s.updateWatching(now, out)
	if now >= s.nextPeerStatusAt {
		s.nextPeerStatusAt = now + state.PeerStatusPeriod
		s.sendPeerStatus(now, out)
		s.requestNewerTables(now, out)
		s.removeLostNodes(now, out)
	}
}

// updateFreshness says whether this node may take new work. A node that is cut off from
// the store and from all peers cannot learn of changes that others have seen.
// Where peers are heard, a change that any of them knows comes from there, and
// one that none knows cannot have been accepted while nobody reached the store.
func (s *System) updateFreshness(now time.Duration, out *state.Outbox) {
	config := &s.tables.Config
	lastAnswerAt := s.managed.Tables[state.OperatorTable].AnsweredAt
	isolated := now-lastAnswerAt > isolationTimeout && !s.hasRecentPeerStatus(now) && s.managed.Nodes.Len() > 1
	config.Loaded = s.managed.PlatformConfig != nil
	config.Synced = config.Loaded
	fresh := config.Loaded && s.managed.Tables[state.InstanceTable].Loaded && !isolated
	if fresh == config.Fresh {
		return
	}
	config.Fresh = fresh
	if fresh {
		out.Log(event.NodeConnected, slog.Duration("evidence_age", now-lastAnswerAt))
	} else {
		out.Log(event.NodeIsolated, slog.Duration("evidence_age", now-lastAnswerAt))
	}
}

func (s *System) hasRecentPeerStatus(now time.Duration) bool {
	for _, at := range s.managed.PeerStatusAt {
		if now-at < peerStatusTimeout {
			return true
		}
	}
	return false
}
