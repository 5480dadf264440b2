package state

import (
	"log/slog"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

// Output is one thing that a node wants done.
type Output interface{ output() }

// SendPeer sends a message over the link to a peer. It is dropped without a
// link.
type SendPeer struct {
	To      NodeID
	Message Message
}

// SetPeers says which peers to keep links to.
type SetPeers struct{ Peers []NodeEntry }

// StoreRequest is a request to the platform's stores. Exactly one of the
// operations is set.
type StoreRequest struct {
	ID       uint64
	Read     []string
	Scan     string
	Transact *Transaction
	// PutObject and GetObject use the object store.
	PutObject *Object
	GetObject string
}

// Transaction writes all rows or none.
type Transaction struct {
	Conditions []Condition
	Writes     []Write
}

// Condition demands the revision of a row; 0 demands that it is absent.
type Condition struct {
	Key      string
	Revision uint64
}

// Write sets a row, or deletes it when Value is nil.
type Write struct {
	Key   string
	Value []byte
}

// Object is an object of the object store.
type Object struct {
	Key   string
	Value []byte
}

// FetchHosts asks for the platform's list of hosts.
type FetchHosts struct{}

// Probe asks a host how it is. The answer is a ProbeResult with the same
// SentAt.
type Probe struct {
	Host    HostID
	Address string
	SentAt  time.Duration
}

// FetchLoad asks a target for its load report and cache events.
type FetchLoad struct {
	Target  TargetID
	Address string
	SentAt  time.Duration
}

// FetchLookup asks a plain service whether a request with a key was executed.
// The answer is a LookupResult.
type FetchLookup struct {
	Account        AccountID
	IdempotencyKey string
	Service        string
	Address        string
	Path           string
}

// OrderKind is what an engine is told to do.
type OrderKind uint8

// Order kinds.
const (
	OrderLoad OrderKind = iota
	OrderUnload
	OrderRole
)

// EngineOrder is an order to the engine on a host. An engine that checks
// fencing numbers refuses one lower than it holds.
type EngineOrder struct {
	ID           uint64 `json:"Order"`
	Host         HostID
	Address      string
	Kind         OrderKind
	Group        GroupID
	Members      []HostID
	FencingToken FencingToken `json:"Fence"`
	// TTL is for how long the order may still take effect.
	TTL      time.Duration `json:"Expiry"`
	Model    string
	Version  string
	Adapters []string
	Role     string
}

// StartAttempt sends a request to a target.
type StartAttempt struct {
	Request RequestID
	Attempt int
	Target  TargetID
	Address string
	// Resume continues a generation in place of starting one.
	Resume *ResumePoint
	// NewConnection forbids a pooled connection and any replay.
	NewConnection bool
	Timeout       time.Duration
	// DecidedAt is the node's time of the decision. An attempt that was held up
	// since then, as in a paused process, is not sent: the evidence behind the
	// decision has ended.
	DecidedAt time.Duration
	// ExpectedInstance is the process that must answer, Account the client account that
	// it is told. Both are set for routed requests only.
	ExpectedInstance HostID
	Account          AccountID
	// StallAfter is the silence after which a stream counts as stalled; 0 turns
	// the report off.
	StallAfter time.Duration
	// FirstEventStallAfter is the same for the time until the first event.
	FirstEventStallAfter time.Duration
}

// CancelAttempt stops an attempt.
type CancelAttempt struct {
	Request RequestID
	Attempt int
}

// Reply ends a request towards its caller. Exactly one of Refusal and Answer
// is set, or neither when the attempt's own answer was whole.
type Reply struct {
	Request RequestID
	Refusal *apierror.Error
	Answer  *Answer
	// Replayed is set when Answer was stored by an earlier request.
	Replayed bool
	// UseBufferedAnswer is set when the caller gets the answer that the last attempt held.
	UseBufferedAnswer bool
}

// OutcomeReply answers an OutcomeAsked. Answer.Known is false when no node
// that answered knows the request.
type OutcomeReply struct {
	ID     uint64
	Answer OutcomeAnswer
	// Node is the node that took the request.
	Node NodeID
}

// OperatorReply answers an OperatorCommand.
type OperatorReply struct {
	ID      uint64
	Version Version
	// Accepted is whether the version is in force everywhere.
	Accepted bool
	// UnconfirmedNodes lists the nodes that have not reported it.
	UnconfirmedNodes []NodeID
	Error            *apierror.Error
}

// LogEvent is a numbered log event.
type LogEvent struct {
	Event event.ID
	Attrs []slog.Attr
}

// SetReadiness says whether the balancer may send requests here.
type SetReadiness struct{ Ready bool }

// StopAccepting says that the listeners of callers close.
type StopAccepting struct{}

// ExitReady says that the process may exit.
type ExitReady struct{}

func (SendPeer) output()      {}
func (SetPeers) output()      {}
func (StoreRequest) output()  {}
func (FetchHosts) output()    {}
func (Probe) output()         {}
func (FetchLoad) output()     {}
func (FetchLookup) output()   {}
func (EngineOrder) output()   {}
func (StartAttempt) output()  {}
func (CancelAttempt) output() {}
func (Reply) output()         {}
func (OutcomeReply) output()  {}
func (OperatorReply) output() {}
func (LogEvent) output()      {}
func (SetReadiness) output()  {}
func (StopAccepting) output() {}
func (ExitReady) output()     {}
