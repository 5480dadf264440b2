// Package testdaemon builds the entry daemon for tests that run it as a separate
// process.
package testdaemon

import (
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/apricotgrade/apricotgrade/internal/gozero"
)

const daemonPackage = "github.com/apricotgrade/apricotgrade/cmd/apricotgraded"

// Run builds the daemon, stores the path of the binary in daemonPath, runs the tests
// of a package and returns their exit code. Go's test cache does not track the
// sources of the daemon, so a cached result may come from an older daemon.
func Run(daemonPath *string, runTests func() int, errOut io.Writer) int {
	gozero.Quiet(slog.New(slog.DiscardHandler))
	dir, err := os.MkdirTemp("", "apricotgrade-test")
	if err != nil {
		_, _ = fmt.Fprintln(errOut, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	*daemonPath = filepath.Join(dir, "apricotgraded")
	if out, err := exec.Command("go", "build", "-o", *daemonPath, daemonPackage).CombinedOutput(); err != nil {
		_, _ = fmt.Fprintln(errOut, string(out), err)
		return 1
	}
	return runTests()
}
