// Package claims makes sure that a request that may not be repeated runs at
// most once.
package claims

import (
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// System reads Requests; it writes Claims.
type System struct{ t *state.Tables }

// New returns the claims system.
func New(t *state.Tables) *System { return &System{t: t} }

// Step implements state.System.
func (s *System) Step(time.Duration, state.Input, *state.Outbox) {}
