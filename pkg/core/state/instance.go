package state

import "time"

// Instance is one registered process of a service: a host that can be a member
// of replica groups, or a replica of a plain service.
type Instance struct {
	ID         HostID     `cbor:"1,keyasint"`
	Service    string     `cbor:"2,keyasint"`
	Address    string     `cbor:"3,keyasint"`
	DataCentre DataCentre `cbor:"4,keyasint"`
	Domain     DomainID   `cbor:"5,keyasint,omitempty"`
	Slots      int        `cbor:"6,keyasint,omitempty"`
	Draining   bool       `cbor:"7,keyasint,omitempty"`
	// ColdRemaining is for how long the instance was still cold when it wrote.
	ColdRemaining time.Duration `cbor:"8,keyasint,omitempty"`
	// StartID tells the lives of one id apart.
	StartID int64 `cbor:"9,keyasint,omitempty"`
	// StagedModels lists the models whose weights are on the host.
	StagedModels []string `cbor:"10,keyasint,omitempty"`
	// LoadedModel is the model that the host has loaded.
	LoadedModel string     `cbor:"11,keyasint,omitempty"`
	Membership  Membership `cbor:"12,keyasint"`
	Revision    uint64     `cbor:"13,keyasint"`
	// RevisionSeenAt is when this node first saw this revision. It is not passed on.
	RevisionSeenAt time.Duration `cbor:"-"`
	// ReportedAt is when the host was asked for the report by which this node has
	// changed the row in an outage of the store; 0 for a row as it was stored.
	ReportedAt time.Duration `cbor:"-"`
}

// MemberPhase is the phase of a host in its replica group.
type MemberPhase uint8

// Phases of a member.
const (
	MemberNone MemberPhase = iota
	MemberJoining
	MemberReady
	// MemberOpen, MemberClosing and MemberBroken are phases of a leader.
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

// RegisteredNode is an entry daemon as it registered itself.
type RegisteredNode struct {
	Entry    NodeEntry `cbor:"1,keyasint"`
	Revision uint64    `cbor:"2,keyasint"`
}

// FormationLease is the lease under which one node gives orders to hosts.
type FormationLease struct {
	Row      LeaseRow
	Revision uint64
	// RenewalSeenAt is when this node first saw the present renewal.
	RenewalSeenAt time.Duration
}

// Keys of rows as the core knows them.
const (
	// PrefixEvacuated is that of data centres without new work.
	PrefixEvacuated = "evacuated/"
	// PrefixNode and KeyFormationLease are in this system's own table.
	PrefixNode         = "node/"
	KeyFormationLease  = "lease/formation"
	FormationLeaseName = DataCentre("formation")
)
