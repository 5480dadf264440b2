package state

import "time"

// Instance is a registered process of a service: a host that can be a member of
// replica groups, or a replica of a plain service.
type Instance struct {
	ID         HostID     `cbor:"1,keyasint"`
	Service    string     `cbor:"2,keyasint"`
	Address    string     `cbor:"3,keyasint"`
	DataCentre DataCentre `cbor:"4,keyasint"`
	Domain     DomainID   `cbor:"5,keyasint,omitempty"`
	Slots      int        `cbor:"6,keyasint,omitempty"`
	Draining   bool       `cbor:"7,keyasint,omitempty"`
	// ColdRemaining is how long the instance expects to stay cold, as of its last
	// write.
	ColdRemaining time.Duration `cbor:"8,keyasint,omitempty"`
	// StartID distinguishes successive processes with the same ID.
	StartID int64 `cbor:"9,keyasint,omitempty"`
	// StagedModels are the models whose weights are on the host.
	StagedModels []string `cbor:"10,keyasint,omitempty"`
	// LoadedModel is the model that the host has loaded.
	LoadedModel string     `cbor:"11,keyasint,omitempty"`
	Membership  Membership `cbor:"12,keyasint"`
	Revision    uint64     `cbor:"13,keyasint"`
	// RevisionSeenAt is when this node first received this revision. It is not sent
	// to peers.
	RevisionSeenAt time.Duration `cbor:"-"`
	// ReportedAt is the send time of the request for the host report with which this
	// node changed the row during an outage of the store; 0 for a row as stored.
	ReportedAt time.Duration `cbor:"-"`
	// FromCopy is set for a row with which the store came back from a copy, and which
	// contradicts what a node knew of the process. The process has neither written nor reported
	// its state since.
	FromCopy bool `cbor:"14,keyasint,omitempty"`
}

// MemberPhase is the phase of a host as a member of its replica group.
type MemberPhase uint8

// Phases of a member.
const (
	MemberNone MemberPhase = iota
	MemberJoining
	MemberReady
	// MemberOpen (serving), MemberClosing and MemberBroken are phases of a leader.
	MemberOpen
	MemberClosing
	MemberBroken
)

// Membership is a host's place in a replica group.
type Membership struct {
	Group GroupID     `cbor:"1,keyasint,omitempty"`
	Epoch uint64      `cbor:"2,keyasint,omitempty"`
	Rank  int         `cbor:"3,keyasint,omitempty"`
	Phase MemberPhase `cbor:"4,keyasint,omitempty"`
}

// MaxGroupSize bounds the number of members of a replica group, which lies within one
// fabric domain.
const MaxGroupSize = 1024

// IsValid reports whether the membership can exist. Rows and reports come from other
// programs.
func (m Membership) IsValid() bool { return m.Rank >= 0 && m.Rank < MaxGroupSize }

// RegisteredNode is the registration of an entry daemon.
type RegisteredNode struct {
	Entry    NodeEntry `cbor:"1,keyasint"`
	Revision uint64    `cbor:"2,keyasint"`
}

// FormationLease is this node's view of the lease under which one managed node
// sends orders to hosts.
type FormationLease struct {
	Row      LeaseRow
	Revision uint64
	// RenewalSeenAt is when this node first received the latest renewal.
	RenewalSeenAt time.Duration
}

// Keys of rows of managed nodes, as used in the core.
const (
	// PrefixEvacuated is the key prefix of data centres that receive no new work.
	PrefixEvacuated = "evacuated/"
	// PrefixNode, PrefixQuarantine and KeyFormationLease are keys in NodeTable.
	PrefixNode         = "node/"
	PrefixQuarantine   = "quarantine/"
	KeyFormationLease  = "lease/formation"
	FormationLeaseName = DataCentre("formation")
)
