// Command apricotgrade-standin runs one stand-in: the platform, a model engine
// or an order service.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"github.com/apricotgrade/apricotgrade/pkg/standin"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	for _, c := range standin.Commands() {
		subcommands.Register(c, "")
	}
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
