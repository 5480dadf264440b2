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
	// readBackTime is for how long a change whose outcome is unknown is looked
	// for. It exceeds the time of a write to the table service and the period
	// in which every node reads the head.
	readBackTime   = 6 * time.Second
	readBackPeriod = 250 * time.Millisecond
	waitPeriod     = 100 * time.Millisecond
)

// Apply puts declarations in force. Base is the version that the plan was made
// against; 0 for any.
func (c *Client) Apply(ctx context.Context, declarations string, base uint64) (ChangeReply, error) {
	return c.change(ctx, pathApply, Change{Declarations: declarations, Base: base}, func(ctx context.Context, _ Status) (bool, error) {
		wanted, err := declaration.Parse("declarations", []byte(declarations))
		if err != nil {
			return false, err
		}
		present, err := c.Declarations(ctx)
		return err == nil && present.Text == declaration.Format(wanted), err
	})
}

// Preset puts a preset in force.
func (c *Client) Preset(ctx context.Context, preset string, base uint64) (ChangeReply, error) {
	return c.change(ctx, pathPreset, Change{Preset: preset, Base: base}, func(_ context.Context, s Status) (bool, error) {
		return s.Preset == preset, nil
	})
}

// OutDataCentre takes a data centre out of service.
func (c *Client) OutDataCentre(ctx context.Context, name string, base uint64) (ChangeReply, error) {
	return c.change(ctx, pathOut, Change{DataCentre: name, Base: base}, dataCentreIs(name, true))
}

// InDataCentre brings a data centre back into service.
func (c *Client) InDataCentre(ctx context.Context, name string, base uint64) (ChangeReply, error) {
	return c.change(ctx, pathIn, Change{DataCentre: name, Base: base}, dataCentreIs(name, false))
}

// OutTarget takes a target out of service.
func (c *Client) OutTarget(ctx context.Context, target string, base uint64) (ChangeReply, error) {
	return c.change(ctx, pathOut, Change{Target: target, Base: base}, func(_ context.Context, s Status) (bool, error) {
		return slices.Contains(s.TargetsOut, target), nil
	})
}

// InTarget brings a target back into service.
func (c *Client) InTarget(ctx context.Context, target string, base uint64) (ChangeReply, error) {
	return c.change(ctx, pathIn, Change{Target: target, Base: base}, func(_ context.Context, s Status) (bool, error) {
		return !slices.Contains(s.TargetsOut, target), nil
	})
}

// Forget removes a node that is gone for good from the registry.
func (c *Client) Forget(ctx context.Context, node string, base uint64) (ChangeReply, error) {
	return c.change(ctx, pathForget, Change{Node: node, Base: base}, func(_ context.Context, s Status) (bool, error) {
		return !slices.ContainsFunc(s.Nodes, func(n NodeStatus) bool { return n.ID == node }), nil
	})
}

func dataCentreIs(name string, out bool) inForce {
	return func(_ context.Context, s Status) (bool, error) {
		return slices.ContainsFunc(s.DataCentres, func(d DataCentreStatus) bool { return d.Name == name && d.Out == out }), nil
	}
}

// inForce reports whether a status shows the wanted state.
type inForce func(context.Context, Status) (bool, error)

// change sends a change to the first server that can be reached. Only an error
// that says that nothing was done moves on to the next server; after an
// unknown outcome the state is read back and the change is not sent again.
func (c *Client) change(ctx context.Context, path string, change Change, done inForce) (ChangeReply, error) {
	var reply ChangeReply
	var last error
	for _, server := range c.servers {
		before, beforeErr := c.Status(ctx)
		last = c.call(ctx, server, http.MethodPost, path, change, &reply)
		if last == nil {
			return reply, nil
		}
		var typed *apierror.Error
		if !errors.As(last, &typed) || (typed.Outcome != apierror.NotRun) {
			if beforeErr != nil {
				return reply, last
			}
			return c.readBack(ctx, before.Version, done, last)
		}
		if typed.Status() < http.StatusInternalServerError {
			return reply, last
		}
	}
	return reply, last
}

// readBack looks for the wanted state after an unknown outcome.
func (c *Client) readBack(ctx context.Context, before uint64, done inForce, cause error) (ChangeReply, error) {
	deadline := time.Now().Add(readBackTime)
	for {
		status, err := c.Status(ctx)
		if err == nil && status.Version > before {
			ok, err := done(ctx, status)
			if err == nil && ok {
				return ChangeReply{Version: status.Version, Accepted: status.Accepted >= status.Version, Missing: []string{}}, nil
			}
		}
		if time.Now().After(deadline) {
			return ChangeReply{}, apierror.New(apierror.KindUnknown, "change_outcome_unknown",
				"the change was sent once, its outcome is unknown and it is not visible after "+readBackTime.String()+
					"; look at the audit trail before repeating it ("+cause.Error()+")", apierror.Unknown)
		}
		if !sleep(ctx, readBackPeriod) {
			return ChangeReply{}, cause
		}
	}
}

// WaitInForce waits until a version is in force everywhere. When the context
// ends first, it returns the last status, whose Behind names the nodes that
// have not reported the version, and the error of the context.
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
			var typed *apierror.Error
			if errors.As(err, &typed) && typed.Status() < http.StatusInternalServerError {
				return status, err
			}
		}
		if !sleep(ctx, waitPeriod) {
			return status, errors.Wrapf(ctx.Err(), "version %d is not known to be in force everywhere", version)
		}
	}
}

// sleep waits and reports whether the context is still alive.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
