package state

import (
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
)

// Input is an event that the decision core of a node processes.
type Input interface{ input() }

// Tick is the periodic timer input, fed every TickPeriod.
type Tick struct{}

// TickPeriod is the period of Tick.
const TickPeriod = 50 * time.Millisecond

// PeerLinkChanged reports that the link to a peer came up or went down.
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

// StoreReply is the reply to the StoreRequest with the same ID.
type StoreReply struct {
	ID     uint64
	Result StoreResult
	// Rows is the result of a read or a scan. Keys without a row are left out.
	Rows []StoreRow
	// Object is the result of an object read.
	Object []byte
}

// StoreResult is the outcome of a store request.
type StoreResult uint8

// Store results.
const (
	// StoreOK means that the request took effect.
	StoreOK StoreResult = iota
	// StoreConflict means that a condition failed and nothing was written.
	// Rows then holds the current rows of the condition keys.
	StoreConflict
	// StoreUnavailable means that the request had no effect.
	StoreUnavailable
	// StoreUnknown means that the answer was lost: the request may have taken
	// effect.
	StoreUnknown
)

// StoreRow is a row of the table service.
type StoreRow struct {
	Key string
	// Revision grows with each write of the row; 0 means that the row is absent.
	Revision uint64
	Value    []byte
}

// HostList is the platform's list of hosts, which lags behind the real state.
type HostList struct{ Hosts []ListedHost }

// ListedHost is an entry of the platform's list of hosts.
type ListedHost struct {
	ID         HostID     `json:"id"`
	Address    string     `json:"address"`
	DataCentre DataCentre `json:"data_centre"`
	Domain     DomainID   `json:"domain"`
	Leaving    bool       `json:"leaving"`
}

// ProbeResult is the result of the Probe of a host with the same SentAt.
type ProbeResult struct {
	Host   HostID
	SentAt time.Duration
	// OK is false when the host did not answer in time.
	OK     bool
	Answer ProbeAnswer
}

// LoadReport is the result of a FetchLoad.
type LoadReport struct {
	Target TargetID
	SentAt time.Duration
	OK     bool
	Answer LoadAnswer
	// CachedPrefixes lists the prompt prefixes that the target added to its cache
	// since the last report, EvictedPrefixes those that it evicted.
	CachedPrefixes  []uint64
	EvictedPrefixes []uint64
	// CacheEventsMissed is set when cache events since the last report were lost.
	CacheEventsMissed bool
}

// LookupResult is the result of a FetchLookup.
type LookupResult struct {
	Account        AccountID
	IdempotencyKey string
	// OK is false when the service did not answer.
	OK bool
	// Found means that the request was executed. Its absence proves nothing while
	// the request may still be in transit.
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

// RequestArrived is a caller's request after validation.
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
	// AtMostOnce is set when the request must not run more than once. Such a request
	// needs a claim.
	AtMostOnce     bool
	IdempotencyKey string
	BodyHash       string
	// Timeout is the time from arrival to the caller's deadline.
	Timeout time.Duration
	// CostTokens is the expected work in tokens.
	CostTokens int64
	// PrefixHashes are the hashes of the prompt's prefixes, shortest first.
	PrefixHashes []uint64
	// Resume is set when the caller resumes a generation. The request then goes only
	// to the target of the generation.
	Resume *ResumePoint
	// Routed is set for a request whose route is selected by host name and path.
	Routed *RoutedRequest
}

// IsIdempotent reports whether the request may be sent again after an attempt that
// may have run it. Model requests are idempotent. Requests to a plain service are
// idempotent if HTTP defines their method so and they are not declared otherwise.
func (a *RequestArrived) IsIdempotent() bool {
	if a.AtMostOnce {
		return false
	}
	return a.Kind == KindModel || slices.Contains(idempotentMethods, a.Method)
}

// idempotentMethods are the idempotent methods of RFC 9110, section 9.2.2.
var idempotentMethods = []string{"GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"}

// ResumePoint is an offset in a generation at an engine.
type ResumePoint struct {
	Target     TargetID
	Generation string
	Offset     int64
}

// AttemptStage is the kind of progress that an AttemptEvent reports.
type AttemptStage uint8

// Attempt stages.
const (
	// AttemptFirstByte reports the first part of the answer.
	AttemptFirstByte AttemptStage = iota
	// AttemptEnded reports the end of the attempt. It is the last event of each
	// attempt and is fed exactly once.
	AttemptEnded
	// AttemptStalled reports a stream without data for the duration of
	// StartAttempt.StallAfter, AttemptStallEnded that its events arrive again.
	AttemptStalled
	AttemptStallEnded
)

// AttemptFailure is the reason why an attempt ended without a complete answer.
type AttemptFailure uint8

// Attempt failures.
const (
	FailureNone AttemptFailure = iota
	// FailureConnect means that no connection could be established.
	FailureConnect
	// FailureConnectionLost means that the connection broke after the request was
	// sent.
	FailureConnectionLost
	// FailureInactivityTimeout means that no data arrived within the inactivity
	// timeout.
	FailureInactivityTimeout
	// FailureTargetRefused means that the target reported that it did not run the
	// request.
	FailureTargetRefused
	// FailureTargetError means that the target answered with an error.
	FailureTargetError
	// FailureCancelled means that the attempt was cancelled.
	FailureCancelled
	// FailureDecisionExpired means that this process was paused or delayed after the
	// routing decision, so that nothing was sent.
	FailureDecisionExpired
)

// AttemptEvent reports the progress of an attempt.
type AttemptEvent struct {
	Request RequestID
	Attempt int
	Stage   AttemptStage
	Failure AttemptFailure
	// Outcome is NotRun only if no byte was sent or the target reported it.
	Outcome apierror.Outcome
	Status  int
	// Offset is the end of the received part of the generation.
	Offset int64
	// Generation is the engine's ID of the generation, or empty until it is known.
	Generation string
	// AnswerStarted is set once a byte of the answer was sent to the caller.
	AnswerStarted bool
	// Answer is the complete answer to a request with AtMostOnce.
	Answer *Answer
	// Misdirected is set when another instance answered at the target's address.
	Misdirected bool
	// FaultyHost is the host that a refusal names as its cause.
	FaultyHost HostID
	// AnswerBuffered is set when the gateway keeps the target's complete answer until
	// the Reply, so that the caller can receive it if no further attempt follows.
	AnswerBuffered bool
	// EventCount is the number of stream events that arrived in this attempt.
	EventCount int
	// LongestGap is the longest time between two deliveries of events to the caller, over
	// all attempts. It is set when the attempt has ended.
	LongestGap time.Duration
	// InvalidAnswer is set if the target sent what is not its answer to this request, or more
	// than this node can hold. The target has not ended.
	InvalidAnswer bool
}

// statusOK is the HTTP status of an answer that has begun.
const statusOK = 200

// LostBeforeFirstEvent reports whether the attempt ended because its connection was
// lost after the head of an answer and before the first event. Other requests at a
// target that ends wait there without a head, or have events and began before.
func (ev AttemptEvent) LostBeforeFirstEvent() bool {
	return ev.LostBeforeAnswer() && ev.Status == statusOK
}

// LostBeforeAnswer reports whether the attempt ended because its connection was lost after
// the request was sent and before any event or a complete answer.
func (ev AttemptEvent) LostBeforeAnswer() bool {
	return ev.Stage == AttemptEnded && ev.Failure == FailureConnectionLost && ev.EventCount == 0 && !ev.InvalidAnswer
}

// TargetNotice reports what a target has said of itself in the header of any answer
// to this node.
type TargetNotice struct {
	Host HostID
	// StartID identifies the process to which the request was sent.
	StartID int64
	// Leaving is set when the target takes no new requests until it has ended.
	Leaving bool
	// Pause is how long the target wants no request from this node; 0 for no pause.
	Pause time.Duration
	// Limit is what the answer says about a limit of requests.
	Limit LimitStatement
	// SentAt is when the request was sent; 0 if unknown.
	SentAt time.Duration
}

// LimitStatement is what an answer of a target says about the requests that it takes.
type LimitStatement struct {
	// Named is set if the answer names a limit. Rate is then the number of requests per
	// second that the target takes from all nodes together.
	Named bool
	Rate  float64
	// None is set if the answer shows that the target names no limit. An answer that
	// shows neither leaves open whether there is one.
	None bool
}

// CallerDisconnected reports that a caller closed its connection.
type CallerDisconnected struct{ Request RequestID }

// OutcomeRequested requests the outcome of a request that any node may have
// accepted. The answer is an OutcomeReply with the same ID.
type OutcomeRequested struct {
	ID      uint64
	Account AccountID
	Request RequestID
}

// OperatorAction is the kind of an OperatorCommand.
type OperatorAction uint8

// Operator actions.
const (
	ActionApply OperatorAction = iota
	ActionPreset
	ActionDisable
	ActionEnable
	// ActionForget removes a node that is permanently gone from the registry.
	ActionForget
	// ActionLift lifts a quarantine.
	ActionLift
)

// OperatorCommand is a configuration change that an operator requests.
type OperatorCommand struct {
	ID       uint64
	Operator string
	// AtUnixMilli is the wall clock time for the audit record, in milliseconds since
	// the Unix epoch.
	AtUnixMilli int64
	Action      OperatorAction
	// Document is set for ActionApply.
	Document *Document
	// BaseVersion is the version on which the operator's plan is based; 0 accepts
	// any version.
	BaseVersion Version
	// Preset is set for ActionPreset.
	Preset string
	// DataCentre or Target is set for ActionDisable and ActionEnable.
	DataCentre DataCentre
	Target     TargetID
	// Node is set for ActionForget.
	Node NodeID
	// Trait is set for ActionLift.
	Trait Trait
}

// Shutdown requests a graceful shutdown of the node.
type Shutdown struct{}

// EngineOrderResult is the result of the EngineOrder with the same ID.
type EngineOrderResult struct {
	ID      uint64 `json:"Order"`
	Host    HostID
	OK      bool
	Refused bool
	// FencingToken is the token that the engine holds, if it refused the order.
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
func (TargetNotice) input()       {}
func (CallerDisconnected) input() {}
func (OutcomeRequested) input()   {}
func (OperatorCommand) input()    {}
func (Shutdown) input()           {}
func (EngineOrderResult) input()  {}
