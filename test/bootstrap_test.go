package test

import (
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

// TestBootstrap guards against an installation that cannot be brought up on an
// empty platform with the operator command line alone, and against a first
// configuration with another preset in force than the first one declared.
func TestBootstrap(t *testing.T) {
	g := gomega.NewWithT(t)
	in := newInstallation(t)
	text := strings.Replace(declarations, "[preset ordinary]", "[preset ordinary]\n[preset absent]", 1)
	in.write("declarations.ini", text)
	in.start(programStandin, "platform", "-settings", in.write("platform.ini", "[platform]\nlisten = <platform>\n"))
	in.start(programDaemon, "-settings", in.write("n1.ini", nodeSettings("n1", "north")))
	server := "http://" + in.address("n1-admin")
	eventually(t, startTimeout, func() string {
		s, missing := in.status("n1")
		if missing == "" && len(s.Nodes) == 0 {
			return "node n1 is not registered"
		}
		return missing
	})
	out, code := in.operate("plan", "declarations.ini", "--server", server)
	g.Expect(code).To(gomega.Equal(0), out)
	g.Expect(out).To(gomega.ContainSubstring("+ [group g1] model = draft; version = 1; members = 2"))
	out, code = in.operate("apply", "declarations.ini", "--server", server)
	g.Expect(code).To(gomega.Equal(0), out)
	status, missing := in.status("n1")
	g.Expect(missing).To(gomega.BeEmpty())
	g.Expect(status.Preset).To(gomega.Equal("ordinary"))
	g.Expect(status.Groups).To(gomega.HaveLen(2))
	out, code = in.operate("apply", "declarations.ini", "--server", server)
	g.Expect(code).To(gomega.Equal(0), out)
	g.Expect(out).To(gomega.ContainSubstring("no changes"))
}
