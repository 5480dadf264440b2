package command

import (
	"context"
	"flag"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"

	"github.com/apricotgrade/apricotgrade/pkg/bench"
)

func newBench() *Command {
	asJSON, seed := false, uint64(1)
	return &Command{
		name: "bench", args: "[NAME [ARGS]]", synopsis: "run a measurement, or list the measurements",
		flags: func(f *flag.FlagSet) {
			f.BoolVar(&asJSON, "json", false, "print JSON")
			f.Uint64Var(&seed, "seed", 1, "seed of all random choices")
		},
		run: func(ctx context.Context, e *environment, args []string) error {
			if len(args) == 0 {
				w := tabwriter.NewWriter(e.stdout, 0, 0, 2, ' ', 0)
				for _, m := range bench.All() {
					fprintf(w, "%s\t%s\n", m.Name, m.Synopsis)
				}
				return errors.Wrap(w.Flush(), "list measurements")
			}
			measurement, ok := bench.Find(args[0])
			if !ok {
				return errors.Errorf("no measurement is named %s; name one of: %s", args[0], strings.Join(measurementNames(), ", "))
			}
			return measurement.Run(ctx, bench.Options{Seed: seed, JSON: asJSON, Out: e.stdout, Args: args[1:]})
		},
	}
}

func measurementNames() []string {
	var names []string
	for _, m := range bench.All() {
		names = append(names, m.Name)
	}
	return names
}
