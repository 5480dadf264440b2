// Package command implements the operator command line.
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
	// ExitFailure means that the command failed for a reason that has no exit code
	// of its own.
	ExitFailure = 1
	// ExitUsage means wrong arguments or flags, or a missing operator key.
	ExitUsage = 2
	// ExitInvalid means that declarations or a configuration of the platform have
	// faults. Nothing was changed.
	ExitInvalid = 3
	// ExitRefused means that the server refused the request. Nothing was changed.
	ExitRefused = 4
	// ExitUnknown means that a change was sent and its outcome is unknown.
	ExitUnknown = 5
	// ExitNotInForce means that a change was committed but was not known to be in
	// force everywhere within the wait time.
	ExitNotInForce = 6
	// ExitUnreachable means that no server could be reached. Nothing was
	// changed.
	ExitUnreachable = 7
)

// errUsage makes Run print the usage text and return ExitUsage.
var errUsage = errors.New("wrong arguments")

// notInForceError reports a committed version that is not known to be in force
// everywhere, with the nodes that have not reported it.
type notInForceError struct {
	version     uint64
	nodesBehind []operator.NodeStatus
	cause       error
}

func (e *notInForceError) Error() string {
	if len(e.nodesBehind) == 0 {
		return fmt.Sprintf("version %d is committed; %s", e.version, e.cause)
	}
	lagging := make([]string, 0, len(e.nodesBehind))
	for _, n := range e.nodesBehind {
		lagging = append(lagging, fmt.Sprintf("%s at %s (has version %d)", n.ID, n.Address, n.Version))
	}
	return fmt.Sprintf("version %d is committed and not in force at: %s; remove a node that no longer runs with apricotgrade forget NODE",
		e.version, strings.Join(lagging, ", "))
}

// Command is one subcommand. Flags may precede or follow the arguments.
type Command struct {
	name     string
	args     string
	synopsis string
	help     string
	// callsServer is set for commands that call the operator API. They accept the
	// flags of the connection.
	callsServer bool
	flags       func(f *flag.FlagSet)
	run         func(ctx context.Context, e *environment, args []string) error

	connection connectionFlags
}

// environment holds the standard streams of a command and its client, which is nil
// unless the command calls a server.
type environment struct {
	stdout io.Writer
	stderr io.Writer
	stdin  io.Reader
	client *operator.Client
}

// All returns the subcommands of the operator command line.
func All() []*Command {
	return []*Command{
		newDev(), newCheck(), newCheckPlatform(), newPlan(), newApply(), newPreset(), newOut(), newIn(), newForget(),
		newQuarantine(), newLift(), newStatus(), newOrder(), newExplain(), newAudit(), newExport(), newBench(), newHash(), newKey(),
	}
}

// Name implements subcommands.Command.
func (c *Command) Name() string { return c.name }

// Synopsis implements subcommands.Command.
func (c *Command) Synopsis() string { return c.synopsis }

// Usage implements subcommands.Command.
func (c *Command) Usage() string {
	usageLine := "apricotgrade " + c.name + " [flags]"
	if c.args != "" {
		usageLine += " " + c.args
	}
	text := usageLine + "\n  " + c.synopsis + ".\n"
	if c.help != "" {
		text += "  " + strings.ReplaceAll(c.help, "\n", "\n  ") + "\n"
	}
	return text
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	if c.callsServer {
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

// Run runs the command and returns its exit code. The flags before the first
// argument must have been parsed into f.
func (c *Command) Run(ctx context.Context, f *flag.FlagSet, in io.Reader, out, errOut io.Writer) int {
	args, err := parsePositional(f)
	if err != nil {
		return ExitUsage
	}
	e := &environment{stdout: out, stderr: errOut, stdin: in}
	if c.callsServer {
		if e.client, err = c.connection.newClient(); err != nil {
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

// parsePositional returns the positional arguments and parses the flags that follow
// them.
func parsePositional(f *flag.FlagSet) ([]string, error) {
	var args []string
	for f.NArg() > 0 {
		remaining := f.Args()
		if strings.HasPrefix(remaining[0], "-") && remaining[0] != "-" {
			if err := f.Parse(remaining); err != nil {
				return nil, errors.Wrap(err, "parse flags")
			}
			continue
		}
		args = append(args, remaining[0])
		if err := f.Parse(remaining[1:]); err != nil {
			return nil, errors.Wrap(err, "parse flags")
		}
	}
	return args, nil
}

// exitCode returns the exit code for the error of a command.
func exitCode(err error) int {
	var problems inifile.Problems
	var invalid *operator.InvalidDeclarationsError
	var faults *faultsError
	var notInForce *notInForceError
	var apiErr *apierror.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &problems), errors.As(err, &invalid), errors.As(err, &faults):
		return ExitInvalid
	case errors.As(err, &notInForce):
		return ExitNotInForce
	case !errors.As(err, &apiErr):
		return ExitFailure
	case apiErr.Outcome != apierror.NotRun:
		return ExitUnknown
	case apiErr.Kind == apierror.KindUnavailable:
		return ExitUnreachable
	}
	return ExitRefused
}
