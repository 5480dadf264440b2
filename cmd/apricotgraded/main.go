// Command apricotgraded is the entry daemon.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/apricotgrade/apricotgrade/pkg/node"
)

func main() {
	path := flag.String("settings", "apricotgraded.ini", "settings file; docs/settings.md lists its keys")
	flag.Parse()
	if err := node.Main(context.Background(), *path, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
