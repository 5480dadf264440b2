package state

import "time"

// TargetLoad is what one node has sent to a target and what has not ended.
type TargetLoad struct {
	Target HostID `cbor:"1,keyasint"`
	// Running counts streams that have begun; Waiting requests without a first
	// event; WaitingTokens the prompt tokens of the latter.
	Running       int `cbor:"2,keyasint,omitempty"`
	Waiting       int `cbor:"3,keyasint,omitempty"`
	WaitingTokens int `cbor:"4,keyasint,omitempty"`
}

// TableUpdate is what a call to the platform's store or a peer told about a table.
// Exactly one field of each row is set besides its key.
type TableUpdate struct {
	Table TableKind `cbor:"1,keyasint"`
	// Snapshot is set when Rows holds the whole table.
	Snapshot bool        `cbor:"2,keyasint,omitempty"`
	Rows     []RowUpdate `cbor:"3,keyasint,omitempty"`
	Revision uint64      `cbor:"4,keyasint"`
	// SentAt is the time at which the call was sent.
	SentAt time.Duration `cbor:"-"`
	// Failed is set when the store did not answer.
	Failed bool `cbor:"-"`
	// BaseRevision is the revision of the table before these rows, where a peer passes
	// them on. Who holds an older one lacks rows in between.
	BaseRevision uint64 `cbor:"5,keyasint,omitempty"`
}

// RowUpdate is a decoded row of a table.
type RowUpdate struct {
	Key      string `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"`
	// Removed is set for a row that was dropped, and for one that names nothing
	// that can be used.
	Removed        bool            `cbor:"3,keyasint,omitempty"`
	PlatformConfig *PlatformConfig `cbor:"4,keyasint,omitempty"`
	Evacuated      DataCentre      `cbor:"5,keyasint,omitempty"`
	Instance       *Instance       `cbor:"6,keyasint,omitempty"`
	Node           *RegisteredNode `cbor:"7,keyasint,omitempty"`
	Lease          *LeaseRow       `cbor:"8,keyasint,omitempty"`
}

// PeerStatus is what nodes tell each other every BulletinPeriod.
type PeerStatus struct {
	// TableRevisions are those of the tables that the sender holds, by kind.
	TableRevisions []uint64 `cbor:"1,keyasint,omitempty"`
	// ReachableNodes lists the nodes that the sender hears, at times.
	ReachableNodes []NodeID `cbor:"2,keyasint,omitempty"`
	// StoreReplyAge is the age of the sender's last answer of the store; negative
	// when it has none.
	StoreReplyAge time.Duration `cbor:"3,keyasint"`
	Loads         []TargetLoad  `cbor:"4,keyasint,omitempty"`
	// StalledTargets lists the targets whose streams have all fallen silent.
	StalledTargets []HostID      `cbor:"5,keyasint,omitempty"`
	Demand         []ModelDemand `cbor:"6,keyasint,omitempty"`
	TrafficStarted bool          `cbor:"7,keyasint,omitempty"`
	// InstancesAge is the age of the sender's list of instances; negative when it
	// has none.
	InstancesAge time.Duration `cbor:"9,keyasint"`
	// ClusterTotals is set when the counts are those of all nodes, the receiver included,
	// and not of the sender and its leaves.
	ClusterTotals bool `cbor:"8,keyasint,omitempty"`
}

// ModelDemand is the work asked for of a model in engine seconds per second.
type ModelDemand struct {
	Model string  `cbor:"1,keyasint"`
	Work  float64 `cbor:"2,keyasint"`
}

// PeerStatusPeriod is the period of bulletins. A target's load is at most this
// much older at a peer than at its own node.
const PeerStatusPeriod = 100 * time.Millisecond

// MaxFullMeshNodes is the number of nodes up to which each is linked with each. The
// bulletins of 8 peers cost a node 140 messages a second. Beyond it they pass
// through two hubs.
const MaxFullMeshNodes = 9

// TableRequest asks a peer for a table as it holds it.
type TableRequest struct {
	Table TableKind `cbor:"1,keyasint"`
}

// WatchTables says whether this node follows the store's tables itself.
type WatchTables struct {
	// Enabled is for the configuration and the nodes, Instances for the instances.
	Enabled   bool
	Instances bool
	// LowLatency is set for the node that forms groups, which acts on each change.
	LowLatency bool
	// LongBackoff is set for a node that others tell when the store is back.
	LongBackoff bool
}

func (WatchTables) output()     {}
func (TableUpdate) input()      {}
func (HostOrderResult) input()  {}
func (HostReport) input()       {}
func (HostOrder) output()       {}
func (FetchHostReport) output() {}
