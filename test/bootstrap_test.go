package test

import (
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

// TestBootstrapOfEmptyPlatform guards against an installation that cannot be set
// up on an empty platform with only the operator command line, and against a first
// configuration that puts another preset in force than the first one declared.
func TestBootstrapOfEmptyPlatform(t *testing.T) {
	g := gomega.NewWithT(t)
	inst := newInstallation(t)
	text := strings.Replace(declarations, "[preset ordinary]", "[preset ordinary]\n[preset absent]", 1)
	inst.writeFile("declarations.ini", text)
	inst.start(programStandin, "platform", "-settings", inst.writeFile("platform.ini", "[platform]\nlisten = <platform>\n"))
	inst.start(programDaemon, "-settings", inst.writeFile("n1.ini", nodeSettings("n1", "north")))
	server := "http://" + inst.address("n1-admin")
	eventually(t, startupTimeout, func() string {
		nodeStatus, statusProblem := inst.status("n1")
		if statusProblem == "" && len(nodeStatus.Nodes) == 0 {
			return "node n1 is not registered"
		}
		return statusProblem
	})
	out, code := inst.runOperator("plan", "declarations.ini", "--server", server)
	g.Expect(code).To(gomega.Equal(0), out)
	g.Expect(out).To(gomega.ContainSubstring("+ [group g1] model = draft; version = 1; members = 2"))
	out, code = inst.runOperator("apply", "declarations.ini", "--server", server)
	g.Expect(code).To(gomega.Equal(0), out)
	status, problem := inst.status("n1")
	g.Expect(problem).To(gomega.BeEmpty())
	g.Expect(status.Preset).To(gomega.Equal("ordinary"))
	g.Expect(status.Groups).To(gomega.HaveLen(2))
	out, code = inst.runOperator("apply", "declarations.ini", "--server", server)
	g.Expect(code).To(gomega.Equal(0), out)
	g.Expect(out).To(gomega.ContainSubstring("no changes"))
}
