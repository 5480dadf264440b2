package state

import "time"

// HostOperation is what a host is told to do.
type HostOperation uint8

// Host operations.
const (
	// HostJoin makes the host a member of a replica group.
	HostJoin HostOperation = iota
	// HostOpen lets the leader of a group serve.
	HostOpen
	// HostCloseGraceful lets a leader finish its work and serve no more.
	HostCloseGraceful
	// HostCloseImmediate cuts the work of a leader off.
	HostCloseImmediate
	// HostLeave takes the host out of its group.
	HostLeave
	// HostStage brings the weights of a model onto the host.
	HostStage
)

// HostOrder is an order to a host. It is refused by the host if its fence is
// lower than one seen there, or if the host has begun another order since.
type HostOrder struct {
	ID           uint64
	Host         HostID
	Address      string
	Operation    HostOperation
	Group        GroupID
	Epoch        uint64
	Model        string
	Members      []HostID
	FencingToken FencingToken
	// ExpectedSequence is the number of orders that the host must have begun so far.
	ExpectedSequence uint64
}

// OrderOutcome is what is known about an order.
type OrderOutcome uint8

// Order outcomes.
const (
	// OrderAccepted means that the host has begun the order.
	OrderAccepted OrderOutcome = iota
	// OrderAlreadyApplied means that the ordered state held already.
	OrderAlreadyApplied
	// OrderConflict means that it does not fit the state of the host.
	OrderConflict
	// OrderFenced means that the host has seen a higher fence.
	OrderFenced
	// OrderInvalid means that the host knows no such order or is another one.
	OrderInvalid
	// OrderNotSent means that no connection was made: nothing was sent.
	OrderNotSent
	// OrderUnknown means that no answer came. The order may be carried out later.
	OrderUnknown
)

// HostOrderResult answers a HostOrder.
type HostOrderResult struct {
	ID      uint64
	Host    HostID
	Outcome OrderOutcome
}

// FetchHostReport asks a host how it is.
type FetchHostReport struct {
	Host    HostID
	Address string
	SentAt  time.Duration
}

// HostReport answers a FetchHostReport.
type HostReport struct {
	Host   HostID
	SentAt time.Duration
	// OK is false when no answer came. Refused is then set when the host refused
	// the connection, as one without a listener does, and Replaced when another
	// process answers at its address.
	OK                bool
	ConnectionRefused bool
	AddressReused     bool
	// Sequence is the number of orders that the host has begun in this life.
	Sequence uint64
	State    HostState
}

// MaxReportLag is by how much what a host reports may be behind. The platform gives
// 200 ms; reports 300 ms old have been seen.
const MaxReportLag = 500 * time.Millisecond

// HostState is what a host says of itself in a report. The list of instances
// says the same after the host's next write to the store.
type HostState struct {
	Host HostID `cbor:"1,keyasint"`
	// StartID tells the lives of one id apart; 0 when the host does not say.
	StartID int64 `cbor:"2,keyasint,omitempty"`
	// LoadedModel is the model that the host has loaded, Staged those on it.
	LoadedModel  string     `cbor:"3,keyasint,omitempty"`
	StagedModels []string   `cbor:"4,keyasint,omitempty"`
	Membership   Membership `cbor:"5,keyasint"`
}
