package command

import (
	"context"
	"flag"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/operator"
)

func setWait(f *flag.FlagSet, wait *time.Duration) {
	f.DurationVar(wait, "wait", defaultWait, "time to wait until the change is in force everywhere; 0 does not wait")
}

// settle makes a change, reports it and waits until it is in force everywhere.
// The time counts from before the change was sent, as a server answers only
// when the change is in force or late.
func settle(ctx context.Context, e *env, wait time.Duration, change func(context.Context) (operator.ChangeReply, error)) error {
	start := time.Now()
	reply, err := change(ctx)
	if err != nil {
		return err
	}
	fprintf(e.out, "version %d committed\n", reply.Version)
	if wait <= 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	status, err := e.client.WaitInForce(ctx, reply.Version)
	if err != nil {
		return &notInForceError{reply.Version, status.Behind(reply.Version), err}
	}
	fprintf(e.out, "version %d in force everywhere after %.1f s\n", reply.Version, time.Since(start).Seconds())
	return nil
}

// changeCommand returns a command that makes one change by name.
func changeCommand(name, args, synopsis, help string,
	change func(ctx context.Context, c *operator.Client, name string, base uint64) (operator.ChangeReply, error),
) *Command {
	var wait time.Duration
	var base uint64
	return &Command{
		name: name, args: args, synopsis: synopsis, help: help, remote: true,
		flags: func(f *flag.FlagSet) {
			setWait(f, &wait)
			f.Uint64Var(&base, "base", 0, "refuse the change unless this version is in force; 0 for any")
		},
		run: func(ctx context.Context, e *env, args []string) error {
			if len(args) != 1 {
				return errUsage
			}
			return settle(ctx, e, wait, func(ctx context.Context) (operator.ChangeReply, error) {
				return change(ctx, e.client, args[0], base)
			})
		},
	}
}

func newPreset() *Command {
	return changeCommand("preset", "NAME", "put a preset in force", "Exactly one preset is in force at any time.",
		func(ctx context.Context, c *operator.Client, name string, base uint64) (operator.ChangeReply, error) {
			return c.Preset(ctx, name, base)
		})
}

const placeHelp = "PLACE is the name of a data centre. With --target it is a replica group, or SERVICE/REPLICA of a plain service."

func newOut() *Command {
	return placeCommand("out", "take a data centre or a target out of service",
		"It receives no new work within 3 s. Work in progress is finished.\n"+placeHelp,
		(*operator.Client).OutDataCentre, (*operator.Client).OutTarget)
}

func newIn() *Command {
	return placeCommand("in", "bring a data centre or a target back into service", placeHelp,
		(*operator.Client).InDataCentre, (*operator.Client).InTarget)
}

type placeChange func(c *operator.Client, ctx context.Context, name string, base uint64) (operator.ChangeReply, error)

func placeCommand(name, synopsis, help string, dataCentre, target placeChange) *Command {
	isTarget := false
	c := changeCommand(name, "PLACE", synopsis, help,
		func(ctx context.Context, c *operator.Client, place string, base uint64) (operator.ChangeReply, error) {
			if isTarget {
				return target(c, ctx, place, base)
			}
			return dataCentre(c, ctx, place, base)
		})
	common := c.flags
	c.flags = func(f *flag.FlagSet) {
		common(f)
		f.BoolVar(&isTarget, "target", false, "PLACE is a target and not a data centre")
	}
	return c
}

func newForget() *Command {
	return changeCommand("forget", "NODE", "remove an entry daemon that is gone for good from the registry",
		"Its share of the targets' limits goes to the other nodes, and changes no longer wait for it.\nUse it only for a node that does not run: a node that still runs registers again.",
		func(ctx context.Context, c *operator.Client, name string, base uint64) (operator.ChangeReply, error) {
			return c.Forget(ctx, name, base)
		})
}
