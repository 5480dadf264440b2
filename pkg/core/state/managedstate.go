package state

import "time"

// ManagedState is what a node knows where the platform holds the configuration and
// lists the targets, in place of declarations and probes of this system. Each
// part is written by the system that its comment names.
type ManagedState struct {
	// PlatformConfig is the configuration in force, nil until it is known. Written by
	// the inventory system.
	PlatformConfig *PlatformConfig
	// Evacuated holds the data centres that receive no new work. Written by the
	// inventory system.
	Evacuated map[DataCentre]bool
	// Instances holds the registered processes of all services. Written by the
	// inventory system.
	Instances *Table[HostID, Instance]
	// Nodes holds the registered entry daemons, this one included. Written by
	// the inventory system.
	Nodes *Table[NodeID, RegisteredNode]
	// Lease is the row of the formation lease. Written by the inventory system.
	Lease FormationLease
	// Tables dates what is known of each table of the platform. Written by the
	// inventory system.
	Tables [tableKinds]TableStatus
	// StalledTargets holds the targets whose streams have all fallen silent, with the
	// time since when, as this node sees them. Written by the dispatch system.
	StalledTargets map[HostID]time.Duration
	// PeerStalledTargets holds the same as peers have reported it, by the time of the
	// report. Written by the inventory system.
	PeerStalledTargets map[HostID]time.Duration
	// GloballyStalledTargets holds the targets whose streams have fallen silent at every node that
	// has some there, with the time since when. Written by the inventory system.
	GloballyStalledTargets map[HostID]time.Duration
	// Loads holds the counts of this node per target. Written by the dispatch
	// system.
	Loads map[HostID]*TargetLoad
	// PeerLoads holds the counts of each peer. Written by the inventory system.
	PeerLoads map[NodeID][]TargetLoad
	// StoreOutageUntil is until when this node may take the store to be down for all
	// nodes that it hears; StoreBackAt is when the list of instances was answered
	// first after calls that were not. Written by the inventory system.
	StoreOutageUntil time.Duration
	StoreRecoveredAt time.Duration
	// ShouldReleaseLease is set while another node can hold the formation lease better: a
	// hub passes the list of instances on to all nodes by itself. Written by the
	// inventory system.
	ShouldReleaseLease bool
	// TargetInputsVersion counts changes of what the dispatch system builds its targets from.
	TargetInputsVersion uint64
	// WatchesStore is whether this node follows the store's tables itself. Written by
	// the inventory system.
	WatchesStore bool
	// PeerStatusAt dates the last bulletin of each linked peer. Written by the inventory
	// system.
	PeerStatusAt map[NodeID]time.Duration
	// TrafficStarted is set once a request has arrived. Loads of weights are priced
	// and paced from then on. Written by the dispatch system.
	TrafficStarted bool
	// Demand is the work asked for per model in engine seconds per second, of
	// this node. Written by the dispatch system.
	Demand map[string]float64
	// PeerDemand holds the same of each peer.
	PeerDemand map[NodeID]map[string]float64
}

// NewManagedState returns the state of a node that knows nothing yet.
func NewManagedState() *ManagedState {
	m := &ManagedState{
		Evacuated: map[DataCentre]bool{}, Instances: NewTable[HostID, Instance](),
		Nodes: NewTable[NodeID, RegisteredNode](), StalledTargets: map[HostID]time.Duration{},
		PeerStalledTargets: map[HostID]time.Duration{}, GloballyStalledTargets: map[HostID]time.Duration{}, Loads: map[HostID]*TargetLoad{},
		PeerLoads: map[NodeID][]TargetLoad{}, PeerStatusAt: map[NodeID]time.Duration{},
		StoreRecoveredAt: -1, Demand: map[string]float64{}, PeerDemand: map[NodeID]map[string]float64{},
	}
	for i := range m.Tables {
		m.Tables[i].AnsweredAt, m.Tables[i].FailedAt = -1, -1
	}
	return m
}

// TableKind names a table of the platform's store.
type TableKind uint8

// Tables of the platform's store.
const (
	// OperatorTable holds the configuration and the evacuated data centres.
	OperatorTable TableKind = iota
	// InstanceTable holds the registered processes of services.
	InstanceTable
	// NodeTable is this system's own: nodes and the formation lease.
	NodeTable
	tableKinds
)

// TableStatus dates what a node knows of a table.
type TableStatus struct {
	// Revision is that of the newest change seen.
	Revision uint64
	// Loaded is false until the whole table was read once.
	Loaded bool
	// AnsweredAt is the send time of the last call that the store answered; FailedAt
	// that of the last call that it did not. Negative means never.
	AnsweredAt time.Duration
	FailedAt   time.Duration
}

// Age returns the age of the last answer of the store, or a negative number
// where there is none or the last call failed.
func (v *TableStatus) Age(now time.Duration) time.Duration {
	if v.AnsweredAt < 0 || v.LastCallFailed() {
		return -1
	}
	return now - v.AnsweredAt
}

// LastCallFailed reports whether the store has not answered the last call.
func (v *TableStatus) LastCallFailed() bool { return v.FailedAt > v.AnsweredAt }
