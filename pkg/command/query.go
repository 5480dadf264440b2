package command

import (
	"context"
	"encoding/json"
	"flag"
	"io"
	"text/tabwriter"

	"github.com/pkg/errors"
)

func writeJSON(out io.Writer, v any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(v), "print JSON")
}

func newStatus() *Command {
	asJSON := false
	return &Command{
		name: "status", synopsis: "show the status reported by the first entry daemon that answers", callsServer: true,
		flags: func(f *flag.FlagSet) { f.BoolVar(&asJSON, "json", false, "print JSON") },
		run: func(ctx context.Context, e *environment, args []string) error {
			if len(args) != 0 {
				return errUsage
			}
			status, err := e.client.Status(ctx)
			if err != nil {
				return err
			}
			if asJSON {
				return writeJSON(e.stdout, status)
			}
			return printStatus(e.stdout, status)
		},
	}
}

func newOrder() *Command {
	asJSON := false
	return &Command{
		name: "order", args: "ACCOUNT KEY", synopsis: "show the outcome of a non-idempotent request", callsServer: true,
		help:  "KEY is the value of the request's Idempotency-Key header.",
		flags: func(f *flag.FlagSet) { f.BoolVar(&asJSON, "json", false, "print JSON") },
		run: func(ctx context.Context, e *environment, args []string) error {
			if len(args) != 2 {
				return errUsage
			}
			order, err := e.client.RequestOutcome(ctx, args[0], args[1])
			if err != nil {
				return err
			}
			if asJSON {
				return writeJSON(e.stdout, order)
			}
			w := tabwriter.NewWriter(e.stdout, 0, 0, 2, ' ', 0)
			fprintf(w, "state\t%s\nservice\t%s\nrequest\t%s\nnode\t%s\n", order.State, order.Service, order.RequestID, order.Node)
			if order.Status != 0 {
				fprintf(w, "status\t%d\nanswer\t%s\n", order.Status, order.Answer)
			}
			return errors.Wrap(w.Flush(), "print order")
		},
	}
}

// defaultAuditEntries is the default of the -limit flag.
const defaultAuditEntries = 20

func newAudit() *Command {
	asJSON, since, limit := false, uint64(0), 0
	return &Command{
		name: "audit", synopsis: "show the latest changes of the configuration", callsServer: true,
		flags: func(f *flag.FlagSet) {
			f.BoolVar(&asJSON, "json", false, "print JSON")
			f.Uint64Var(&since, "since", 0, "show only versions after this one")
			f.IntVar(&limit, "limit", defaultAuditEntries, "maximum number of entries to show")
		},
		run: func(ctx context.Context, e *environment, args []string) error {
			if len(args) != 0 {
				return errUsage
			}
			audit, err := e.client.Audit(ctx, since, limit)
			if err != nil {
				return err
			}
			if asJSON {
				return writeJSON(e.stdout, audit)
			}
			w := tabwriter.NewWriter(e.stdout, 0, 0, 2, ' ', 0)
			fprintln(w, "VERSION\tTIME\tOPERATOR\tACTION\tBEFORE\tAFTER")
			for _, a := range audit.Entries {
				fprintf(w, "%d\t%s\t%s\t%s\t%s\t%s\n", a.Version, textOrDash(a.Time), a.Operator, a.Action, textOrDash(a.Before), textOrDash(a.After))
			}
			return errors.Wrap(w.Flush(), "print audit trail")
		},
	}
}
