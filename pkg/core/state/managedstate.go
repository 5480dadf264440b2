package state

import "time"

// ManagedState is the state of a managed node, whose platform holds the
// configuration and lists the targets. It takes the place of declarations and
// probes. The comment of each field names the system that writes it.
type ManagedState struct {
	// PlatformConfig is the configuration in force, nil until it is loaded. Written
	// by the inventory system.
	PlatformConfig *PlatformConfig
	// Evacuated is the set of data centres that receive no new work. Written by the
	// inventory system.
	Evacuated map[DataCentre]bool
	// Instances holds the registered processes of all services. Written by the
	// inventory system.
	Instances *Table[HostID, Instance]
	// Departures holds the instances that leave or have left, by ID. A row of the same
	// process does not bring one back. Written by the inventory system.
	Departures map[HostID]Departure
	// PausedTargets holds the targets that have asked this node for a pause. Written by
	// the inventory system.
	PausedTargets map[HostID]TargetPause
	// TargetLimits holds the limits that targets name, by ID. Written by the inventory
	// system.
	TargetLimits map[HostID]TargetLimit
	// StoreEra is the highest era of the store that this node or a peer has seen. It
	// grows when the store comes back from a copy. Written by the inventory system.
	StoreEra uint64
	// EraSince is when this node learned of the era; negative before that. Written by
	// the inventory system.
	EraSince time.Duration
	// Nodes holds the registered entry daemons, this one included. Written by
	// the inventory system.
	Nodes *Table[NodeID, RegisteredNode]
	// LinkedPeers is the set of peers whose links are up. Written by the inventory system.
	LinkedPeers map[NodeID]bool
	// Hubs is the set of nodes that relay messages to all nodes, nil if all nodes are
	// linked with each other. Written by the inventory system.
	Hubs map[NodeID]bool
	// Quarantined holds the traits whose requests are not run, with the time from which the
	// nodes try one of them in turn. Written by the quarantine system.
	Quarantined map[Trait]time.Duration
	// Probation holds the traits in quarantine whose trials begin at once, with the time at which it
	// began. Written by the quarantine system.
	Probation map[Trait]time.Duration
	// QuarantinedArrivals holds when a request with a trait in quarantine last arrived at
	// this node. Written by the dispatch system.
	QuarantinedArrivals map[Trait]time.Duration
	// QuarantineRows holds the rows of traits in quarantine by key. QuarantineRowsVersion
	// counts their changes. Written by the inventory system.
	QuarantineRows        map[string]QuarantineRow
	QuarantineRowsVersion uint64
	// QuarantineVersion counts the traits that were put into quarantine, or stay there after
	// a trial. Written by the quarantine system.
	QuarantineVersion uint64
	// Lease is the row of the formation lease. Written by the inventory system.
	Lease FormationLease
	// Tables holds the revision and the age of each table of the platform. Written
	// by the inventory system.
	Tables [tableKinds]TableStatus
	// StalledTargets holds the targets whose streams from this node have all
	// stalled, with the time at which that began. Written by the dispatch system.
	StalledTargets map[HostID]time.Duration
	// PeerStalledTargets holds the stalled targets that peers report, with the time
	// of the last report. Written by the inventory system.
	PeerStalledTargets map[HostID]time.Duration
	// GloballyStalledTargets holds the targets that are stalled at every node with
	// streams there, with the time since when. Written by the inventory system.
	GloballyStalledTargets map[HostID]time.Duration
	// Loads holds this node's load on each target. Written by the dispatch system.
	Loads map[HostID]*TargetLoad
	// PeerLoads holds the loads that each peer reports. Written by the inventory
	// system.
	PeerLoads map[NodeID][]TargetLoad
	// StoreOutageUntil is the time until which this node may assume that the store
	// is down for all nodes that it reaches. Written by the inventory system.
	StoreOutageUntil time.Duration
	// StoreRecoveredAt is when the last outage ended in which entries of instances may
	// have expired, or when the era last changed; negative means never. A node that is cut
	// off alone has seen no outage. Written by the inventory system.
	StoreRecoveredAt time.Duration
	// ListAnsweredAgainAt is when the store first answered a call of this node for the list
	// of instances after unanswered ones; negative means never. Written by the inventory
	// system.
	ListAnsweredAgainAt time.Duration
	// ShouldReleaseLease is set while a hub is the better holder of the formation
	// lease, because a hub forwards the list of instances to all nodes itself.
	// Written by the inventory system.
	ShouldReleaseLease bool
	// TargetInputsVersion counts the changes of the state from which the dispatch
	// system builds its targets. Written by the inventory system.
	TargetInputsVersion uint64
	// WatchesStore is set while this node watches the store's tables itself. Written
	// by the inventory system.
	WatchesStore bool
	// PeerStatusAt is the time of the last PeerStatus message of each linked peer.
	// Written by the inventory system.
	PeerStatusAt map[NodeID]time.Duration
	// TrafficStarted is set once a request has arrived at any node. From then on,
	// loads of weights are costed and paced. Written by the dispatch and inventory
	// systems.
	TrafficStarted bool
	// Demand is this node's demand per model in engine seconds per second. Written
	// by the dispatch system.
	Demand map[string]float64
	// PeerDemand holds the demand that each peer reports. Written by the inventory
	// system.
	PeerDemand map[NodeID]map[string]float64
}

// NewManagedState returns the state of a managed node that has loaded nothing yet.
func NewManagedState() *ManagedState {
	m := &ManagedState{
		Evacuated: map[DataCentre]bool{}, Instances: NewTable[HostID, Instance](), Departures: map[HostID]Departure{},
		PausedTargets: map[HostID]TargetPause{}, TargetLimits: map[HostID]TargetLimit{}, LinkedPeers: map[NodeID]bool{}, Quarantined: map[Trait]time.Duration{}, Probation: map[Trait]time.Duration{}, QuarantinedArrivals: map[Trait]time.Duration{}, QuarantineRows: map[string]QuarantineRow{},
		Nodes: NewTable[NodeID, RegisteredNode](), StalledTargets: map[HostID]time.Duration{},
		PeerStalledTargets: map[HostID]time.Duration{}, GloballyStalledTargets: map[HostID]time.Duration{}, Loads: map[HostID]*TargetLoad{},
		PeerLoads: map[NodeID][]TargetLoad{}, PeerStatusAt: map[NodeID]time.Duration{},
		EraSince: -1, StoreRecoveredAt: -1, ListAnsweredAgainAt: -1, Demand: map[string]float64{}, PeerDemand: map[NodeID]map[string]float64{},
	}
	for i := range m.Tables {
		m.Tables[i].AnsweredAt, m.Tables[i].FailedAt = -1, -1
	}
	return m
}

// EraSettleTime is how long after the start of an era the operator and the instances
// may take to write again what the store has lost.
const EraSettleTime = 10 * time.Second

// IsEraSettled reports whether the store holds again what it lost at the start of the
// era, as far as this node or an earlier holder of the formation lease knows.
func (m *ManagedState) IsEraSettled(now time.Duration) bool {
	lease := &m.Lease
	if lease.Revision > 0 && lease.Row.EraSettled && lease.Row.Era == m.StoreEra && EraOf(lease.Revision) == m.StoreEra {
		return true
	}
	return m.EraSince >= 0 && now-m.EraSince >= EraSettleTime
}

// StoreReturnedAt returns when the store last came back for this node, whether others had its
// answers meanwhile or not; negative means never. Until then this node's list may have been old.
func (m *ManagedState) StoreReturnedAt() time.Duration {
	return max(m.StoreRecoveredAt, m.ListAnsweredAgainAt)
}

// IsPaused reports whether a process of a target has asked this node for a pause that
// has not ended.
func (m *ManagedState) IsPaused(now time.Duration, id HostID, startID int64) bool {
	pause, ok := m.PausedTargets[id]
	return ok && pause.StartID == startID && now < pause.Until
}

// PauseEnd returns when the pause of a process of a target ends, and false if it has
// not asked this node for one.
func (m *ManagedState) PauseEnd(now time.Duration, id HostID, startID int64) (time.Duration, bool) {
	return m.PausedTargets[id].Until, m.IsPaused(now, id, startID)
}

// TargetPause is the time until which a process of a target wants no requests from
// this node.
type TargetPause struct {
	StartID int64
	Until   time.Duration
}

// Limit returns the limit that a process of a target names, and false if it names none.
func (m *ManagedState) Limit(id HostID, startID int64) (float64, bool) {
	limit, ok := m.TargetLimits[id]
	return limit.Rate, ok && limit.StartID == startID
}

// TargetLimit is the number of requests per second that a process of a target takes from
// all nodes together.
type TargetLimit struct {
	Host    HostID  `cbor:"1,keyasint"`
	StartID int64   `cbor:"2,keyasint,omitempty"`
	Rate    float64 `cbor:"3,keyasint,omitempty"`
	// Ended is set in a report on a target that names no limit any more.
	Ended bool `cbor:"4,keyasint,omitempty"`
	// Age is the time since ConfirmedAt in a report.
	Age time.Duration `cbor:"5,keyasint,omitempty"`
	// ConfirmedAt is when the target was last known to name the limit.
	ConfirmedAt time.Duration `cbor:"-"`
}

// TargetLimitReport spreads what targets say about their limits to all nodes.
type TargetLimitReport struct {
	Limits []TargetLimit `cbor:"1,keyasint"`
}

// TableKind identifies a table of the platform's store.
type TableKind uint8

// Tables of the platform's store.
const (
	// OperatorTable holds the configuration and the evacuated data centres.
	OperatorTable TableKind = iota
	// InstanceTable holds the registered processes of services.
	InstanceTable
	// NodeTable belongs to this system and holds nodes and the formation lease.
	NodeTable
	tableKinds
)

// TableStatus is the revision and the age of a node's copy of a table.
type TableStatus struct {
	// Revision is the revision of the newest change received.
	Revision uint64
	// Loaded is set once the whole table has been read.
	Loaded bool
	// AnsweredAt is the send time of the last call that the store answered, and
	// FailedAt that of the last unanswered call. Negative means never.
	AnsweredAt time.Duration
	FailedAt   time.Duration
}

// Age returns the time since the send time of the last answered call. It is
// negative when there is none or the last call failed.
func (v *TableStatus) Age(now time.Duration) time.Duration {
	if v.AnsweredAt < 0 || v.LastCallFailed() {
		return -1
	}
	return now - v.AnsweredAt
}

// EvidenceAge returns the time since the send time of the last answered call, also
// when later ones failed. It is negative when there is none.
func (v *TableStatus) EvidenceAge(now time.Duration) time.Duration {
	if v.AnsweredAt < 0 {
		return -1
	}
	return now - v.AnsweredAt
}

// LastCallFailed reports whether the store left the last call unanswered.
func (v *TableStatus) LastCallFailed() bool { return v.FailedAt > v.AnsweredAt }
