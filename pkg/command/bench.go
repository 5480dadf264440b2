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
		name: "bench", args: "[NAME [ARGS]]", synopsis: "run a measurement, or list them",
		flags: func(f *flag.FlagSet) {
			f.BoolVar(&asJSON, "json", false, "print JSON")
			f.Uint64Var(&seed, "seed", 1, "seed of all random choices")
		},
		run: func(ctx context.Context, e *env, args []string) error {
			if len(args) == 0 {
				w := tabwriter.NewWriter(e.out, 0, 0, 2, ' ', 0)
				for _, b := range bench.All() {
					fprintf(w, "%s\t%s\n", b.Name, b.Synopsis)
				}
				return errors.Wrap(w.Flush(), "list measurements")
			}
			b, ok := bench.Find(args[0])
			if !ok {
				return errors.Errorf("no measurement is named %s; name one of: %s", args[0], strings.Join(benchNames(), ", "))
			}
			return b.Run(ctx, bench.Options{Seed: seed, JSON: asJSON, Out: e.out, Args: args[1:]})
		},
	}
}

func benchNames() []string {
	var names []string
	for _, b := range bench.All() {
		names = append(names, b.Name)
	}
	return names
}
