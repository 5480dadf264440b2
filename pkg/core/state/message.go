package state

import (
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
)

// Message is a message between nodes. Exactly one field is set.
type Message struct {
	PollRequest    *PollRequest    `cbor:"1,keyasint,omitempty"`
	PollReply      *PollReply      `cbor:"2,keyasint,omitempty"`
	ConfigNotice   *ConfigNotice   `cbor:"3,keyasint,omitempty"`
	ConfigRequest  *ConfigRequest  `cbor:"4,keyasint,omitempty"`
	ConfigDocument *ConfigDocument `cbor:"5,keyasint,omitempty"`
	ClaimQuery     *ClaimQuery     `cbor:"6,keyasint,omitempty"`
	ClaimAnswer    *ClaimAnswer    `cbor:"7,keyasint,omitempty"`
	OutcomeQuery   *OutcomeQuery   `cbor:"8,keyasint,omitempty"`
	OutcomeAnswer  *OutcomeAnswer  `cbor:"9,keyasint,omitempty"`
	GroupNotice    *GroupNotice    `cbor:"10,keyasint,omitempty"`
	GroupRequest   *GroupRequest   `cbor:"11,keyasint,omitempty"`
	PeerStatus     *PeerStatus     `cbor:"12,keyasint,omitempty"`
	TableRequest   *TableRequest   `cbor:"13,keyasint,omitempty"`
	TableUpdate    *TableUpdate    `cbor:"14,keyasint,omitempty"`
	HostState      *HostState      `cbor:"15,keyasint,omitempty"`
	LeaseHandover  *LeaseHandover  `cbor:"16,keyasint,omitempty"`
	HistoryRequest *HistoryRequest `cbor:"17,keyasint,omitempty"`
	History        *History        `cbor:"18,keyasint,omitempty"`
	Departure      *Departure      `cbor:"19,keyasint,omitempty"`

	// Key 20 belonged to reports on prompt parts alone, which had another form.
	TargetLimitReport *TargetLimitReport `cbor:"21,keyasint,omitempty"`
	TraitReport       *TraitReport       `cbor:"22,keyasint,omitempty"`
}

// LeaseHandover transfers the formation lease to a peer during an outage of the
// store, when the holder shuts down and cannot release the lease in the store. The
// sender sends no further orders.
type LeaseHandover struct {
	FencingToken FencingToken `cbor:"1,keyasint"`
	Renewal      uint64       `cbor:"2,keyasint"`
	Revision     uint64       `cbor:"3,keyasint"`
	// IssuedEpochs is the number of group epochs issued under this fencing token.
	IssuedEpochs uint64 `cbor:"4,keyasint"`
}

// GroupRequest requests from a peer a GroupNotice of each replica group in its
// tables.
type GroupRequest struct{}

// GroupNotice forwards the changed row of a replica group with its revision in the
// table service, so that nodes see the change without a scan. A node that holds
// this revision or a later one ignores the notice.
type GroupNotice struct {
	Group    GroupID  `cbor:"1,keyasint"`
	Revision uint64   `cbor:"2,keyasint"`
	Row      GroupRow `cbor:"3,keyasint"`
}

// PollRequest requests from a peer all state that expires. The sender dates the
// reply by the send time of the request.
type PollRequest struct {
	Seq uint64 `cbor:"1,keyasint"`
	// Cursor is the position of the last change that the sender received from the
	// peer.
	Cursor uint64 `cbor:"2,keyasint,omitempty"`
}

// PollReply answers a PollRequest. Ages are relative to the time of the reply.
type PollReply struct {
	Seq     uint64  `cbor:"1,keyasint"`
	Cursor  uint64  `cbor:"2,keyasint,omitempty"`
	Version Version `cbor:"3,keyasint"`
	// EvidenceAge is the age of the sender's evidence that its configuration is
	// current; negative when it has none.
	EvidenceAge     time.Duration `cbor:"4,keyasint"`
	AcceptedVersion Version       `cbor:"5,keyasint,omitempty"`
	Leaving         bool          `cbor:"6,keyasint,omitempty"`
	// Synced is false after a start until the sender has the current configuration.
	// Until then its replies count towards no majority.
	Synced bool `cbor:"7,keyasint,omitempty"`
	// HealthReports holds the reports that changed since the cursor.
	HealthReports []GroupHealthReport `cbor:"8,keyasint,omitempty"`
	// HealthReportAge is the age of the oldest evidence for the unchanged reports.
	HealthReportAge time.Duration `cbor:"9,keyasint,omitempty"`
	// Loads and Usage hold the sender's own counts that changed since the cursor.
	Loads []TargetCount  `cbor:"10,keyasint,omitempty"`
	Usage []AccountValue `cbor:"11,keyasint,omitempty"`
	// UnreachableNodes lists the registered nodes that have not answered the sender
	// for the removal time.
	UnreachableNodes []NodeID `cbor:"12,keyasint,omitempty"`
	// UnreachableDataCentres lists the data centres in which the sender reaches less
	// than half of the hosts that it probes.
	UnreachableDataCentres []DataCentre `cbor:"13,keyasint,omitempty"`
	// NotReadyMembers lists members that a node observed before they were ready in
	// their current incarnation. It holds only changes that no health report covers
	// yet.
	NotReadyMembers []HostIncarnation `cbor:"14,keyasint,omitempty"`
}

// HostIncarnation identifies one incarnation of a host.
type HostIncarnation struct {
	Host        HostID      `cbor:"1,keyasint"`
	Incarnation Incarnation `cbor:"2,keyasint"`
}

// GroupHealthReport is a watcher's report on the health of a replica group. A
// negative age withdraws the report, because the sender no longer watches the group.
type GroupHealthReport struct {
	Group        GroupID       `cbor:"1,keyasint"`
	FencingToken FencingToken  `cbor:"2,keyasint"`
	Healthy      bool          `cbor:"3,keyasint"`
	Age          time.Duration `cbor:"4,keyasint"`
	Incarnations []Incarnation `cbor:"5,keyasint,omitempty"`
	Straggler    bool          `cbor:"6,keyasint,omitempty"`
	// DeadMembers lists the members that do not answer probes.
	DeadMembers []DeadMember `cbor:"7,keyasint,omitempty"`
}

// DeadMember is a member that does not answer the probes of a watcher.
// UnansweredFor is the time since the first unanswered probe.
type DeadMember struct {
	Host          HostID        `cbor:"1,keyasint"`
	UnansweredFor time.Duration `cbor:"2,keyasint"`
}

// TargetCount is the number of requests in flight at a target.
type TargetCount struct {
	Target TargetID `cbor:"1,keyasint"`
	Count  int      `cbor:"2,keyasint"`
}

// ConfigNotice is a hint that a version was committed. It does not renew the
// freshness of the receiver's configuration.
type ConfigNotice struct {
	Version Version `cbor:"1,keyasint"`
}

// ConfigRequest requests the current configuration of a peer.
type ConfigRequest struct {
	// DocumentVersion is the version of the document that the requester holds.
	DocumentVersion Version `cbor:"1,keyasint"`
}

// ConfigDocument answers a ConfigRequest. Document is nil when the requester
// already holds it.
type ConfigDocument struct {
	Head     Head      `cbor:"1,keyasint"`
	Document *Document `cbor:"2,keyasint,omitempty"`
	// PreviousNodes is the registry of the previous version.
	PreviousNodes []NodeEntry `cbor:"3,keyasint,omitempty"`
}

// ClaimQuery requests the state of a claim from its holder.
type ClaimQuery struct {
	Account        AccountID `cbor:"1,keyasint"`
	IdempotencyKey string    `cbor:"2,keyasint"`
	Request        RequestID `cbor:"3,keyasint"`
}

// ClaimAnswer answers a ClaimQuery. ClaimHeld means that the request is in flight,
// ClaimNone that the node has no such claim.
type ClaimAnswer struct {
	Account        AccountID  `cbor:"1,keyasint"`
	IdempotencyKey string     `cbor:"2,keyasint"`
	Request        RequestID  `cbor:"3,keyasint"`
	Phase          ClaimPhase `cbor:"4,keyasint"`
	Answer         *Answer    `cbor:"5,keyasint,omitempty"`
}

// OutcomeQuery requests the outcome of a request from a node.
type OutcomeQuery struct {
	Seq     uint64    `cbor:"1,keyasint"`
	Account AccountID `cbor:"2,keyasint"`
	Request RequestID `cbor:"3,keyasint"`
}

// OutcomeAnswer answers an OutcomeQuery.
type OutcomeAnswer struct {
	Seq     uint64           `cbor:"1,keyasint"`
	Found   bool             `cbor:"2,keyasint"`
	Running bool             `cbor:"3,keyasint,omitempty"`
	Outcome apierror.Outcome `cbor:"4,keyasint,omitempty"`
	// Resume is the point from which the generation can be resumed, or nil.
	Resume *ResumePoint `cbor:"5,keyasint,omitempty"`
}
