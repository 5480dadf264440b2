// Package inventory maintains the state of a node on a platform that holds the
// configuration and lists the targets: the configuration in force, the
// registered instances, the other nodes and the age of this information.
package inventory

import (
	"log/slog"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

const (
	// systemName identifies the store requests of this system.
	systemName = "inventory"
	// registerInterval is the minimum interval between attempts of a node to
	// register itself.
	registerInterval = time.Second
	// entryReturnTime is how long after a store outage an instance whose entry
	// expired meanwhile may take to register again. The platform specifies 2 s.
	entryReturnTime = 2 * time.Second
	// heartbeatInterval is the interval at which an instance renews its entry, and
	// entryLifetime how long an entry stays that is not renewed. The platform specifies both.
	heartbeatInterval = 1200 * time.Millisecond
	entryLifetime     = 3 * heartbeatInterval
	// outageRemovalWindow is how long after a recovery of the store a removal is
	// attributed to the outage.
	outageRemovalWindow = 2 * time.Second
	// tableRequestDelay is how long a peer may have a newer table before this node
	// requests it. Rows are relayed at once unless a link failed.
	tableRequestDelay = 250 * time.Millisecond
	// tableRequestInterval is the minimum interval between requests for one table.
	tableRequestInterval = 300 * time.Millisecond
	// peerStatusTimeout is how long the last status of a peer is valid. It is ten
	// status periods, and shorter than the time for which isolated nodes may
	// continue.
	peerStatusTimeout = time.Second
	// maxStoreReplyAge is the maximum age of the last store reply for the store to
	// count as reachable. A watch call is answered after at most 1 s, so the last
	// answered call may have been sent up to 2 s ago.
	maxStoreReplyAge = 2400 * time.Millisecond
	// isolationTimeout is the age of the last store reply after which a node
	// without recent status of any peer takes no new work.
	isolationTimeout = 3 * time.Second
	// nodeRemovalTimeout is how long no status of a node must have arrived before
	// the holder of the formation lease removes its registration. A restart takes
	// less.
	nodeRemovalTimeout = 10 * time.Second
	// peerStalledTimeout is how long a peer's report of a stalled target is valid.
	peerStalledTimeout = 400 * time.Millisecond
)

// System maintains the inventory. It writes ManagedState, except for the parts
// that other systems write, and the parts of Config that the lifecycle system
// reads.
type System struct {
	tables  *state.Tables
	managed *state.ManagedState

	// expiredInstances holds the instances whose entries expired during a store
	// outage.
	expiredInstances *state.DueQueue[state.HostID]
	// overwrittenInstances holds the instances in whose place the store has an entry that names
	// none. They are removed unless they write theirs again.
	overwrittenInstances *state.DueQueue[state.HostID]
	// announcedLimits holds the last report on the limit of each target, by this node or by
	// a peer, with its time in ConfirmedAt.
	announcedLimits map[state.HostID]state.TargetLimit
	restoration     restoration
	startup         startup
	nextPurgeAt     time.Duration
	// answers tracks the answers to calls for the list of instances.
	answers listAnswers
	// inOutage is the last result of isStoreDown.
	inOutage            bool
	nextPeerStatusAt    time.Duration
	nextReachableListAt time.Duration
	nextTableRequestAt  [3]time.Duration
	peerAheadSince      [3]time.Duration
	nextRegisterAt      time.Duration
	registerCallID      uint64
	// linkedPeers is ManagedState.LinkedPeers.
	linkedPeers map[state.NodeID]bool
	// peerStatuses holds the last status of each linked peer.
	peerStatuses map[state.NodeID]*state.PeerStatus
	// lastReachableAt is when a node was last reachable for this node or for a
	// peer that reported it.
	lastReachableAt map[state.NodeID]time.Duration
	peers           []state.NodeEntry
	// hubs is the set of nodes that relay peer status and table updates. It is nil
	// if all nodes are linked with each other.
	hubs map[state.NodeID]bool
	// stallReporters holds the targets that all nodes with streams there find stalled, with the
	// number of reporters, as of the last status that this node sent.
	stallReporters map[state.HostID]int
	// lostHub is the last hub whose link has ended.
	lostHub lostHub
	// sentLoads holds the loads in the last status that this node sent to its hub.
	sentLoads    []state.TargetLoad
	watching     state.WatchTables
	watchStarted bool
}

// New returns the inventory system.
func New(t *state.Tables) *System {
	return &System{
		tables: t, managed: t.Managed, expiredInstances: state.NewDueQueue[state.HostID](),
		overwrittenInstances: state.NewDueQueue[state.HostID](),
		announcedLimits:      map[state.HostID]state.TargetLimit{}, answers: newListAnswers(), restoration: newRestoration(), startup: newStartup(),
		linkedPeers: t.Managed.LinkedPeers, peerStatuses: map[state.NodeID]*state.PeerStatus{},
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
	case state.TargetNotice:
		s.handleTargetNotice(now, in, out)
	case state.HostOrderResult:
		s.handleTargetNotice(now, in.Notice, out)
	case state.HostReport:
		s.handleTargetNotice(now, in.Notice, out)
		s.handleHostReport(now, in, out)
	case state.StoreReply:
		if s.tables.OwnsReply(systemName, in) && in.ID == s.registerCallID {
			s.registerCallID = 0
		}
	case state.OperatorCommand:
		if in.Action == state.ActionLift {
			// The quarantine system answers.
			return
		}
		out.Add(state.OperatorReply{ID: in.ID, Error: apierror.New(apierror.KindConflict, "platform_holds_configuration",
			"the platform holds the configuration; change it there", apierror.NotRun)})
	case state.Tick:
		s.handleTick(now, out)
	}
}

// handleStoreUpdate applies the result of a store call and relays changed rows
// to peers.
func (s *System) handleStoreUpdate(now time.Duration, in state.TableUpdate, out *state.Outbox) {
	table := &s.managed.Tables[in.Table]
	if in.Failed {
		table.FailedAt = now
		if in.Table == state.InstanceTable {
			s.recordFailedCall()
		}
		return
	}
	table.AnsweredAt = max(table.AnsweredAt, in.SentAt)
	defer s.updateFreshness(now, out)
	if in.Table == state.InstanceTable {
		s.recordOwnAnswer(now, out)
	}
	previousRevision := table.Revision
	s.applyUpdate(now, in, "", out)
	if len(in.Rows) > 0 && !in.Snapshot {
		s.relayUpdate(in, previousRevision, "", out)
	}
}

// applyUpdate applies rows and ignores those older than the stored revision. from is
// the peer that sent them, empty for the store.
func (s *System) applyUpdate(now time.Duration, in state.TableUpdate, from state.NodeID, out *state.Outbox) {
	tableStatus := &s.managed.Tables[in.Table]
	era := state.EraOf(in.Revision)
	s.observeEra(now, era, out)
	if in.Snapshot && tableStatus.Loaded && in.Revision < tableStatus.Revision || !in.Snapshot && era != state.EraOf(tableStatus.Revision) {
		return
	}
	restored := in.Snapshot && tableStatus.Loaded && era > state.EraOf(tableStatus.Revision)
	revision, newest := max(tableStatus.Revision, state.FirstRevision(era)), uint64(math.MaxUint64)
	if in.Snapshot {
		// A store may answer in several parts, of which later ones contain newer rows.
		newest = in.Revision
	}
	present := map[string]bool{}
	for i := range in.Rows {
		row := &in.Rows[i]
		if !in.Snapshot && row.Revision < tableStatus.Revision {
			// A late answer of the store. The row may have been removed since.
			continue
		}
		present[row.Key] = !row.Removed || row.Unreadable
		revision = max(revision, min(row.Revision, newest))
		// A peer has held back the rows that contradict what it knows.
		if restored && from == "" && row.Instance != nil && s.holdBack(now, row.Instance) {
			continue
		}
		s.applyRow(now, in.Table, row, out)
	}
	switch {
	case restored:
		s.removeAbsentAfterRestoration(now, in.Table, present, out)
	case in.Snapshot:
		// The table keeps the revision of its newest row. The revision of the store
		// also counts writes to other tables, so this node would seem to be ahead of
		// its peers.
		s.removeAbsent(now, in.Table, present, out)
	}
	tableStatus.Revision, tableStatus.Loaded = revision, tableStatus.Loaded || in.Snapshot
	if in.Table == state.NodeTable && len(in.Rows) > 0 {
		s.setPeers(out)
	}
}

func (s *System) applyRow(now time.Duration, table state.TableKind, row *state.RowUpdate, out *state.Outbox) {
	switch {
	case row.Unreadable:
		s.holdOverwritten(now, state.HostID(row.Key), row.Revision, out)
	case row.Removed:
		s.removeRow(now, table, row.Key, row.Revision, out)
	case row.PlatformConfig != nil:
		s.setPlatformConfig(now, row.PlatformConfig, out)
	case row.Evacuated != "":
		s.setEvacuated(row.Evacuated, true, out)
	case row.Instance != nil && row.Instance.Membership.IsValid():
		s.putInstance(now, row.Instance)
	case row.Node != nil:
		id := row.Node.Entry.ID
		if old := s.managed.Nodes.Get(id); old == nil || old.Revision < row.Node.Revision {
			s.managed.Nodes.Put(id, row.Node)
			s.restoration.heldNodes.Cancel(id)
		}
	case row.Lease != nil:
		if l := &s.managed.Lease; row.Revision > l.Revision {
			*l = state.FormationLease{Row: *row.Lease, Revision: row.Revision, RenewalSeenAt: now}
		}
	case row.Quarantine != nil:
		s.setQuarantineRow(row.Key, row.Quarantine, row.Revision)
	}
}

func (s *System) setQuarantineRow(key string, row *state.QuarantineRow, revision uint64) {
	if key != state.QuarantineKey(row.Trait) || s.managed.QuarantineRows[key].Revision >= revision {
		return
	}
	updated := *row
	updated.Revision = revision
	s.managed.QuarantineRows[key] = updated
	s.managed.QuarantineRowsVersion++
}

func (s *System) deleteQuarantineRow(key string) {
	if _, ok := s.managed.QuarantineRows[key]; ok {
		delete(s.managed.QuarantineRows, key)
		s.managed.QuarantineRowsVersion++
	}
}

// setPlatformConfig applies a configuration. Within the life of a process the
// version only increases.
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
	s.restoration.heldEvacuations.Cancel(dc)
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
	if held := s.restoration.heldRows[row.ID]; held != nil && held.Revision >= row.Revision {
		return
	}
	s.restoration.dropRow(row.ID)
	s.applyDeparture(now, row)
	row.RevisionSeenAt = now
	s.expiredInstances.Cancel(row.ID)
	s.overwrittenInstances.Cancel(row.ID)
	s.managed.Instances.Put(row.ID, row)
	s.managed.TargetInputsVersion++
}

func (s *System) removeAbsent(now time.Duration, table state.TableKind, present map[string]bool, out *state.Outbox) {
	switch table {
	case state.OperatorTable:
		for dc := range s.managed.Evacuated {
			if !present[evacuationKey(dc)] && !s.restoration.heldEvacuations.Has(dc) {
				s.setEvacuated(dc, false, out)
			}
		}
	case state.InstanceTable:
		for _, id := range state.SortedKeys(s.restoration.heldRows) {
			if !present[string(id)] {
				s.restoration.dropRow(id)
			}
		}
		for _, id := range slices.Clone(s.managed.Instances.Keys()) {
			if !present[string(id)] {
				s.removeInstance(now, id, out)
			}
		}
	case state.NodeTable:
		for _, id := range slices.Clone(s.managed.Nodes.Keys()) {
			if !present[state.PrefixNode+string(id)] && !s.restoration.heldNodes.Has(id) {
				s.managed.Nodes.Delete(id)
			}
		}
		for _, key := range state.SortedKeys(s.managed.QuarantineRows) {
			if row := s.managed.QuarantineRows[key]; !present[key] {
				// Only the removal of a row releases its trait. A snapshot may come from a
				// node that does not know such rows.
				row.Revision = 0
				s.managed.QuarantineRows[key] = row
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
		s.restoration.dropRow(state.HostID(key))
		if old := s.managed.Instances.Get(state.HostID(key)); old != nil && old.Revision <= revision {
			s.removeInstance(now, old.ID, out)
		}
	case state.NodeTable:
		if id, ok := strings.CutPrefix(key, state.PrefixNode); ok {
			s.restoration.heldNodes.Cancel(state.NodeID(id))
			s.managed.Nodes.Delete(state.NodeID(id))
		}
		if s.managed.QuarantineRows[key].Revision <= revision {
			s.deleteQuarantineRow(key)
		}
	}
}

// removeInstance removes an instance. An instance whose entry expired during a
// store outage could not renew it and is kept for entryReturnTime.
func (s *System) removeInstance(now time.Duration, id state.HostID, out *state.Outbox) {
	since := s.managed.StoreRecoveredAt
	if since >= 0 && now-since < outageRemovalWindow {
		if !s.expiredInstances.Has(id) {
			s.expiredInstances.Schedule(id, since+entryReturnTime)
			out.Log(event.EntryRemovalDeferred, slog.String("host", string(id)), slog.Duration("wait", since+entryReturnTime-now))
		}
		return
	}
	s.deleteInstance(now, id)
}

// holdOverwritten keeps an instance whose entry has been replaced by one that names no instance,
// until it has had the time to renew its own.
func (s *System) holdOverwritten(now time.Duration, id state.HostID, revision uint64, out *state.Outbox) {
	row := s.managed.Instances.Get(id)
	if row == nil || row.Revision > revision || s.overwrittenInstances.Has(id) {
		return
	}
	s.overwrittenInstances.Schedule(id, now+entryLifetime)
	out.Log(event.EntryOverwritten, slog.String("host", string(id)), slog.Duration("wait", entryLifetime))
}

func (s *System) handleTick(now time.Duration, out *state.Outbox) {
	for id, ok := s.overwrittenInstances.Pop(now); ok; id, ok = s.overwrittenInstances.Pop(now) {
		s.removeInstance(now, id, out)
	}
	for id, ok := s.expiredInstances.Pop(now); ok; id, ok = s.expiredInstances.Pop(now) {
		s.deleteInstance(now, id)
	}
	s.releaseHeld(now, out)
	s.purgeDepartures(now, out)
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

// updateFreshness decides whether this node may take new work. A node that is
// cut off from the store and from all peers cannot receive changes that others
// have received. If status of peers arrives, a change that any of them has is
// received from it, and a change that none of them has cannot have been accepted
// while no node reached the store.
func (s *System) updateFreshness(now time.Duration, out *state.Outbox) {
	config := &s.tables.Config
	lastAnswerAt := s.managed.Tables[state.OperatorTable].AnsweredAt
	isolated := now-lastAnswerAt > isolationTimeout && !s.hasRecentPeerStatus(now) && s.managed.Nodes.Len() > 1
	config.Loaded = s.managed.PlatformConfig != nil
	config.Synced = config.Loaded
	s.updateStartup(now, out)
	fresh := s.startup.known && !isolated
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
