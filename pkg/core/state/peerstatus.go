package state

import "time"

// TargetLoad counts the unfinished requests that one node has sent to a target.
type TargetLoad struct {
	Target HostID `cbor:"1,keyasint"`
	// Running counts the streams that have delivered their first event, Waiting the
	// requests without a first event, and WaitingTokens the prompt tokens of the
	// waiting requests.
	Running       int `cbor:"2,keyasint,omitempty"`
	Waiting       int `cbor:"3,keyasint,omitempty"`
	WaitingTokens int `cbor:"4,keyasint,omitempty"`
}

// TableUpdate holds the rows of a table that a call to the platform's store or a
// peer returned. Besides Key and Revision, each row has exactly one field set.
type TableUpdate struct {
	Table TableKind `cbor:"1,keyasint"`
	// Snapshot is set when Rows holds the whole table, not only changed rows.
	Snapshot bool        `cbor:"2,keyasint,omitempty"`
	Rows     []RowUpdate `cbor:"3,keyasint,omitempty"`
	Revision uint64      `cbor:"4,keyasint"`
	// SentAt is the send time of the call to the store.
	SentAt time.Duration `cbor:"-"`
	// Failed is set when the store did not answer the call.
	Failed bool `cbor:"-"`
	// BaseRevision is the revision of the table before these rows when a peer
	// forwards them. A receiver with an older revision lacks rows in between.
	BaseRevision uint64 `cbor:"5,keyasint,omitempty"`
	// Confirmed is set when a peer forwards rows that it has held back since the store
	// came back from a copy. They are applied row by row, because they are not newer
	// than the receiver's revision of the table.
	Confirmed bool `cbor:"6,keyasint,omitempty"`
}

// RowUpdate is a decoded row of a table, or the removal of one.
type RowUpdate struct {
	Key      string `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"`
	// Removed is set for a deleted row, and for a row without usable content.
	Removed        bool            `cbor:"3,keyasint,omitempty"`
	PlatformConfig *PlatformConfig `cbor:"4,keyasint,omitempty"`
	Evacuated      DataCentre      `cbor:"5,keyasint,omitempty"`
	Instance       *Instance       `cbor:"6,keyasint,omitempty"`
	Node           *RegisteredNode `cbor:"7,keyasint,omitempty"`
	Lease          *LeaseRow       `cbor:"8,keyasint,omitempty"`
	Quarantine     *QuarantineRow  `cbor:"9,keyasint,omitempty"`
	// Unreadable is set, beside Removed, for a row of an instance without usable content. It
	// may be of another writer, and says nothing of the instance.
	Unreadable bool `cbor:"10,keyasint,omitempty"`
}

// PeerStatus is the status message that managed nodes exchange every
// PeerStatusPeriod.
type PeerStatus struct {
	// TableRevisions are the revisions of the sender's tables, indexed by TableKind.
	TableRevisions []uint64 `cbor:"1,keyasint,omitempty"`
	// ReachableNodes lists the nodes from which the sender receives status messages.
	// Only some messages carry it.
	ReachableNodes []NodeID `cbor:"2,keyasint,omitempty"`
	// StoreReplyAge is the age of the last answer that the sender received from the
	// store; negative when it has none.
	StoreReplyAge time.Duration `cbor:"3,keyasint"`
	Loads         []TargetLoad  `cbor:"4,keyasint,omitempty"`
	// StalledTargets lists the targets whose streams have all stalled.
	StalledTargets []HostID      `cbor:"5,keyasint,omitempty"`
	Demand         []ModelDemand `cbor:"6,keyasint,omitempty"`
	TrafficStarted bool          `cbor:"7,keyasint,omitempty"`
	// InstancesAge is the age of the sender's list of instances; negative when it
	// has none.
	InstancesAge time.Duration `cbor:"9,keyasint"`
	// ClusterTotals is set when the counts cover all nodes, including the receiver.
	// Otherwise they cover the sender and its leaves.
	ClusterTotals bool `cbor:"8,keyasint,omitempty"`
	// ListAnswers is nil if the sender knows of no answer.
	ListAnswers *ListAnswers `cbor:"10,keyasint,omitempty"`
}

// ListAnswers is what a node knows about the answers of the store to calls for the list of
// instances.
type ListAnswers struct {
	// Age is the time since the store last answered the sender, or in the status of a hub
	// for its leaves any node; negative if it has answered none.
	Age time.Duration `cbor:"1,keyasint"`
	// UnbrokenFor is how long the store has answered nodes without an outage; 0 if the last
	// answer is too old to tell.
	UnbrokenFor time.Duration `cbor:"2,keyasint,omitempty"`
}

// ModelDemand is the demand for a model in engine seconds per second.
type ModelDemand struct {
	Model string  `cbor:"1,keyasint"`
	Work  float64 `cbor:"2,keyasint"`
}

// PeerStatusPeriod is the period of PeerStatus messages. It bounds how much older
// a target's load is at a peer than at the node that counts it.
const PeerStatusPeriod = 100 * time.Millisecond

// MaxFullMeshNodes is the largest number of nodes that form a full mesh. With 8
// peers, status messages cost a node 140 messages a second. Larger installations
// exchange them through two hubs.
const MaxFullMeshNodes = 9

// TableRequest requests a peer's copy of a table. The answer is a TableUpdate.
type TableRequest struct {
	Table TableKind `cbor:"1,keyasint"`
}

// WatchTables selects the store's tables that this node watches itself. The rows
// of other tables come from peers.
type WatchTables struct {
	Nodes         bool
	Configuration bool
	Instances     bool
	// LowLatency shortens the time in which changes are batched. It is set for the
	// node that forms groups, which acts on each change.
	LowLatency bool
	// LongBackoff lengthens the retry interval in an outage of the store. It is set
	// for a node that learns from its peers when the store is available again.
	LongBackoff bool
	// LongDelay lengthens the time in which changes are batched. It is set for a node on
	// which no other one relies and that is about to receive the rows from its hub.
	LongDelay bool
	// AnswerSoon is set if other nodes, or the readiness of this one, depend on a recent
	// answer of the store. A watcher that is enabled again then gets one at once instead
	// of at the next change.
	AnswerSoon bool
	// Era is the highest era of the store that this node or a peer has seen.
	Era uint64
	// ContinueFrom holds the revision up to which this node has each table, indexed by
	// TableKind. A watcher that is enabled again continues from there; 0 means that it
	// must read the whole table.
	ContinueFrom [tableKinds]uint64
}

// HistoryRequest requests a peer's History.
type HistoryRequest struct{}

// History is what a node knows and what the store may have forgotten since it came
// back from a copy. A node that starts requests it from its peers.
type History struct {
	// Loaded is false if the sender is starting itself and knows nothing.
	Loaded         bool            `cbor:"1,keyasint,omitempty"`
	PlatformConfig *PlatformConfig `cbor:"2,keyasint,omitempty"`
	// OperatorRevision is the revision of the sender's copy of OperatorTable, and
	// Evacuated the data centres that receive no new work according to it.
	OperatorRevision uint64       `cbor:"3,keyasint,omitempty"`
	Evacuated        []DataCentre `cbor:"4,keyasint,omitempty"`
	Departures       []Departure  `cbor:"5,keyasint,omitempty"`
	// RecoveredAge is the time since the sender last saw the store recover; negative
	// if never.
	RecoveredAge time.Duration `cbor:"6,keyasint"`
}

// Departure is the end of an instance's service: one process that leaves or has
// left.
type Departure struct {
	Host    HostID `cbor:"1,keyasint"`
	StartID int64  `cbor:"2,keyasint,omitempty"`
	// Gone is set if the entry of the instance was removed. Otherwise the instance
	// itself has reported that it leaves.
	Gone bool `cbor:"3,keyasint,omitempty"`
	// At is the time at which this node learned of it.
	At time.Duration `cbor:"-"`
}

func (WatchTables) output()     {}
func (TableUpdate) input()      {}
func (HostOrderResult) input()  {}
func (HostReport) input()       {}
func (HostOrder) output()       {}
func (FetchHostReport) output() {}
