// Package core implements the decision core of a node: each step takes a time
// and an input and returns outputs. The core has no goroutine, no clock, no I/O
// and no global state, so that tests can run many nodes in virtual time.
package core

import (
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/admission"
	"github.com/apricotgrade/apricotgrade/pkg/core/claims"
	"github.com/apricotgrade/apricotgrade/pkg/core/configuration"
	"github.com/apricotgrade/apricotgrade/pkg/core/dispatch"
	"github.com/apricotgrade/apricotgrade/pkg/core/formation"
	"github.com/apricotgrade/apricotgrade/pkg/core/inventory"
	"github.com/apricotgrade/apricotgrade/pkg/core/lifecycle"
	"github.com/apricotgrade/apricotgrade/pkg/core/membership"
	"github.com/apricotgrade/apricotgrade/pkg/core/placement"
	"github.com/apricotgrade/apricotgrade/pkg/core/quarantine"
	"github.com/apricotgrade/apricotgrade/pkg/core/retry"
	"github.com/apricotgrade/apricotgrade/pkg/core/routing"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// Node is the decision core of one entry daemon. It is not safe for concurrent
// use.
type Node struct {
	tables  *state.Tables
	systems []state.System
}

// New returns a node that has no data yet. The seed determines all its random
// choices.
func New(self state.Self, switches state.Switches, seed uint64) *Node {
	t := state.NewTables(self, switches, seed)
	router := routing.New(t)
	return &Node{
		tables: t,
		systems: []state.System{
			configuration.New(t),
			membership.New(t),
			placement.New(t),
			router,
			// The retry system precedes the claims and admission systems because it
			// creates the request rows that they read in the same step.
			retry.New(t),
			claims.New(t),
			admission.New(t, router),
			lifecycle.New(t),
		},
	}
}

// Step processes one input at a monotonic time of this node and returns the
// outputs to perform, in order. The times of successive calls never decrease.
func (n *Node) Step(now time.Duration, in state.Input) []state.Output {
	var out state.Outbox
	for _, s := range n.systems {
		s.Step(now, in, &out)
	}
	if reply, ok := in.(state.StoreReply); ok {
		n.tables.ForgetStoreRequest(reply.ID)
	}
	return out.Outputs
}

// Tables returns the tables of the node. Callers must not change them.
func (n *Node) Tables() *state.Tables { return n.tables }

// NewManaged returns a node of an installation whose platform holds the
// configuration and lists the targets. Request rows, attempts and the lifecycle
// are the same as those of other nodes; the sources of its data differ.
func NewManaged(self state.Self, seed uint64) *Node {
	t := state.NewTables(self, state.Switches{}, seed)
	t.Managed = state.NewManagedState()
	t.Managed.TrafficStarted = !self.FirstStart
	return &Node{
		tables: t,
		systems: []state.System{
			inventory.New(t),
			formation.New(t),
			quarantine.New(t),
			dispatch.New(t),
			lifecycle.New(t),
		},
	}
}
