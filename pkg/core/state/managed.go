package state

import "time"

// Managed is what a node knows where the platform holds the configuration and
// lists the targets, in place of declarations and probes of this system. Each
// part is written by the system that its comment names.
type Managed struct {
	// Catalogue is the configuration in force, nil until it is known. Written by
	// the inventory system.
	Catalogue *Catalogue
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
	Tables [tableKinds]TableView
	// Stalled holds the targets whose streams have all fallen silent, with the
	// time since when, as this node sees them. Written by the dispatch system.
	Stalled map[HostID]time.Duration
	// PeerStalled holds the same as peers have reported it, by the time of the
	// report. Written by the inventory system.
	PeerStalled map[HostID]time.Duration
	// Silent holds the targets whose streams have fallen silent at every node that
	// has some there, with the time since when. Written by the inventory system.
	Silent map[HostID]time.Duration
	// Loads holds the counts of this node per target. Written by the dispatch
	// system.
	Loads map[HostID]*TargetLoad
	// PeerLoads holds the counts of each peer. Written by the inventory system.
	PeerLoads map[NodeID][]TargetLoad
	// OutageUntil is until when this node may take the store to be down for all
	// nodes that it hears; StoreBackAt is when the list of instances was answered
	// first after calls that were not. Written by the inventory system.
	OutageUntil time.Duration
	StoreBackAt time.Duration
	// YieldsLease is set while another node can hold the formation lease better: a
	// hub passes the list of instances on to all nodes by itself. Written by the
	// inventory system.
	YieldsLease bool
	// Changed counts changes of what the dispatch system builds its targets from.
	Changed uint64
	// Following is whether this node follows the store's tables itself. Written by
	// the inventory system.
	Following bool
	// Heard dates the last bulletin of each linked peer. Written by the inventory
	// system.
	Heard map[NodeID]time.Duration
	// TrafficSeen is set once a request has arrived. Loads of weights are priced
	// and paced from then on. Written by the dispatch system.
	TrafficSeen bool
	// Demand is the work asked for per model in engine seconds per second, of
	// this node. Written by the dispatch system.
	Demand map[string]float64
	// PeerDemand holds the same of each peer.
	PeerDemand map[NodeID]map[string]float64
}

// NewManaged returns the state of a node that knows nothing yet.
func NewManaged() *Managed {
	m := &Managed{
		Evacuated: map[DataCentre]bool{}, Instances: NewTable[HostID, Instance](),
		Nodes: NewTable[NodeID, RegisteredNode](), Stalled: map[HostID]time.Duration{},
		PeerStalled: map[HostID]time.Duration{}, Silent: map[HostID]time.Duration{}, Loads: map[HostID]*TargetLoad{},
		PeerLoads: map[NodeID][]TargetLoad{}, Heard: map[NodeID]time.Duration{},
		StoreBackAt: -1, Demand: map[string]float64{}, PeerDemand: map[NodeID]map[string]float64{},
	}
	for i := range m.Tables {
		m.Tables[i].SeenAt, m.Tables[i].FailedAt = -1, -1
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

// TableView dates what a node knows of a table.
type TableView struct {
	// Revision is that of the newest change seen.
	Revision uint64
	// Known is false until the whole table was read once.
	Known bool
	// SeenAt is the send time of the last call that the store answered; FailedAt
	// that of the last call that it did not. Negative means never.
	SeenAt   time.Duration
	FailedAt time.Duration
}

// Age returns the age of the last answer of the store, or a negative number
// where there is none or the last call failed.
func (v *TableView) Age(now time.Duration) time.Duration {
	if v.SeenAt < 0 || v.IsUnanswered() {
		return -1
	}
	return now - v.SeenAt
}

// IsUnanswered reports whether the store has not answered the last call.
func (v *TableView) IsUnanswered() bool { return v.FailedAt > v.SeenAt }
