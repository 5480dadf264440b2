package state

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

// Tables is the complete state of a node's decision core.
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
	// Managed is set on a managed node, whose platform holds the configuration.
	Managed *ManagedState

	// Ready is set while the node reports itself as ready. Written by the lifecycle
	// system.
	Ready bool
	// Draining is set once a graceful shutdown has started. Written by the lifecycle
	// system.
	Draining bool

	nextStoreRequest   uint64
	nextOpID           uint64
	storeRequestOwners map[uint64]string
}

// Switches disables individual mechanisms, so that tests can show which failure
// each one prevents. The zero value enables all mechanisms.
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
	// IgnoreBudgets retries without a retry budget.
	IgnoreBudgets bool
	// IgnoreChoices always picks the target with the best score.
	IgnoreChoices bool
	// IgnoreColdSigns keeps the limit of a target that became cold.
	IgnoreColdSigns bool
	// IgnoreQuarantine runs requests with prompt parts in quarantine.
	IgnoreQuarantine bool
}

// NewTables returns the tables of a node that has no data yet. The seed determines
// its random decisions.
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

// Outbox collects the outputs of one step of the core.
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

// System is a part of the decision core. The node calls Step of its systems in a
// fixed order for each input.
type System interface {
	Step(now time.Duration, in Input, out *Outbox)
}
