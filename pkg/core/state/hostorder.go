package state

import "time"

// HostOperation is the operation that a HostOrder requests.
type HostOperation uint8

// Host operations.
const (
	// HostJoin makes the host a member of a replica group.
	HostJoin HostOperation = iota
	// HostOpen starts serving at the leader of a group.
	HostOpen
	// HostCloseGraceful stops serving at a leader after its queued and running work.
	HostCloseGraceful
	// HostCloseImmediate stops serving at a leader and aborts its work.
	HostCloseImmediate
	// HostLeave removes the host from its group.
	HostLeave
	// HostStage copies the weights of a model onto the host.
	HostStage
)

// HostOrder is an order to a host. The host refuses it if it has seen a higher
// fencing token, or if the number of orders that it has accepted differs from
// ExpectedSequence.
type HostOrder struct {
	ID   uint64
	Host HostID
	// StartID identifies the process that the order is meant for.
	StartID      int64
	Address      string
	Operation    HostOperation
	Group        GroupID
	Epoch        uint64
	Model        string
	Members      []HostID
	FencingToken FencingToken
	// ExpectedSequence is the number of orders that the host must have accepted
	// before this one.
	ExpectedSequence uint64
}

// OrderOutcome is the outcome of a HostOrder as far as it is known to the sender.
type OrderOutcome uint8

// Order outcomes.
const (
	// OrderAccepted means that the host has accepted the order and carries it out.
	OrderAccepted OrderOutcome = iota
	// OrderAlreadyApplied means that the host was already in the ordered state.
	OrderAlreadyApplied
	// OrderConflict means that the order does not fit the state of the host.
	OrderConflict
	// OrderFenced means that the host has seen a higher fencing token.
	OrderFenced
	// OrderInvalid means that the host does not support the order, or that another
	// host has the address.
	OrderInvalid
	// OrderNotSent means that no connection could be made, so that nothing was sent.
	OrderNotSent
	// OrderUnknown means that the answer was lost. The host may still carry out the
	// order later.
	OrderUnknown
)

// HostOrderResult is the result of the HostOrder with the same ID.
type HostOrderResult struct {
	ID      uint64
	Host    HostID
	Outcome OrderOutcome
	// Notice is what the host said of itself in its answer.
	Notice TargetNotice
}

// FetchHostReport requests a HostReport from a host.
type FetchHostReport struct {
	Host    HostID
	StartID int64
	Address string
	SentAt  time.Duration
}

// HostReport answers a FetchHostReport.
type HostReport struct {
	Host   HostID
	SentAt time.Duration
	// OK is false when the host did not answer. ConnectionRefused is then set when
	// the connection was refused, as by a host without a listener, and AddressReused
	// when another process answers at its address. Silent is set when the host accepted
	// the connection and did not answer in time.
	OK                bool
	ConnectionRefused bool
	AddressReused     bool
	Silent            bool
	// Sequence is the number of orders that the host process has accepted since its
	// start.
	Sequence uint64
	State    HostState
	// Notice is what the host said of itself in the header of its answer.
	Notice TargetNotice
}

// MaxReportLag bounds how far a host's report may lag behind its state. The
// platform specifies 200 ms, but reports that lag by 300 ms occur.
const MaxReportLag = 500 * time.Millisecond

// HostState is the state that a host reports about itself. The list of instances
// shows the same state after the host's next write to the store.
type HostState struct {
	Host HostID `cbor:"1,keyasint"`
	// StartID distinguishes successive processes with the same host ID; 0 when the
	// host does not report it.
	StartID int64 `cbor:"2,keyasint,omitempty"`
	// LoadedModel is the model that the host has loaded. StagedModels are the models
	// whose weights are on the host.
	LoadedModel  string     `cbor:"3,keyasint,omitempty"`
	StagedModels []string   `cbor:"4,keyasint,omitempty"`
	Membership   Membership `cbor:"5,keyasint"`
}
