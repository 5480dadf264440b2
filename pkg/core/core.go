// Package core is the decision core of a node: a value that takes a time and
// an input and returns outputs. It has no goroutine, no clock, no I/O and no
// global state, so that tests drive many nodes in virtual time.
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

// New returns a node that knows nothing yet. The seed drives all its random
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
			// The retry system creates the rows of requests, which claims and
			// admission read in the same step.
			retry.New(t),
			claims.New(t),
			admission.New(t, router),
			lifecycle.New(t),
		},
	}
}

// Step feeds one input at a monotonic time of this node and returns what the
// node wants done, in order. Times never decrease.
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

// Tables returns the tables for reading. They must not be changed.
func (n *Node) Tables() *state.Tables { return n.tables }

// NewManaged returns a node of an installation whose platform holds the
// configuration and lists the targets. It shares the request rows, the attempts
// and the life cycle with other nodes, and differs in where its knowledge comes
// from.
func NewManaged(self state.Self, seed uint64) *Node {
	t := state.NewTables(self, state.Switches{}, seed)
	t.Managed = state.NewManagedState()
	t.Managed.TrafficStarted = !self.FirstStart
	return &Node{
		tables: t,
		systems: []state.System{
			inventory.New(t),
			formation.New(t),
			dispatch.New(t),
			lifecycle.New(t),
		},
	}
}
