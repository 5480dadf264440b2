package command

import (
	"context"
	"flag"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/apricotgrade/apricotgrade/pkg/operator"
)

func newQuarantine() *Command {
	asJSON := false
	return &Command{
		name: "quarantine", synopsis: "list what is in quarantine because it ended the targets that ran it", callsServer: true,
		help:  "From 10 min after the last crash the nodes in turn run one request with it.",
		flags: func(f *flag.FlagSet) { f.BoolVar(&asJSON, "json", false, "print JSON") },
		run: func(ctx context.Context, e *environment, args []string) error {
			if len(args) != 0 {
				return errUsage
			}
			quarantines, err := e.client.Quarantines(ctx)
			if err != nil {
				return err
			}
			if asJSON {
				return writeJSON(e.stdout, quarantines)
			}
			w := tabwriter.NewWriter(e.stdout, 0, 0, 2, ' ', 0)
			fprintln(w, "TRAIT\tNEXT TRIAL\tLAST REQUEST\tENDED HOSTS")
			for _, q := range quarantines.Entries {
				fprintf(w, "%s\t%s\t%s\t%s\n", q.Trait, trialText(q), arrivalText(q), textOrDash(strings.Join(q.Hosts, " ")))
			}
			return errors.Wrap(w.Flush(), "print quarantines")
		},
	}
}

func trialText(q operator.Quarantine) string {
	if q.NextTrialMS == 0 {
		return "due"
	}
	return "in " + secondsText(q.NextTrialMS)
}

func arrivalText(q operator.Quarantine) string {
	if q.LastArrivalMS < 0 {
		return "-"
	}
	return secondsText(q.LastArrivalMS) + " ago"
}

func secondsText(ms int64) string {
	return (time.Duration(ms) * time.Millisecond).Round(time.Second).String()
}

func newLift() *Command {
	return &Command{
		name: "lift", args: "TRAIT", synopsis: "lift a quarantine", callsServer: true,
		help: "TRAIT is part/ID or request/ID, as apricotgrade quarantine lists it. All nodes run such requests again.",
		run: func(ctx context.Context, e *environment, args []string) error {
			if len(args) != 1 {
				return errUsage
			}
			reply, err := e.client.Lift(ctx, args[0])
			if err != nil {
				return err
			}
			fprintf(e.stdout, "%s lifted", args[0])
			if reply.Version > 0 {
				fprintf(e.stdout, ", audit record %d", reply.Version)
			}
			fprintln(e.stdout)
			return nil
		},
	}
}
