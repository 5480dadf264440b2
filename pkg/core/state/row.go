package state

import (
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
)

// Self describes this node according to its settings.
type Self struct {
	ID          NodeID
	DataCentre  DataCentre
	Address     string
	Incarnation Incarnation
	// DrainNotice is how long a node that shuts down still accepts requests after it
	// reports that it is not ready, so that the load balancer notices.
	DrainNotice time.Duration
	// FirstStart is set when the whole installation starts for the first time, so
	// that no traffic has arrived yet.
	FirstStart bool
	// RetryRatio and RetryBase are the platform's bound on the retries of a service over
	// all nodes: a ratio to its requests and an absolute number, in 10 s.
	RetryRatio float64
	RetryBase  int
	// ProcessorShare is that of NodeEntry.
	ProcessorShare float64
	// PromptCacheRetention is how long targets are expected to keep the prefix of a
	// prompt after its last use; 0 if they keep none.
	PromptCacheRetention time.Duration
}

// Configuration is this node's copy of the configuration. Written by the
// configuration system.
type Configuration struct {
	Head     Head
	Document Document
	// Loaded is set once the node has a head from the platform or a majority.
	Loaded bool
	// EvidenceAt is the latest time on this node's clock for which there is evidence
	// that no newer version had been accepted. Negative means never.
	EvidenceAt time.Duration
	// Fresh is set when new work may be sent, as of the current step.
	Fresh bool
	// AcceptedVersion is the latest version known to be accepted.
	AcceptedVersion Version
	// PreviousNodes is the registry of the version before Head.
	PreviousNodes []NodeEntry
	// Synced is set once the platform or a majority has confirmed this copy. Until
	// then the node sends no work and counts towards no majority.
	Synced bool
	// PollAllPeers makes the membership system poll all nodes instead of its fan-out,
	// because a majority or the reports of all nodes are needed.
	PollAllPeers bool
}

// Peer is another entry daemon. Written by the membership system.
type Peer struct {
	ID          NodeID
	DataCentre  DataCentre
	Address     string
	Incarnation Incarnation
	Linked      bool
	// LastReplyAt is the send time of the last poll request that was answered.
	LastReplyAt time.Duration
	// Version is the configuration version that the peer reported at VersionAt.
	Version   Version
	VersionAt time.Duration
	// Synced, AcceptedVersion and EvidenceAt are the values reported with Version.
	// EvidenceAt is on this node's clock; negative means none.
	Synced          bool
	AcceptedVersion Version
	EvidenceAt      time.Duration
	// UnansweredSince is the send time of the first unanswered poll, or the time at
	// which the link went down; 0 when the last poll was answered.
	UnansweredSince time.Duration
	// Unreachable is set when the peer has not answered for the removal time.
	Unreachable bool
	// UnreachableNodes lists the nodes that the peer reports as unreachable.
	UnreachableNodes []NodeID
	// UnreachableDataCentres lists the data centres in which the peer reaches less
	// than half of the hosts that it probes. Its reports on dead members there are
	// ignored.
	UnreachableDataCentres []DataCentre
	Leaving                bool
	// Loads and Usage are the peer's own counts of requests in flight, sorted.
	Loads []TargetCount
	Usage []AccountValue
}

// Host is a host of the platform. Listed fields are written by the membership
// system, assignment fields by the placement system.
type Host struct {
	ID         HostID
	Address    string
	DataCentre DataCentre
	Domain     DomainID
	// Listed and Leaving come from the platform's list of hosts, which lags.
	Listed  bool
	Leaving bool
	// Probe is the last answer of the host's engine, dated ProbeAt by the send
	// time of the probe.
	Probe   ProbeAnswer
	ProbeAt time.Duration
	// UnansweredSince is the send time of the first unanswered probe since the last
	// answer; 0 when the last probe was answered.
	UnansweredSince time.Duration
	// Group and FencingToken are the assignment in table row "host/<id>".
	Group        GroupID
	FencingToken FencingToken
	Revision     uint64
}

// EnginePhase is the phase that the engine of a host reports.
type EnginePhase uint8

// Engine phases.
const (
	PhaseUnknown EnginePhase = iota
	PhaseEmpty
	PhaseLoading
	PhaseReady
	PhaseLeaving
)

// ProbeAnswer is the answer of a host's engine to a probe.
type ProbeAnswer struct {
	Incarnation  Incarnation  `cbor:"1,keyasint" json:"incarnation"`
	Phase        EnginePhase  `cbor:"2,keyasint" json:"phase"`
	Group        GroupID      `cbor:"3,keyasint" json:"group"`
	FencingToken FencingToken `cbor:"4,keyasint" json:"fence"`
	// Model, Version and Adapters are those that the engine has loaded.
	Model    string   `cbor:"5,keyasint" json:"model"`
	Version  string   `cbor:"6,keyasint" json:"version"`
	Adapters []string `cbor:"7,keyasint" json:"adapters"`
	// Latency is the round trip of the probe.
	Latency time.Duration `cbor:"8,keyasint" json:"-"`
	// ChecksFencingToken is set when the engine refuses outdated fencing tokens.
	ChecksFencingToken bool `cbor:"9,keyasint" json:"checks_fence"`
}

// MatchesFencingToken reports whether the engine was loaded by an order with the
// given fencing token. An engine that ignores the tokens may report none.
func (a *ProbeAnswer) MatchesFencingToken(token FencingToken) bool {
	return a.FencingToken == token || !a.ChecksFencingToken && a.FencingToken == 0
}

// Group is a replica group as stored in table row "group/<id>", with its health.
// Row fields are written by the placement system, health fields by the membership
// system.
type Group struct {
	ID           GroupID
	Members      []HostID
	Leader       HostID
	Domain       DomainID
	FencingToken FencingToken
	Phase        GroupPhase
	Revision     uint64
	// Healthy is set while all members answer and have loaded together. HealthyAt is
	// the time of the oldest probe behind the last healthy report.
	Healthy   bool
	HealthyAt time.Duration
	// HealthKnown is set once a watcher or this node has reported the health of the
	// group, healthy or not.
	HealthKnown bool
	// Incarnations are the incarnations of the members, in the order of Members.
	Incarnations []Incarnation
	// Straggler is set when a member is much slower than the others.
	Straggler bool
	// DeadMembers lists the members that all live watchers of the group have found
	// dead for the repair delay. It is empty while evidence is missing.
	DeadMembers []HostID
}

// GroupPhase is the phase of a replica group.
type GroupPhase uint8

// Group phases.
const (
	GroupPending GroupPhase = iota
	GroupLoading
	GroupServing
	GroupDissolved
)

// GroupRow is the value of table row "group/<id>".
type GroupRow struct {
	Members      []HostID     `cbor:"1,keyasint"`
	Domain       DomainID     `cbor:"2,keyasint"`
	FencingToken FencingToken `cbor:"3,keyasint"`
	Phase        GroupPhase   `cbor:"4,keyasint"`
	Op           OpID         `cbor:"5,keyasint"`
	// DataCentre is the data centre of the members. The holder of its placement lease
	// owns the row.
	DataCentre DataCentre `cbor:"6,keyasint,omitempty"`
	// Model, Version, Adapters and Role are those that the members must serve.
	Model    string   `cbor:"7,keyasint,omitempty"`
	Version  string   `cbor:"8,keyasint,omitempty"`
	Adapters []string `cbor:"9,keyasint,omitempty"`
	Role     string   `cbor:"10,keyasint,omitempty"`
	// Order is the order that brings the members into this state: OrderLoad, or
	// OrderRole when only the role changed.
	Order OrderKind `cbor:"11,keyasint,omitempty"`
}

// HostRow is the value of table row "host/<id>".
type HostRow struct {
	Group        GroupID      `cbor:"1,keyasint"`
	FencingToken FencingToken `cbor:"2,keyasint"`
	Op           OpID         `cbor:"3,keyasint"`
}

// LeaseRow is the value of table row "lease/<data centre>".
type LeaseRow struct {
	Holder       NodeID        `cbor:"1,keyasint"`
	Incarnation  Incarnation   `cbor:"2,keyasint"`
	FencingToken FencingToken  `cbor:"3,keyasint"`
	Renewal      uint64        `cbor:"4,keyasint"`
	Duration     time.Duration `cbor:"5,keyasint"`
	Op           OpID          `cbor:"6,keyasint"`
	// Era is the era of the store in which the lease was acquired. A lease of an
	// earlier era may have come back with a copy of the store and is not valid.
	Era uint64 `cbor:"7,keyasint,omitempty"`
	// EraSettled is set once the operator and the instances have had time to write again
	// what the store had lost at the start of the era.
	EraSettled bool `cbor:"8,keyasint,omitempty"`
}

// Lease is this node's view of the placement lease of a data centre. Written
// by the placement system.
type Lease struct {
	DataCentre DataCentre
	Row        LeaseRow
	Revision   uint64
	// RenewalSeenAt is when this node first saw the latest renewal.
	RenewalSeenAt time.Duration
	// ValidUntil is the time until which this node may act as the holder, counted
	// from the send time of its last successful renewal.
	ValidUntil time.Duration
}

// Target is a destination of requests. Specification fields are written by
// the routing system from the configuration, load fields from reports and
// attempts.
type Target struct {
	ID         TargetID
	Group      GroupID
	Service    string
	DataCentre DataCentre
	Address    string
	Model      string
	Version    string
	Adapters   []string
	ColdLimit  int
	WarmLimit  int
	// Report is the last load report. ReportAt is the send time of its request.
	Report   LoadAnswer
	ReportAt time.Duration
	// Suspect is set by a connection error until a newer health report of the group,
	// or load report of a service replica, shows that the target works.
	Suspect bool
	// Limit bounds the target's requests in flight over all nodes; Share is this
	// node's part of it.
	Limit int
	Share int
	// InFlight counts the attempts of this node, PeerInFlight those that peers
	// reported.
	InFlight     int
	PeerInFlight int
	// SentSinceReport counts attempts that were started too late to be included in
	// the last report.
	SentSinceReport int
	// ColdBaseline is the count of completed requests at which the target last became
	// cold in its current incarnation. Earlier work does not raise the limit.
	ColdBaseline int64
	// SuspectAt is when Suspect was set.
	SuspectAt time.Duration
	// Leaving is set while the target or one of its hosts is shutting down.
	Leaving bool
	// Disabled is set while the configuration assigns the target no new work.
	Disabled bool
}

// LoadAnswer is a target's load report.
type LoadAnswer struct {
	Incarnation Incarnation `cbor:"1,keyasint" json:"incarnation"`
	// Completed counts the requests finished in this incarnation.
	Completed int64 `cbor:"2,keyasint" json:"completed"`
	Running   int   `cbor:"3,keyasint" json:"running"`
	Waiting   int   `cbor:"4,keyasint" json:"waiting"`
	// Cold is set by a target that reports itself as cold.
	Cold bool `cbor:"5,keyasint" json:"cold"`
	// Leaving is set by a target that is shutting down.
	Leaving bool `cbor:"6,keyasint" json:"leaving"`
}

// Account is a client account with the limits in force. Specification fields
// are written by the configuration system, usage by the admission system.
type Account struct {
	ID          AccountID
	KeyHash     string
	Weight      int
	Concurrency int
	InFlight    int
	// PeerInFlight is the count that peers last reported.
	PeerInFlight int
	Queued       int
	// Deficit is the account's credit in the fair queue, in tokens.
	Deficit int64
}

// RequestKind distinguishes model requests from requests to plain services.
type RequestKind uint8

// Request kinds.
const (
	KindModel RequestKind = iota
	KindService
)

// RequestPhase is the phase of a request.
type RequestPhase uint8

// Request phases.
const (
	RequestQueued RequestPhase = iota
	// RequestClaiming means that the request waits for the claim row.
	RequestClaiming
	// RequestClaimed means that the request holds its claim and may be sent once.
	RequestClaimed
	RequestSent
	RequestEnded
)

// SentAttempt is an attempt that was sent to a target.
type SentAttempt struct {
	Number  int
	Target  TargetID
	StartID int64
	SentAt  time.Duration
}

// Request is a request of a caller. Arrival fields never change. Phase, Target and
// Attempt are written by the admission system through its dispatch, claim fields by
// the claims system, and the results of attempts by the retry system. The end
// fields are written only by EndWithRefusal and EndWithAnswer.
type Request struct {
	Arrival RequestArrived
	Phase   RequestPhase
	// ArrivedAt and Deadline are on this node's clock.
	ArrivedAt time.Duration
	Deadline  time.Duration
	Target    TargetID
	Attempt   int
	SentAt    time.Duration
	// TargetStartID identifies the process of Target to which the last attempt was
	// sent. Set for routed requests.
	TargetStartID int64
	// Fallbacks are stalled attempts that are still open beside the last one. Written by
	// the dispatch system.
	Fallbacks []SentAttempt
	// TriedTargets lists the targets of failed attempts.
	TriedTargets []TargetID
	// AnswerStarted is set once a byte of the answer was sent to the caller.
	AnswerStarted bool
	// Generation and Offset are the resume point at the engine.
	Generation         string
	Offset             int64
	Resumes            int
	Outcome            apierror.Outcome
	EndedAt            time.Duration
	CallerDisconnected bool
	// ClaimStatus is the status of the request's claim.
	ClaimStatus ClaimStatus
	// LastEndedAttempt is the number of the last attempt that ended. Written by the
	// retry system.
	LastEndedAttempt int
	// MayHaveRun is set once an attempt ended with an outcome other than not run.
	// Written by the retry system.
	MayHaveRun bool
	// NextStep is the action that follows the end of attempt LastEndedAttempt, not
	// before NextStepAt.
	NextStep   NextStep
	NextStepAt time.Duration
	// Route is the route of a routed request.
	Route *Route
	// Account is the client account of a routed request; empty without a key.
	Account AccountID
	// Service is the service that a routed request goes to.
	Service string
	// Traits holds what a routed request may have in common with others that end their
	// targets.
	Traits []Trait
}

// ClaimPhase is the phase of a claim.
type ClaimPhase uint8

// Claim phases.
const (
	ClaimNone ClaimPhase = iota
	ClaimHeld
	ClaimNotRun
	ClaimDone
	ClaimUnknown
)

// ClaimRow is the value of table row "claim/<account>/<key>".
type ClaimRow struct {
	Phase       ClaimPhase  `cbor:"1,keyasint"`
	BodyHash    string      `cbor:"2,keyasint"`
	Holder      NodeID      `cbor:"3,keyasint"`
	Incarnation Incarnation `cbor:"4,keyasint"`
	Request     RequestID   `cbor:"5,keyasint"`
	Op          OpID        `cbor:"6,keyasint"`
	Answer      *Answer     `cbor:"7,keyasint,omitempty"`
	// AnswerObjectKey is the key of the answer in the object store when it is too
	// large for a row.
	AnswerObjectKey string `cbor:"8,keyasint,omitempty"`
	Service         string `cbor:"9,keyasint,omitempty"`
}

// Claim is this node's view of a claim row. Written by the claims system.
type Claim struct {
	Row      ClaimRow
	Revision uint64
	// Stored is set when the row's phase is written in the table service.
	Stored bool
}

// Answer is the complete answer of a plain service.
type Answer struct {
	Status      int    `cbor:"1,keyasint"`
	ContentType string `cbor:"2,keyasint"`
	Body        []byte `cbor:"3,keyasint"`
}
