// Package test runs session and failure tests over separate processes.
package test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/google/subcommands"

	"github.com/apricotgrade/apricotgrade/internal/processsignal"
	"github.com/apricotgrade/apricotgrade/pkg/command"
	"github.com/apricotgrade/apricotgrade/pkg/node"
	"github.com/apricotgrade/apricotgrade/pkg/standin"
)

// programEnv is the environment variable that selects the program that this test
// binary runs, so that no program has to be built first.
const programEnv = "APRICOTGRADE_TEST_PROGRAM"

// Programs that this test binary can run.
const (
	programDaemon  = "apricotgraded"
	programCommand = "apricotgrade"
	programStandin = "apricotgrade-standin"
)

func TestMain(m *testing.M) {
	switch os.Getenv(programEnv) {
	case programDaemon:
		path := flag.String("settings", "", "")
		flag.Parse()
		if err := node.Main(context.Background(), *path, node.Machine{}, os.Stderr, processsignal.Stop(), processsignal.Reload()); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	case programCommand:
		for _, c := range command.All() {
			subcommands.Register(c, "")
		}
	case programStandin:
		for _, c := range standin.Commands() {
			subcommands.Register(c, "")
		}
	default:
		os.Exit(m.Run())
	}
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
