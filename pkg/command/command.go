// Package command is the operator command line.
package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/inifile"
	"github.com/apricotgrade/apricotgrade/pkg/operator"
)

// Exit codes. docs/OPERATIONS.md lists them.
const (
	ExitOK = 0
	// ExitFailure means that the command failed for a reason without a code of
	// its own.
	ExitFailure = 1
	// ExitUsage means wrong arguments.
	ExitUsage = 2
	// ExitInvalid means that declarations have faults. Nothing was changed.
	ExitInvalid = 3
	// ExitRefused means that the server refused. Nothing was changed.
	ExitRefused = 4
	// ExitUnknown means that a change was sent and its outcome is unknown.
	ExitUnknown = 5
	// ExitNotInForce means that a change was committed and is not known to be
	// in force everywhere within the wait.
	ExitNotInForce = 6
	// ExitUnreachable means that no server could be reached. Nothing was
	// changed.
	ExitUnreachable = 7
)

// errUsage asks for the usage text and ExitUsage.
var errUsage = errors.New("wrong arguments")

// notInForceError says where a committed version is not in force.
type notInForceError struct {
	version uint64
	behind  []operator.NodeStatus
	cause   error
}

func (e *notInForceError) Error() string {
	if len(e.behind) == 0 {
		return fmt.Sprintf("version %d is committed; %s", e.version, e.cause)
	}
	places := make([]string, 0, len(e.behind))
	for _, n := range e.behind {
		places = append(places, fmt.Sprintf("%s at %s (has version %d)", n.ID, n.Address, n.Version))
	}
	return fmt.Sprintf("version %d is committed and not in force at: %s; a node that is gone for good is removed with apricotgrade forget NODE",
		e.version, strings.Join(places, ", "))
}

// Command is one subcommand. Flags may stand before and behind arguments.
type Command struct {
	name     string
	args     string
	synopsis string
	help     string
	// remote commands take the flags of a client.
	remote bool
	flags  func(f *flag.FlagSet)
	run    func(ctx context.Context, e *env, args []string) error

	connection connection
}

// env is what a command works with.
type env struct {
	out    io.Writer
	err    io.Writer
	in     io.Reader
	client *operator.Client
}

// All returns the subcommands of the operator command line.
func All() []*Command {
	return []*Command{
		newDev(), newCheck(), newPlan(), newApply(), newPreset(), newOut(), newIn(), newForget(),
		newStatus(), newOrder(), newExplain(), newAudit(), newExport(), newBench(), newHash(), newKey(),
	}
}

// Name implements subcommands.Command.
func (c *Command) Name() string { return c.name }

// Synopsis implements subcommands.Command.
func (c *Command) Synopsis() string { return c.synopsis }

// Usage implements subcommands.Command.
func (c *Command) Usage() string {
	line := "apricotgrade " + c.name + " [flags]"
	if c.args != "" {
		line += " " + c.args
	}
	text := line + "\n  " + c.synopsis + ".\n"
	if c.help != "" {
		text += "  " + strings.ReplaceAll(c.help, "\n", "\n  ") + "\n"
	}
	return text
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	if c.remote {
		c.connection.setFlags(f)
	}
	if c.flags != nil {
		c.flags(f)
	}
}

// Execute implements subcommands.Command.
func (c *Command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return subcommands.ExitStatus(c.Run(ctx, f, os.Stdin, os.Stdout, os.Stderr))
}

// Run runs the command after its flags were parsed and returns its exit code.
func (c *Command) Run(ctx context.Context, f *flag.FlagSet, in io.Reader, out, errOut io.Writer) int {
	args, err := positional(f)
	if err != nil {
		return ExitUsage
	}
	e := &env{out: out, err: errOut, in: in}
	if c.remote {
		if e.client, err = c.connection.client(); err != nil {
			fprintln(errOut, err)
			return ExitUsage
		}
	}
	err = c.run(ctx, e, args)
	if errors.Is(err, errUsage) {
		fprintf(errOut, "%s", c.Usage())
		f.SetOutput(errOut)
		f.PrintDefaults()
		return ExitUsage
	}
	if err != nil {
		fprintln(errOut, err)
	}
	return exitCode(err)
}

// positional returns the arguments. Flags that stand behind them are parsed.
func positional(f *flag.FlagSet) ([]string, error) {
	var args []string
	for f.NArg() > 0 {
		rest := f.Args()
		if strings.HasPrefix(rest[0], "-") && rest[0] != "-" {
			if err := f.Parse(rest); err != nil {
				return nil, errors.Wrap(err, "parse flags")
			}
			continue
		}
		args = append(args, rest[0])
		if err := f.Parse(rest[1:]); err != nil {
			return nil, errors.Wrap(err, "parse flags")
		}
	}
	return args, nil
}

func exitCode(err error) int {
	var problems inifile.Problems
	var refused *operator.RefusedError
	var behind *notInForceError
	var typed *apierror.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &problems), errors.As(err, &refused):
		return ExitInvalid
	case errors.As(err, &behind):
		return ExitNotInForce
	case !errors.As(err, &typed):
		return ExitFailure
	case typed.Outcome != apierror.NotRun:
		return ExitUnknown
	case typed.Kind == apierror.KindUnavailable:
		return ExitUnreachable
	}
	return ExitRefused
}
