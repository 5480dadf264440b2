package state

import (
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
)

// Self is this node as its settings describe it.
type Self struct {
	ID          NodeID
	DataCentre  DataCentre
	Address     string
	Incarnation Incarnation
	// DrainNotice is how long a node that shuts down still accepts requests
	// after its readiness went off, so that the balancer has seen it.
	DrainNotice time.Duration
	// FirstStart is set when the whole installation starts for the first time, so
	// that no traffic has arrived yet.
	FirstStart bool
}

// Configuration is this node's copy of the configuration. Written by the
// configuration system.
type Configuration struct {
	Head     Head
	Document Document
	// Loaded is false until the node has a head from the platform or a majority.
	Loaded bool
	// EvidenceAt is the latest time on this node's clock for which it is known
	// that no newer version had been accepted. Negative means never.
	EvidenceAt time.Duration
	// Fresh is whether new work may be sent, as of the present step.
	Fresh bool
	// AcceptedVersion is the latest version known to be accepted.
	AcceptedVersion Version
	// PreviousNodes is the registry of the version before Head.
	PreviousNodes []NodeEntry
	// Synced is set once the platform or a majority has confirmed the copy.
	// Until then a node sends no work and counts towards no majority.
	Synced bool
	// PollAllPeers asks the membership system to poll every node and not only its
	// fan-out, because a majority or reports of all nodes are needed.
	PollAllPeers bool
}

// Peer is another entry daemon. Written by the membership system.
type Peer struct {
	ID          NodeID
	DataCentre  DataCentre
	Address     string
	Incarnation Incarnation
	Linked      bool
	// LastReplyAt dates the last poll reply by the send time of its request.
	LastReplyAt time.Duration
	// Version is the configuration version that it reported, dated VersionAt.
	Version   Version
	VersionAt time.Duration
	// Synced, Accepted and EvidenceAt are what it reported with Version.
	// EvidenceAt is on this node's clock; negative means none.
	Synced          bool
	AcceptedVersion Version
	EvidenceAt      time.Duration
	// UnansweredSince is the send time of the first poll without an answer, or the
	// time since when there is no link; 0 when the last poll was answered.
	UnansweredSince time.Duration
	// Unreachable is set when the peer has been silent for the removal time.
	Unreachable bool
	// UnreachableNodes lists the nodes that are unreachable for the peer.
	UnreachableNodes []NodeID
	// UnreachableDataCentres lists the data centres of which the peer reaches less than half of
	// the hosts that it probes. It is no witness of dead members there.
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
	// Listed and Leaving come from the platform's lagging list.
	Listed  bool
	Leaving bool
	// Probe is the last answer of the host's engine, dated ProbeAt by the send
	// time of the probe.
	Probe   ProbeAnswer
	ProbeAt time.Duration
	// UnansweredSince is the send time of the first probe without an answer since
	// the last answer; 0 when the last probe was answered.
	UnansweredSince time.Duration
	// Group and Fence are the assignment in table row "host/<id>".
	Group        GroupID
	FencingToken FencingToken
	Revision     uint64
}

// EnginePhase is the phase that a member reports.
type EnginePhase uint8

// Engine phases.
const (
	PhaseUnknown EnginePhase = iota
	PhaseEmpty
	PhaseLoading
	PhaseReady
	PhaseLeaving
)

// ProbeAnswer is what a member host says about itself.
type ProbeAnswer struct {
	Incarnation  Incarnation  `cbor:"1,keyasint" json:"incarnation"`
	Phase        EnginePhase  `cbor:"2,keyasint" json:"phase"`
	Group        GroupID      `cbor:"3,keyasint" json:"group"`
	FencingToken FencingToken `cbor:"4,keyasint" json:"fence"`
	// Model, Version and Adapters are what is loaded.
	Model    string   `cbor:"5,keyasint" json:"model"`
	Version  string   `cbor:"6,keyasint" json:"version"`
	Adapters []string `cbor:"7,keyasint" json:"adapters"`
	// Latency is the round trip of the probe.
	Latency time.Duration `cbor:"8,keyasint" json:"-"`
	// ChecksFencingToken is whether the engine refuses an old fencing number.
	ChecksFencingToken bool `cbor:"9,keyasint" json:"checks_fence"`
}

// MatchesFencingToken reports whether the engine was loaded by an order with a fencing
// number. An engine that ignores the numbers may report none.
func (a *ProbeAnswer) MatchesFencingToken(fence FencingToken) bool {
	return a.FencingToken == fence || !a.ChecksFencingToken && a.FencingToken == 0
}

// Group is a replica group as the table service has it ("group/<id>"), with
// the verdict on it. Row fields are written by the placement system, verdict
// fields by the membership system.
type Group struct {
	ID           GroupID
	Members      []HostID
	Leader       HostID
	Domain       DomainID
	FencingToken FencingToken
	Phase        GroupPhase
	Revision     uint64
	// Healthy is the last verdict, dated WholeAt by the oldest probe behind it.
	Healthy   bool
	HealthyAt time.Duration
	// HealthKnown is set once a watcher or this node has a verdict, whole or not.
	HealthKnown bool
	// Incarnations are those of the members, in the order of Members.
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
	// DataCentre is that of the members: the holder of its lease owns the row.
	DataCentre DataCentre `cbor:"6,keyasint,omitempty"`
	// Model, Version, Adapters and Role are what the members are to serve.
	Model    string   `cbor:"7,keyasint,omitempty"`
	Version  string   `cbor:"8,keyasint,omitempty"`
	Adapters []string `cbor:"9,keyasint,omitempty"`
	Role     string   `cbor:"10,keyasint,omitempty"`
	// Order is what brings the members into this state: OrderLoad, or
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
}

// Lease is this node's view of the placement lease of a data centre. Written
// by the placement system.
type Lease struct {
	DataCentre DataCentre
	Row        LeaseRow
	Revision   uint64
	// RenewalSeenAt is when this node first saw the present renewal.
	RenewalSeenAt time.Duration
	// HeldUntil is until when this node may act as the holder, counted from
	// the send time of its last renewal that succeeded.
	HeldUntil time.Duration
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
	// Report is the last load report, dated ReportAt by its send time.
	Report   LoadAnswer
	ReportAt time.Duration
	// Suspect is set by a connection error until the next good probe.
	Suspect bool
	// Limit is what the target bears over all nodes; Share is this node's part.
	Limit int
	Share int
	// InFlight counts the attempts of this node; PeerInFlight what peers said.
	InFlight     int
	PeerInFlight int
	// SentSinceReport counts attempts that the last report cannot include.
	SentSinceReport int
	// ColdBaseline is the completed count at which the target last turned cold in
	// its present incarnation: work before it does not raise the limit.
	ColdBaseline int64
	// SuspectAt is when Suspect was set.
	SuspectAt time.Duration
	// Leaving is set while the target or a host of it is leaving.
	Leaving bool
	// Disabled is set while the configuration gives the target no new work.
	Disabled bool
}

// LoadAnswer is a target's load report.
type LoadAnswer struct {
	Incarnation Incarnation `cbor:"1,keyasint" json:"incarnation"`
	// Completed counts requests finished in this incarnation.
	Completed int64 `cbor:"2,keyasint" json:"completed"`
	Running   int   `cbor:"3,keyasint" json:"running"`
	Waiting   int   `cbor:"4,keyasint" json:"waiting"`
	// Cold is set by a target that says itself that it is cold.
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
	// PeerInFlight is what peers last reported.
	PeerInFlight int
	Queued       int
	// Deficit is the account's credit in the fair queue, in tokens.
	Deficit int64
}

// RequestKind tells model requests from requests to plain services.
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
	// RequestClaiming waits for the claim row.
	RequestClaiming
	// RequestClaimed holds its claim and may be sent once.
	RequestClaimed
	RequestSent
	RequestEnded
)

// Request is a request of a caller. Arrival fields never change; Phase, Target
// and Attempt are written by the admission system through its dispatch, Claim
// fields by the claims system, what follows from attempts by the retry system. The end columns are
// written only by EndWithRefusal and EndWithAnswer.
type Request struct {
	Arrival RequestArrived
	Phase   RequestPhase
	// ArrivedAt and Deadline are on this node's clock.
	ArrivedAt time.Duration
	Deadline  time.Duration
	Target    TargetID
	Attempt   int
	SentAt    time.Duration
	// TriedTargets lists the targets of failed attempts.
	TriedTargets []TargetID
	// AnswerStarted is set once an answer byte went to the caller.
	AnswerStarted bool
	// Generation and Offset are the resume point at the engine.
	Generation         string
	Offset             int64
	Resumes            int
	Outcome            apierror.Outcome
	EndedAt            time.Duration
	CallerDisconnected bool
	// ClaimStatus is the state of the request's claim.
	ClaimStatus ClaimStatus
	// LastEndedAttempt is the number of the last attempt that ended. Written by the
	// retry system.
	LastEndedAttempt int
	// MayHaveRun is set once an attempt ended with another outcome than not
	// run. Written by the retry system.
	MayHaveRun bool
	// NextStep is what follows the end of attempt Finished, not before NextAt.
	NextStep   NextStep
	NextStepAt time.Duration
	// Route is the route of a routed request.
	Route *Route
	// Account is the client account of a routed request; empty without a key.
	Account AccountID
	// Service is the service that a routed request goes to.
	Service string
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
	// AnswerObjectKey is the key of the answer in the object store when it is too large
	// for a row.
	AnswerObjectKey string `cbor:"8,keyasint,omitempty"`
	Service         string `cbor:"9,keyasint,omitempty"`
}

// Claim is this node's view of a claim row. Written by the claims system.
type Claim struct {
	Row      ClaimRow
	Revision uint64
	// Stored is whether the row's phase is in the table service.
	Stored bool
}

// Answer is a whole answer of a plain service.
type Answer struct {
	Status      int    `cbor:"1,keyasint"`
	ContentType string `cbor:"2,keyasint"`
	Body        []byte `cbor:"3,keyasint"`
}
