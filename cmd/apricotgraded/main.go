// Command apricotgraded runs the entry daemon.
package main

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/apricotgrade/apricotgrade/internal/processsignal"
	"github.com/apricotgrade/apricotgrade/pkg/node"
)

func main() {
	settingsPath := flag.String("settings", cmp.Or(os.Getenv("APRICOTGRADE_SETTINGS"), "apricotgraded.ini"),
		"settings file; docs/settings.md lists its keys")
	var machine node.Machine
	flag.IntVar(&machine.MemoryMB, "memory-mb", 0, "memory in MiB that the process may use; 0 leaves it to the setting memory_mb")
	flag.Float64Var(&machine.ProcessorShare, "processor-share", 0, "part of a processor core that the process may use; 0 leaves it to the setting processor_share")
	flag.Parse()
	if err := node.Main(context.Background(), *settingsPath, machine, os.Stdout, processsignal.Stop(), processsignal.Reload()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
