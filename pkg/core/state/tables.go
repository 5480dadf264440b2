package state

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

// Tables is all that a node knows.
type Tables struct {
	Self     Self
	Switches Switches
	Rand     *rand.Rand

	Config   Configuration
	Peers    *Table[NodeID, Peer]
	Hosts    *Table[HostID, Host]
	Groups   *Table[GroupID, Group]
	Leases   *Table[DataCentre, Lease]
	Targets  *Table[TargetID, Target]
	Accounts *Table[AccountID, Account]
	Requests *Table[RequestID, Request]
	Claims   *Table[string, Claim]
	Counters Counters
	// Managed is set where the platform holds the configuration.
	Managed *ManagedState

	// Ready is written by the lifecycle system.
	Ready bool
	// Draining is set once a graceful shutdown has begun. Written by the
	// lifecycle system.
	Draining bool

	nextStoreRequest   uint64
	nextOpID           uint64
	storeRequestOwners map[uint64]string
}

// Switches turn single mechanisms off, so that tests can show what each one
// prevents. The zero value has all of them on.
type Switches struct {
	IgnoreFreshness    bool
	IgnoreWholeness    bool
	IgnoreShares       bool
	IgnoreClaims       bool
	IgnoreFencing      bool
	IgnoreAttempt      bool
	IgnoreDrain        bool
	IgnoreOutcome      bool
	IgnoreVersionOrder bool
	IgnoreHostRows     bool
	IgnoreFairness     bool
	IgnoreRepair       bool
	IgnoreOrderExpiry  bool
	// IgnoreBudgets retries without bounds.
	IgnoreBudgets bool
	// IgnoreChoices always picks the target with the best score.
	IgnoreChoices bool
	// IgnoreColdSigns keeps the limit of a target that turned cold.
	IgnoreColdSigns bool
}

// NewTables returns the tables of a node that knows nothing yet.
func NewTables(self Self, switches Switches, seed uint64) *Tables {
	return &Tables{
		Self:               self,
		Switches:           switches,
		Rand:               rand.New(rand.NewPCG(seed, uint64(self.Incarnation))),
		Config:             Configuration{EvidenceAt: -1},
		Peers:              NewTable[NodeID, Peer](),
		Hosts:              NewTable[HostID, Host](),
		Groups:             NewTable[GroupID, Group](),
		Leases:             NewTable[DataCentre, Lease](),
		Targets:            NewTable[TargetID, Target](),
		Accounts:           NewTable[AccountID, Account](),
		Requests:           NewTable[RequestID, Request](),
		Claims:             NewTable[string, Claim](),
		storeRequestOwners: map[uint64]string{},
	}
}

// Outbox collects the outputs of one step.
type Outbox struct{ Outputs []Output }

// Add appends an output.
func (o *Outbox) Add(out Output) { o.Outputs = append(o.Outputs, out) }

// Log appends a numbered log event.
func (o *Outbox) Log(id event.ID, attrs ...slog.Attr) {
	o.Add(LogEvent{Event: id, Attrs: attrs})
}

// Refuse ends a request with a refusal.
func (o *Outbox) Refuse(id RequestID, refusal *apierror.Error) {
	o.Add(Reply{Request: id, Refusal: refusal})
}

// System is one part of the decision core. Step is called for each input, in
// the fixed order of the node's list.
type System interface {
	Step(now time.Duration, in Input, out *Outbox)
}
