package command_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/command"
)

const firstNodeLog = `{"time":"2026-01-01T10:00:01Z","level":"INFO","msg":"attempt started","event":1304,"request":"a1","attempt":2,"target":"i-1","group":"g1"}
{"time":"2026-01-01T10:00:03Z","level":"INFO","msg":"request refused","event":1300,"request":"a1","code":"target_lost","age":2000000000}
{"time":"2026-01-01T10:00:03Z","level":"INFO","msg":"request ended","event":1306,"request":"other","target":"i-1"}
not a line
`

const secondNodeLog = `  3.1 node-2 {"time":"2026-01-01T10:00:02Z","level":"WARN","msg":"replica group retired","event":1224,"group":"g1","reason":"member does not answer"}
{"time":"2026-01-01T10:00:09Z","level":"WARN","msg":"replica group retired","event":1224,"group":"g1","reason":"much later"}
`

// TestExplainFindsCauseInLogOfOtherNode guards against an explanation without the cause
// of a failure when only another node's log holds it, in a line that does not name the
// request.
func TestExplainFindsCauseInLogOfOtherNode(t *testing.T) {
	g := gomega.NewWithT(t)
	dir := t.TempDir()
	a, b := filepath.Join(dir, "a.log"), filepath.Join(dir, "b.log")
	g.Expect(os.WriteFile(a, []byte(firstNodeLog), 0o600)).To(gomega.Succeed())
	g.Expect(os.WriteFile(b, []byte(secondNodeLog), 0o600)).To(gomega.Succeed())
	code, out, _ := runCommand(t, "", "explain", "a1", a, b)
	g.Expect(code).To(gomega.Equal(command.ExitOK))
	g.Expect(out).To(gomega.MatchRegexp(`(?s)attempt started.*3\.1 node-2.*member does not answer.*request refused.*decided by: 1300 request refused age=2s code="target_lost"`))
	g.Expect(out).NotTo(gomega.Or(gomega.ContainSubstring("other"), gomega.ContainSubstring("much later")))
	code, _, errOut := runCommand(t, "", "explain", "none", a)
	g.Expect(code).To(gomega.Equal(command.ExitFailure))
	g.Expect(errOut).To(gomega.ContainSubstring("give the logs of all nodes"))
}
