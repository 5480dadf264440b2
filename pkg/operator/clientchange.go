package operator

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/declaration"
)

const (
	// readBackTimeout bounds the search for a change whose outcome is unknown. It
	// exceeds the time of a write to the table service plus the period at which every
	// node reads the head.
	readBackTimeout      = 6 * time.Second
	readBackPeriod       = 250 * time.Millisecond
	acceptancePollPeriod = 100 * time.Millisecond
)

// Apply puts declarations in force. Base is the configuration version that the
// plan was made against; 0 allows any version.
func (c *Client) Apply(ctx context.Context, declarations string, base uint64) (ChangeReply, error) {
	return c.sendChange(ctx, pathApply, ChangeRequest{Declarations: declarations, BaseVersion: base}, func(ctx context.Context, _ Status) (bool, error) {
		requested, err := declaration.Parse("declarations", []byte(declarations))
		if err != nil {
			return false, err
		}
		current, err := c.Declarations(ctx)
		return err == nil && current.Text == declaration.Format(requested), err
	})
}

// Preset puts a preset in force.
func (c *Client) Preset(ctx context.Context, preset string, base uint64) (ChangeReply, error) {
	return c.sendChange(ctx, pathPreset, ChangeRequest{Preset: preset, BaseVersion: base}, func(_ context.Context, s Status) (bool, error) {
		return s.Preset == preset, nil
	})
}

// DisableDataCentre takes a data centre out of service, so that it receives no new
// work.
func (c *Client) DisableDataCentre(ctx context.Context, name string, base uint64) (ChangeReply, error) {
	return c.sendChange(ctx, pathOut, ChangeRequest{DataCentre: name, BaseVersion: base}, dataCentreHasState(name, true))
}

// EnableDataCentre brings a data centre back into service.
func (c *Client) EnableDataCentre(ctx context.Context, name string, base uint64) (ChangeReply, error) {
	return c.sendChange(ctx, pathIn, ChangeRequest{DataCentre: name, BaseVersion: base}, dataCentreHasState(name, false))
}

// DisableTarget takes a target out of service, so that it receives no new work.
func (c *Client) DisableTarget(ctx context.Context, target string, base uint64) (ChangeReply, error) {
	return c.sendChange(ctx, pathOut, ChangeRequest{Target: target, BaseVersion: base}, func(_ context.Context, s Status) (bool, error) {
		return slices.Contains(s.DisabledTargets, target), nil
	})
}

// EnableTarget brings a target back into service.
func (c *Client) EnableTarget(ctx context.Context, target string, base uint64) (ChangeReply, error) {
	return c.sendChange(ctx, pathIn, ChangeRequest{Target: target, BaseVersion: base}, func(_ context.Context, s Status) (bool, error) {
		return !slices.Contains(s.DisabledTargets, target), nil
	})
}

// ForgetNode removes a node from the registry. The node must no longer run; one
// that still runs registers again.
func (c *Client) ForgetNode(ctx context.Context, node string, base uint64) (ChangeReply, error) {
	return c.sendChange(ctx, pathForget, ChangeRequest{Node: node, BaseVersion: base}, func(_ context.Context, s Status) (bool, error) {
		return !slices.ContainsFunc(s.Nodes, func(n NodeStatus) bool { return n.ID == node }), nil
	})
}

// dataCentreHasState returns a check that a data centre is disabled or enabled.
func dataCentreHasState(name string, disabled bool) appliedCheck {
	return func(_ context.Context, s Status) (bool, error) {
		return slices.ContainsFunc(s.DataCentres, func(d DataCentreStatus) bool { return d.Name == name && d.Disabled == disabled }), nil
	}
}

// appliedCheck reports whether a status shows the requested state.
type appliedCheck func(context.Context, Status) (bool, error)

// sendChange sends a change to the first reachable server. It tries the next server
// only after a 5xx error whose outcome is not_run; a 4xx refusal is final. After an
// unknown outcome it reads the state back and does not send the change again. If the
// status before the change could not be read, it returns the error instead.
func (c *Client) sendChange(ctx context.Context, path string, change ChangeRequest, isApplied appliedCheck) (ChangeReply, error) {
	var reply ChangeReply
	var lastErr error
	for _, server := range c.servers {
		statusBefore, beforeErr := c.Status(ctx)
		lastErr = c.call(ctx, server, http.MethodPost, path, change, &reply)
		if lastErr == nil {
			return reply, nil
		}
		var apiErr *apierror.Error
		if !errors.As(lastErr, &apiErr) || (apiErr.Outcome != apierror.NotRun) {
			if beforeErr != nil {
				return reply, lastErr
			}
			return c.readBack(ctx, statusBefore.Version, isApplied, lastErr)
		}
		if apiErr.Status() < http.StatusInternalServerError {
			return reply, lastErr
		}
	}
	return reply, lastErr
}

// readBack polls the status after an unknown outcome, until it shows the requested
// state at a version above versionBefore or readBackTimeout has passed.
func (c *Client) readBack(ctx context.Context, versionBefore uint64, isApplied appliedCheck, cause error) (ChangeReply, error) {
	deadline := time.Now().Add(readBackTimeout)
	for {
		status, err := c.Status(ctx)
		if err == nil && status.Version > versionBefore {
			applied, err := isApplied(ctx, status)
			if err == nil && applied {
				return ChangeReply{Version: status.Version, Accepted: status.Accepted >= status.Version, UnconfirmedNodes: []string{}}, nil
			}
		}
		if time.Now().After(deadline) {
			return ChangeReply{}, apierror.New(apierror.KindUnknown, "change_outcome_unknown",
				"the change was sent once, its outcome is unknown, and the status does not show it after "+readBackTimeout.String()+
					"; check the audit trail before repeating it ("+cause.Error()+")", apierror.Unknown)
		}
		if !sleep(ctx, readBackPeriod) {
			return ChangeReply{}, cause
		}
	}
}

// WaitInForce waits until a version is in force everywhere. When the context ends
// first, it returns the context's error with the last status, whose NodesBehind
// method returns the nodes that have not reported the version.
func (c *Client) WaitInForce(ctx context.Context, version uint64) (Status, error) {
	var status Status
	for {
		next, err := c.Status(ctx)
		if err == nil {
			status = next
			if status.Accepted >= version {
				return status, nil
			}
		} else if ctx.Err() == nil {
			var apiErr *apierror.Error
			if errors.As(err, &apiErr) && apiErr.Status() < http.StatusInternalServerError {
				return status, err
			}
		}
		if !sleep(ctx, acceptancePollPeriod) {
			return status, errors.Wrapf(ctx.Err(), "version %d is not known to be in force everywhere", version)
		}
	}
}

// sleep waits for d and reports true, or false when the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
