package command

import (
	"context"
	"flag"
	"io"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/apricotgrade/apricotgrade/pkg/declaration"
	"github.com/apricotgrade/apricotgrade/pkg/operator"
)

// defaultWait covers the time until a change is in force everywhere, with a margin
// for a node that has just stopped.
const defaultWait = 30 * time.Second

// readDeclarations reads and checks declarations from a file, or from standard input
// when path is "-".
func readDeclarations(e *environment, path string) (string, error) {
	var content []byte
	var err error
	if path == "-" {
		content, err = io.ReadAll(e.stdin)
	} else {
		content, err = os.ReadFile(path)
	}
	if err != nil {
		return "", errors.Wrap(err, "read declarations")
	}
	_, err = declaration.Parse(path, content)
	return string(content), err
}

func newCheck() *Command {
	return &Command{
		name: "check", args: "FILE", synopsis: "check declarations without a server",
		help: "Reports all faults at once. FILE \"-\" is standard input.",
		run: func(_ context.Context, e *environment, args []string) error {
			if len(args) != 1 {
				return errUsage
			}
			if _, err := readDeclarations(e, args[0]); err != nil {
				return err
			}
			fprintln(e.stdout, args[0]+": no faults")
			return nil
		},
	}
}

// requestPlan reads the declarations from the file named by the only argument and
// requests the plan for applying them. It returns the text and the plan.
func requestPlan(ctx context.Context, e *environment, args []string) (string, operator.Plan, error) {
	if len(args) != 1 {
		return "", operator.Plan{}, errUsage
	}
	text, err := readDeclarations(e, args[0])
	if err != nil {
		return "", operator.Plan{}, err
	}
	plan, err := e.client.Plan(ctx, text)
	return text, plan, err
}

func newPlan() *Command {
	asJSON := false
	return &Command{
		name: "plan", args: "FILE", synopsis: "show what applying declarations would change", callsServer: true,
		flags: func(f *flag.FlagSet) { f.BoolVar(&asJSON, "json", false, "print JSON") },
		run: func(ctx context.Context, e *environment, args []string) error {
			_, plan, err := requestPlan(ctx, e, args)
			if err != nil {
				return err
			}
			if asJSON {
				return writeJSON(e.stdout, plan)
			}
			printPlan(e.stdout, plan.BaseVersion, plan.Changes)
			return nil
		},
	}
}

func printPlan(out io.Writer, base uint64, changes declaration.Changes) {
	if len(changes) == 0 {
		fprintf(out, "no changes to version %d\n", base)
		return
	}
	noun := "changes"
	if len(changes) == 1 {
		noun = "change"
	}
	fprintf(out, "%d %s to version %d:\n%s\n", len(changes), noun, base, changes)
}

func newApply() *Command {
	var wait time.Duration
	var base uint64
	return &Command{
		name: "apply", args: "FILE", synopsis: "put declarations in force and wait until they are in force everywhere", callsServer: true,
		help: "Shows the plan first. The change is refused when the configuration has changed since the plan.",
		flags: func(f *flag.FlagSet) {
			addWaitFlag(f, &wait)
			f.Uint64Var(&base, "base", 0, "refuse the change unless this version is in force (default the base version of the plan shown)")
		},
		run: func(ctx context.Context, e *environment, args []string) error {
			text, plan, err := requestPlan(ctx, e, args)
			if err != nil {
				return err
			}
			printPlan(e.stdout, plan.BaseVersion, plan.Changes)
			if len(plan.Changes) == 0 {
				return nil
			}
			if base == 0 {
				base = plan.BaseVersion
			}
			return commitAndWait(ctx, e, wait, func(ctx context.Context) (operator.ChangeReply, error) {
				return e.client.Apply(ctx, text, base)
			})
		},
	}
}

func newExport() *Command {
	return &Command{
		name: "export", synopsis: "print the declarations in force", callsServer: true,
		run: func(ctx context.Context, e *environment, args []string) error {
			if len(args) != 0 {
				return errUsage
			}
			d, err := e.client.Declarations(ctx)
			if err != nil {
				return err
			}
			fprintf(e.stdout, "# version %d\n\n%s", d.Version, d.Text)
			return nil
		},
	}
}
