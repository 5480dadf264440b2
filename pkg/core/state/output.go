package state

import (
	"log/slog"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

// Output is an action that the decision core requests from its node.
type Output interface{ output() }

// SendPeer sends a message over the link to a peer. Without a link the message is
// dropped.
type SendPeer struct {
	To      NodeID
	Message Message
}

// SetPeers sets the peers with which the node maintains links.
type SetPeers struct {
	Peers []NodeEntry
	// DialAtOnce is set if the peers do not dial this node. Otherwise the node with the
	// higher ID waits before it dials.
	DialAtOnce bool
}

// StoreRequest is a request to the platform's stores. Exactly one of the
// operations is set.
type StoreRequest struct {
	ID       uint64
	Read     []string
	Scan     string
	Transact *Transaction
	// PutObject and GetObject access the object store.
	PutObject *Object
	GetObject string
}

// Transaction writes all rows atomically if all conditions hold.
type Transaction struct {
	Conditions []Condition
	Writes     []Write
}

// Condition requires a row to have a revision; 0 requires that the row is absent.
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

// FetchHosts requests the platform's list of hosts. The answer is a HostList.
type FetchHosts struct{}

// Probe requests the state of a host's engine. The answer is a ProbeResult with the
// same SentAt.
type Probe struct {
	Host    HostID
	Address string
	SentAt  time.Duration
}

// FetchLoad requests the load report and the cache events of a target. The answer
// is a LoadReport with the same SentAt.
type FetchLoad struct {
	Target  TargetID
	Address string
	SentAt  time.Duration
}

// FetchLookup looks up at a plain service whether a request with a key was executed.
// The answer is a LookupResult.
type FetchLookup struct {
	Account        AccountID
	IdempotencyKey string
	Service        string
	Address        string
	Path           string
}

// OrderKind is the operation that an EngineOrder requests.
type OrderKind uint8

// Order kinds.
const (
	OrderLoad OrderKind = iota
	OrderUnload
	OrderRole
)

// EngineOrder is an order to the engine on a host. An engine that checks fencing
// tokens refuses an order with a lower token than it holds.
type EngineOrder struct {
	ID           uint64 `json:"Order"`
	Host         HostID
	Address      string
	Kind         OrderKind
	Group        GroupID
	Members      []HostID
	FencingToken FencingToken `json:"Fence"`
	// TTL is how long after it was sent the order may still take effect.
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
	// Resume continues a generation instead of starting one.
	Resume *ResumePoint
	// NewConnection forbids the use of a pooled connection and any replay.
	NewConnection bool
	Timeout       time.Duration
	// DecidedAt is the node's time of the decision. An attempt that is delayed after
	// that, as in a paused process, is not sent, because the evidence for the
	// decision has expired.
	DecidedAt time.Duration
	// ExpectedInstance is the process that must answer. Account is the client account
	// that is sent to it. Both are set for routed requests only.
	ExpectedInstance HostID
	// StartID identifies the process of ExpectedInstance.
	StartID int64
	Account AccountID
	// StallAfter is the time without events after which a stream counts as stalled;
	// 0 disables the detection.
	StallAfter time.Duration
	// FirstEventStallAfter is the corresponding time until the first event.
	FirstEventStallAfter time.Duration
	// EndsWithCaller is set if the attempt is not sent, or ends at once, when the caller has
	// closed its connection.
	EndsWithCaller bool
	// KeepPrevious is set if the previous attempt stays open. The attempt that delivers
	// the next event to the caller continues the answer.
	KeepPrevious bool
}

// CancelAttempt cancels an attempt.
type CancelAttempt struct {
	Request RequestID
	Attempt int
}

// Reply ends a request towards its caller. At most one of Refusal and Answer is
// set; neither is set when the attempt has delivered a complete answer itself.
type Reply struct {
	Request RequestID
	Refusal *apierror.Error
	Answer  *Answer
	// Replayed is set when Answer is the stored answer of an earlier request.
	Replayed bool
	// UseBufferedAnswer is set when the caller receives the buffered answer of the
	// last attempt.
	UseBufferedAnswer bool
}

// OutcomeReply answers the OutcomeRequested with the same ID. Answer.Found is false
// when no node that answered has a record of the request.
type OutcomeReply struct {
	ID     uint64
	Answer OutcomeAnswer
	// Node is the node that accepted the request.
	Node NodeID
}

// OperatorReply answers the OperatorCommand with the same ID.
type OperatorReply struct {
	ID      uint64
	Version Version
	// Accepted is set when the version is in force on all nodes.
	Accepted bool
	// UnconfirmedNodes lists the nodes that have not reported the version.
	UnconfirmedNodes []NodeID
	Error            *apierror.Error
}

// LogEvent writes a numbered log event.
type LogEvent struct {
	Event event.ID
	Attrs []slog.Attr
}

// SetReadiness sets the readiness that the node reports to the load balancer.
type SetReadiness struct{ Ready bool }

// StopAccepting closes the listeners for callers.
type StopAccepting struct{}

// ExitReady reports that the process may exit.
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
