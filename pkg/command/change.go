package command

import (
	"context"
	"flag"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/operator"
)

// addWaitFlag adds the -wait flag of commands that change the configuration.
func addWaitFlag(f *flag.FlagSet, wait *time.Duration) {
	f.DurationVar(wait, "wait", defaultWait, "how long to wait until the change is in force everywhere; 0 does not wait")
}

// commitAndWait sends a change, reports its version and waits until it is in force
// everywhere. The reported duration starts before the change is sent, because a
// server answers only once the change is in force or late.
func commitAndWait(ctx context.Context, e *environment, wait time.Duration, change func(context.Context) (operator.ChangeReply, error)) error {
	start := time.Now()
	reply, err := change(ctx)
	if err != nil {
		return err
	}
	fprintf(e.stdout, "version %d committed\n", reply.Version)
	if wait <= 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	status, err := e.client.WaitInForce(ctx, reply.Version)
	if err != nil {
		return &notInForceError{reply.Version, status.NodesBehind(reply.Version), err}
	}
	fprintf(e.stdout, "version %d in force everywhere after %.1f s\n", reply.Version, time.Since(start).Seconds())
	return nil
}

// newChangeCommand returns a command that takes one name as its argument and sends
// the change for it.
func newChangeCommand(name, args, synopsis, help string,
	change func(ctx context.Context, c *operator.Client, name string, base uint64) (operator.ChangeReply, error),
) *Command {
	var wait time.Duration
	var base uint64
	return &Command{
		name: name, args: args, synopsis: synopsis, help: help, callsServer: true,
		flags: func(f *flag.FlagSet) {
			addWaitFlag(f, &wait)
			f.Uint64Var(&base, "base", 0, "refuse the change unless this version is in force; 0 allows any version")
		},
		run: func(ctx context.Context, e *environment, args []string) error {
			if len(args) != 1 {
				return errUsage
			}
			return commitAndWait(ctx, e, wait, func(ctx context.Context) (operator.ChangeReply, error) {
				return change(ctx, e.client, args[0], base)
			})
		},
	}
}

func newPreset() *Command {
	return newChangeCommand("preset", "NAME", "put a preset in force", "Exactly one preset is in force at any time.",
		func(ctx context.Context, c *operator.Client, name string, base uint64) (operator.ChangeReply, error) {
			return c.Preset(ctx, name, base)
		})
}

const placeArgumentHelp = "PLACE is the name of a data centre. With --target it is a replica group, or SERVICE/REPLICA of a plain service."

func newOut() *Command {
	return newAvailabilityCommand("out", "take a data centre or a target out of service",
		"It receives no new work within 3 s. Work in progress is finished.\n"+placeArgumentHelp,
		(*operator.Client).DisableDataCentre, (*operator.Client).DisableTarget)
}

func newIn() *Command {
	return newAvailabilityCommand("in", "bring a data centre or a target back into service", placeArgumentHelp,
		(*operator.Client).EnableDataCentre, (*operator.Client).EnableTarget)
}

// availabilityChange is a method of the client that disables or enables a data
// centre or a target.
type availabilityChange func(c *operator.Client, ctx context.Context, name string, base uint64) (operator.ChangeReply, error)

// newAvailabilityCommand returns a command that disables or enables a data centre,
// or with --target a target.
func newAvailabilityCommand(name, synopsis, help string, dataCentre, target availabilityChange) *Command {
	isTarget := false
	c := newChangeCommand(name, "PLACE", synopsis, help,
		func(ctx context.Context, c *operator.Client, place string, base uint64) (operator.ChangeReply, error) {
			if isTarget {
				return target(c, ctx, place, base)
			}
			return dataCentre(c, ctx, place, base)
		})
	addCommonFlags := c.flags
	c.flags = func(f *flag.FlagSet) {
		addCommonFlags(f)
		f.BoolVar(&isTarget, "target", false, "PLACE names a target instead of a data centre")
	}
	return c
}

func newForget() *Command {
	return newChangeCommand("forget", "NODE", "remove an entry daemon that no longer runs from the registry",
		"Its share of the targets' limits goes to the other nodes, and changes no longer wait for it.\nUse it only for a node that no longer runs: a node that still runs registers again.",
		func(ctx context.Context, c *operator.Client, name string, base uint64) (operator.ChangeReply, error) {
			return c.ForgetNode(ctx, name, base)
		})
}
