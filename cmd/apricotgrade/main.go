// Command apricotgrade is the command line for operators.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"github.com/apricotgrade/apricotgrade/pkg/command"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	for _, c := range command.All() {
		subcommands.Register(c, "")
	}
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
