package operator

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

func (s *Server) quarantines(*http.Request, string) (any, error) {
	result := Quarantines{Entries: []Quarantine{}}
	now := s.daemon.Now()
	s.daemon.View(func(t *state.Tables) {
		if t.Managed == nil {
			return
		}
		traits := make([]state.Trait, 0, len(t.Managed.Quarantined))
		for trait := range t.Managed.Quarantined {
			traits = append(traits, trait)
		}
		slices.SortFunc(traits, state.CompareTraits)
		for _, trait := range traits {
			result.Entries = append(result.Entries, readQuarantine(t.Managed, trait, now))
		}
	})
	return result, nil
}

// readQuarantine describes a trait in quarantine. It runs inside the event loop.
func readQuarantine(m *state.ManagedState, trait state.Trait, now time.Duration) Quarantine {
	q := Quarantine{Trait: trait.Name(), Hosts: []string{}, NextTrialMS: max(m.Quarantined[trait]-now, 0).Milliseconds(), LastArrivalMS: -1}
	for _, crash := range m.QuarantineRows[state.QuarantineKey(trait)].Crashes {
		q.Hosts = append(q.Hosts, string(crash.Host))
	}
	if at, arrived := m.QuarantinedArrivals[trait]; arrived {
		q.LastArrivalMS = (now - at).Milliseconds()
	}
	return q
}

func (s *Server) lift(r *http.Request, operator string) (any, error) {
	change, err := decodeChange(r)
	if err != nil {
		return nil, err
	}
	trait, valid := state.ParseTrait(change.Trait)
	if !valid {
		return nil, invalidValueError("trait", "trait must be part/ID or request/ID, as in the list of quarantines")
	}
	isManaged := false
	s.daemon.View(func(t *state.Tables) { isManaged = t.Managed != nil })
	if !isManaged {
		return nil, apierror.New(apierror.KindNotFound, "not_quarantined", "this installation puts nothing into quarantine", apierror.NotRun)
	}
	return s.submitCommand(r.Context(), operator, change, state.OperatorCommand{Action: state.ActionLift, Trait: trait})
}

// Quarantines returns the quarantines of the first entry daemon that answers.
func (c *Client) Quarantines(ctx context.Context) (Quarantines, error) {
	var q Quarantines
	return q, c.callReadOnly(ctx, http.MethodGet, pathQuarantine, nil, &q)
}

// Lift lifts the quarantine of a trait. If the answer is lost, the quarantines tell whether it
// took effect; the version of the audit record is then 0.
func (c *Client) Lift(ctx context.Context, trait string) (ChangeReply, error) {
	var reply ChangeReply
	var lastErr error
	for _, server := range c.servers {
		lastErr = c.call(ctx, server, http.MethodPost, pathLift, ChangeRequest{Trait: trait}, &reply)
		var apiErr *apierror.Error
		switch {
		case lastErr == nil:
			return reply, nil
		case !errors.As(lastErr, &apiErr) || apiErr.Outcome != apierror.NotRun:
			return ChangeReply{}, c.awaitLifted(ctx, trait, lastErr)
		case apiErr.Status() < http.StatusInternalServerError:
			return reply, lastErr
		}
	}
	return reply, lastErr
}

// awaitLifted waits until a trait is no longer in quarantine, and returns cause if that takes
// longer than readBackTimeout.
func (c *Client) awaitLifted(ctx context.Context, trait string, cause error) error {
	for deadline := time.Now().Add(readBackTimeout); time.Now().Before(deadline); {
		quarantines, err := c.Quarantines(ctx)
		if err == nil && !slices.ContainsFunc(quarantines.Entries, func(q Quarantine) bool { return q.Trait == trait }) {
			return nil
		}
		if !sleep(ctx, readBackPeriod) {
			break
		}
	}
	return cause
}
