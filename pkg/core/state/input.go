package state

import (
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
)

// Input is one thing that happened to a node.
type Input interface{ input() }

// Tick is fed every TickPeriod.
type Tick struct{}

// TickPeriod is the period of Tick.
const TickPeriod = 50 * time.Millisecond

// PeerLinkChanged says that the link to a peer came up or went down.
type PeerLinkChanged struct {
	Peer        NodeID
	Incarnation Incarnation
	Up          bool
}

// PeerMessage is a message from a peer over its link.
type PeerMessage struct {
	From    NodeID
	Message Message
}

// StoreReply answers a StoreRequest.
type StoreReply struct {
	ID     uint64
	Result StoreResult
	// Rows answers a read or a scan. A key without a row is absent.
	Rows []StoreRow
	// Object answers an object read.
	Object []byte
}

// StoreResult is the outcome of a store request.
type StoreResult uint8

// Store results.
const (
	// StoreOK means that the request took effect.
	StoreOK StoreResult = iota
	// StoreConflict means that a condition failed and nothing was written.
	// Rows then holds the present rows of the condition keys.
	StoreConflict
	// StoreUnavailable means that the request had no effect.
	StoreUnavailable
	// StoreUnknown means that the answer was lost: it may have taken effect.
	StoreUnknown
)

// StoreRow is a row of the table service.
type StoreRow struct {
	Key string
	// Revision grows with each write of the row; 0 means absent.
	Revision uint64
	Value    []byte
}

// HostList is the platform's list of hosts, which lags.
type HostList struct{ Hosts []ListedHost }

// ListedHost is an entry of the platform's list.
type ListedHost struct {
	ID         HostID     `json:"id"`
	Address    string     `json:"address"`
	DataCentre DataCentre `json:"data_centre"`
	Domain     DomainID   `json:"domain"`
	Leaving    bool       `json:"leaving"`
}

// ProbeResult answers a Probe of a host.
type ProbeResult struct {
	Host   HostID
	SentAt time.Duration
	// OK is false when the host did not answer in time.
	OK     bool
	Answer ProbeAnswer
}

// LoadReport is the answer to a load request of a target.
type LoadReport struct {
	Target TargetID
	SentAt time.Duration
	OK     bool
	Answer LoadAnswer
	// CachedPrefixes lists prefixes that the target now holds; Evicted those it lost.
	CachedPrefixes  []uint64
	EvictedPrefixes []uint64
	// CacheEventsMissed is set when cache events were missed since the last report.
	CacheEventsMissed bool
}

// LookupResult answers a FetchLookup.
type LookupResult struct {
	Account        AccountID
	IdempotencyKey string
	// OK is false when the service did not answer.
	OK bool
	// Found means that the request was executed. The opposite is no proof while
	// the request may still be on its way.
	Found  bool
	Answer *Answer
}

// Priority orders the requests of one account.
type Priority uint8

// Priorities, most urgent first.
const (
	PriorityInteractive Priority = iota
	PriorityNormal
	PriorityBatch
)

// RequestArrived is a request of a caller that passed the checks of its form.
type RequestArrived struct {
	ID       RequestID
	Account  AccountID
	Kind     RequestKind
	Model    string
	Version  string
	Adapter  string
	Service  string
	Method   string
	Path     string
	Priority Priority
	Stream   bool
	// AtMostOnce is set when the request may not be repeated.
	AtMostOnce     bool
	IdempotencyKey string
	BodyHash       string
	// Timeout is the caller's deadline from now.
	Timeout time.Duration
	// CostTokens is the expected work in tokens.
	CostTokens int64
	// PrefixHashes are hashes of the prompt's prefixes, shortest first.
	PrefixHashes []uint64
	// Resume is set when the caller resumes a generation: the request goes to
	// that target or to none.
	Resume *ResumePoint
	// Routed is set for a request whose host name and path choose its route.
	Routed *RoutedRequest
}

// IsIdempotent reports whether the request may be sent again after it may have
// run. Model requests may. A request to a plain service may by its method, as
// HTTP defines idempotent methods, unless it is declared otherwise.
func (a *RequestArrived) IsIdempotent() bool {
	if a.AtMostOnce {
		return false
	}
	return a.Kind == KindModel || slices.Contains(idempotentMethods, a.Method)
}

// idempotentMethods are those of RFC 9110, section 9.2.2.
var idempotentMethods = []string{"GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"}

// ResumePoint is a place in a generation at an engine.
type ResumePoint struct {
	Target     TargetID
	Generation string
	Offset     int64
}

// AttemptStage is how far an attempt came.
type AttemptStage uint8

// Attempt stages.
const (
	// AttemptFirstByte is fed when the first part of the answer arrived.
	AttemptFirstByte AttemptStage = iota
	// AttemptEnded is fed once for each attempt, as its last event.
	AttemptEnded
	// AttemptStalled is fed when a stream has carried nothing for the time that
	// StartAttempt.StallAfter gives, AttemptFlowing when it carries events again.
	AttemptStalled
	AttemptStallEnded
)

// AttemptFailure says why an attempt ended without a whole answer.
type AttemptFailure uint8

// Attempt failures.
const (
	FailureNone AttemptFailure = iota
	// FailureConnect means that no connection could be made.
	FailureConnect
	// FailureConnectionLost means that the connection broke after sending.
	FailureConnectionLost
	// FailureInactivityTimeout means that nothing arrived for the inactivity bound.
	FailureInactivityTimeout
	// FailureTargetRefused means that the target said that it did not run the request.
	FailureTargetRefused
	// FailureTargetError means that the target answered with an error.
	FailureTargetError
	// FailureCancelled means that the attempt was cancelled.
	FailureCancelled
	// FailureDecisionExpired means that this node was held up after the decision and sent
	// nothing.
	FailureDecisionExpired
)

// AttemptEvent is progress of an attempt.
type AttemptEvent struct {
	Request RequestID
	Attempt int
	Stage   AttemptStage
	Failure AttemptFailure
	// Outcome is NotRun only where no byte left or the target said so.
	Outcome apierror.Outcome
	Status  int
	// Offset is the end of what was received of the generation.
	Offset int64
	// Generation is the engine's id of the generation, once known.
	Generation string
	// AnswerStarted is set once an answer byte went to the caller.
	AnswerStarted bool
	// Answer is the whole answer of a request with Once.
	Answer *Answer
	// Misdirected is set when another instance answers at the target's address.
	Misdirected bool
	// FaultyHost is the host that a refusal names as the cause.
	FaultyHost HostID
	// AnswerBuffered is set when a whole answer of the target is held back until the reply,
	// so that it can be given to the caller if no further attempt follows.
	AnswerBuffered bool
	// EventCount is the number of events of a stream that arrived in this attempt.
	EventCount int
}

// CallerDisconnected says that a caller closed its connection.
type CallerDisconnected struct{ Request RequestID }

// OutcomeRequested asks for the outcome of a request, which any node may have
// taken. The answer is an OutcomeFound with the same ID.
type OutcomeRequested struct {
	ID      uint64
	Account AccountID
	Request RequestID
}

// OperatorAction is what an operator asks for.
type OperatorAction uint8

// Operator actions.
const (
	ActionApply OperatorAction = iota
	ActionPreset
	ActionDisable
	ActionEnable
	// ActionForget states that a node is gone for good.
	ActionForget
)

// OperatorCommand is a change that an operator asks for.
type OperatorCommand struct {
	ID       uint64
	Operator string
	// AtUnixMilli is the wall clock for the audit trail.
	AtUnixMilli int64
	Action      OperatorAction
	// Document is set for ActionApply.
	Document *Document
	// BaseVersion is the version that the operator's plan was made against; 0 for any.
	BaseVersion Version
	// Preset is set for ActionPreset.
	Preset string
	// DataCentre or Target is set for ActionOut and ActionIn.
	DataCentre DataCentre
	Target     TargetID
	// Node is set for ActionForget.
	Node NodeID
}

// Shutdown asks for a graceful shutdown.
type Shutdown struct{}

// EngineOrderResult answers an EngineOrder.
type EngineOrderResult struct {
	ID      uint64 `json:"Order"`
	Host    HostID
	OK      bool
	Refused bool
	// FencingToken is the number that the engine holds, when it refused.
	FencingToken FencingToken `json:"Fence"`
}

func (Tick) input()               {}
func (PeerLinkChanged) input()    {}
func (PeerMessage) input()        {}
func (StoreReply) input()         {}
func (HostList) input()           {}
func (ProbeResult) input()        {}
func (LoadReport) input()         {}
func (LookupResult) input()       {}
func (RequestArrived) input()     {}
func (AttemptEvent) input()       {}
func (CallerDisconnected) input() {}
func (OutcomeRequested) input()   {}
func (OperatorCommand) input()    {}
func (Shutdown) input()           {}
func (EngineOrderResult) input()  {}
