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
}

// LeaseHandover gives the formation lease to a peer in an outage of the store,
// when the holder shuts down and cannot release it there. The sender gives no
// orders any more.
type LeaseHandover struct {
	FencingToken FencingToken `cbor:"1,keyasint"`
	Renewal      uint64       `cbor:"2,keyasint"`
	Revision     uint64       `cbor:"3,keyasint"`
	// IssuedEpochs is the number of epochs that were given out under this fence.
	IssuedEpochs uint64 `cbor:"4,keyasint"`
}

// GroupRequest asks for a GroupNotice of each replica group that the peer
// knows.
type GroupRequest struct{}

// GroupNotice passes on the row of a replica group that changed, with its
// revision in the table service, so that nodes need no scan to see the change.
// A node that holds this revision or a later one ignores it.
type GroupNotice struct {
	Group    GroupID  `cbor:"1,keyasint"`
	Revision uint64   `cbor:"2,keyasint"`
	Row      GroupRow `cbor:"3,keyasint"`
}

// PollRequest asks a peer for everything that expires. The asker dates the
// reply by the time at which it sent the request.
type PollRequest struct {
	Seq uint64 `cbor:"1,keyasint"`
	// Cursor is the last change of the peer that the asker has.
	Cursor uint64 `cbor:"2,keyasint,omitempty"`
}

// PollReply answers a PollRequest. Ages count back from the time of the reply.
type PollReply struct {
	Seq     uint64  `cbor:"1,keyasint"`
	Cursor  uint64  `cbor:"2,keyasint,omitempty"`
	Version Version `cbor:"3,keyasint"`
	// EvidenceAge is the age of the sender's configuration evidence; negative
	// when it has none.
	EvidenceAge     time.Duration `cbor:"4,keyasint"`
	AcceptedVersion Version       `cbor:"5,keyasint,omitempty"`
	Leaving         bool          `cbor:"6,keyasint,omitempty"`
	// Synced is false while the sender has started and does not yet know the
	// configuration. Its reply then counts towards no majority.
	Synced bool `cbor:"7,keyasint,omitempty"`
	// HealthReports holds those that changed since the cursor.
	HealthReports []GroupHealthReport `cbor:"8,keyasint,omitempty"`
	// HealthReportAge is the age of the oldest evidence behind the unchanged ones.
	HealthReportAge time.Duration `cbor:"9,keyasint,omitempty"`
	// Loads and Usage hold the sender's own counts that changed.
	Loads []TargetCount  `cbor:"10,keyasint,omitempty"`
	Usage []AccountValue `cbor:"11,keyasint,omitempty"`
	// UnreachableNodes lists the registered nodes that have not answered the sender
	// for the removal time.
	UnreachableNodes []NodeID `cbor:"12,keyasint,omitempty"`
	// UnreachableDataCentres lists the data centres of which the sender reaches less than half
	// of the hosts that it probes.
	UnreachableDataCentres []DataCentre `cbor:"13,keyasint,omitempty"`
	// NotReadyMembers lists the members that a node has seen before they were ready in
	// their incarnation, as far as that changed and no verdict rests on it yet.
	NotReadyMembers []HostIncarnation `cbor:"14,keyasint,omitempty"`
}

// HostIncarnation is a host in one incarnation.
type HostIncarnation struct {
	Host        HostID      `cbor:"1,keyasint"`
	Incarnation Incarnation `cbor:"2,keyasint"`
}

// GroupHealthReport is a watcher's word on a replica group. A negative age takes it
// back, because the sender no longer watches the group.
type GroupHealthReport struct {
	Group        GroupID       `cbor:"1,keyasint"`
	FencingToken FencingToken  `cbor:"2,keyasint"`
	Healthy      bool          `cbor:"3,keyasint"`
	Age          time.Duration `cbor:"4,keyasint"`
	Incarnations []Incarnation `cbor:"5,keyasint,omitempty"`
	Straggler    bool          `cbor:"6,keyasint,omitempty"`
	// DeadMembers lists members without an answer, with the time since their first
	// unanswered probe.
	DeadMembers []DeadMember `cbor:"7,keyasint,omitempty"`
}

// DeadMember is a member that does not answer a watcher.
type DeadMember struct {
	Host          HostID        `cbor:"1,keyasint"`
	UnansweredFor time.Duration `cbor:"2,keyasint"`
}

// TargetCount is a number of requests in flight at a target.
type TargetCount struct {
	Target TargetID `cbor:"1,keyasint"`
	Count  int      `cbor:"2,keyasint"`
}

// ConfigNotice hints that a version was committed. It extends no deadline.
type ConfigNotice struct {
	Version Version `cbor:"1,keyasint"`
}

// ConfigRequest asks for the configuration of the sender's version.
type ConfigRequest struct {
	// DocumentVersion is the document version that the asker holds.
	DocumentVersion Version `cbor:"1,keyasint"`
}

// ConfigDocument answers a ConfigRequest. Document is nil when the asker holds
// it already.
type ConfigDocument struct {
	Head     Head      `cbor:"1,keyasint"`
	Document *Document `cbor:"2,keyasint,omitempty"`
	// PreviousNodes is the registry of the version before.
	PreviousNodes []NodeEntry `cbor:"3,keyasint,omitempty"`
}

// ClaimQuery asks the holder of a claim for its state.
type ClaimQuery struct {
	Account        AccountID `cbor:"1,keyasint"`
	IdempotencyKey string    `cbor:"2,keyasint"`
	Request        RequestID `cbor:"3,keyasint"`
}

// ClaimAnswer answers a ClaimQuery. ClaimHeld means that it is in flight;
// ClaimNone that the asked node does not know the claim.
type ClaimAnswer struct {
	Account        AccountID  `cbor:"1,keyasint"`
	IdempotencyKey string     `cbor:"2,keyasint"`
	Request        RequestID  `cbor:"3,keyasint"`
	Phase          ClaimPhase `cbor:"4,keyasint"`
	Answer         *Answer    `cbor:"5,keyasint,omitempty"`
}

// OutcomeQuery asks a node for the outcome of a request.
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
	// Resume is where a generation can be resumed, when it can.
	Resume *ResumePoint `cbor:"5,keyasint,omitempty"`
}
