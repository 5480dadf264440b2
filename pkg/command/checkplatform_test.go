package command_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"

	"github.com/apricotgrade/apricotgrade/pkg/command"
)

// checkedConfigs holds configurations of the platform. Their field names occur nowhere
// else than in that folder and the golden files.
var checkedConfigs = filepath.Join("..", "..", "platform", "testdata", "check")

// TestCheckPlatformOutput guards against changes of the findings, their places and their
// remedies that nobody has looked at. go test ./pkg/command -run CheckPlatform -update
// rewrites the golden files.
func TestCheckPlatformOutput(t *testing.T) {
	golden, err := filepath.Abs(filepath.Join("testdata", "golden"))
	if err != nil {
		t.Fatal(err)
	}
	t.Chdir(checkedConfigs)
	for _, c := range []struct {
		name string
		code int
		args []string
	}{
		{"sound", command.ExitOK, []string{"sound.json"}},
		{"differences", command.ExitOK, []string{"sound.json", "-against", "in-force.json"}},
		{"version", command.ExitInvalid, []string{"in-force.json", "-against", "sound.json"}},
		{"in-force-unreadable", command.ExitInvalid, []string{"sound.json", "-against", "syntax.json"}},
		{"faults", command.ExitInvalid, []string{"faults.json"}},
		{"syntax", command.ExitInvalid, []string{"syntax.json"}},
		{"types", command.ExitInvalid, []string{"types.json"}},
		{"empty", command.ExitInvalid, []string{"empty.json"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			for form, flags := range map[string][]string{"text": nil, "json": {"-json"}} {
				code, out, _ := runCommand(t, "", append(append([]string{"check-platform"}, c.args...), flags...)...)
				g.Expect(code).To(gomega.Equal(c.code), form)
				g.Expect(out).NotTo(gomega.ContainSubstring("secret-"), "a key in the output")
				goldie.New(t, goldie.WithFixtureDir(golden)).Assert(t, "check-platform-"+c.name+"-"+form, []byte(out))
			}
		})
	}
}

// TestCheckPlatformExitCodes guards against scripts that cannot tell faults from an
// unreadable file or from wrong arguments.
func TestCheckPlatformExitCodes(t *testing.T) {
	g := gomega.NewWithT(t)
	sound, err := os.ReadFile(filepath.Join(checkedConfigs, "sound.json"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	absent := filepath.Join(t.TempDir(), "absent.json")
	for _, c := range []struct {
		stdin string
		args  []string
		code  int
	}{
		{string(sound), []string{"-"}, command.ExitOK},
		{strings.Replace(string(sound), `"small"`, `"large"`, 1), []string{"-"}, command.ExitInvalid},
		{"", []string{absent}, command.ExitFailure},
		{string(sound), []string{"-", "-against", absent}, command.ExitFailure},
		{"", nil, command.ExitUsage},
		{"", []string{"a", "b"}, command.ExitUsage},
		{string(sound), []string{"-", "-against", "-"}, command.ExitUsage},
		{string(sound), []string{"-", "-memory-mb", "0"}, command.ExitUsage},
		{string(sound), []string{"-", "-unknown"}, command.ExitUsage},
	} {
		code, _, errOut := runCommand(t, c.stdin, append([]string{"check-platform"}, c.args...)...)
		g.Expect(code).To(gomega.Equal(c.code), "%v: %s", c.args, errOut)
	}
}

// TestCheckPlatformKeepsNamesOnOneLine guards against names in a file that forge a line
// of the output or control the terminal.
func TestCheckPlatformKeepsNamesOnOneLine(t *testing.T) {
	g := gomega.NewWithT(t)
	_, out, _ := runCommand(t, `{"version":1,"a\n\u001b[2Jb":1}`, "check-platform", "-")
	g.Expect(out).To(gomega.ContainSubstring("unread_field"))
	g.Expect(out).NotTo(gomega.ContainSubstring("\x1b"))
	g.Expect(out).NotTo(gomega.ContainSubstring("\nb"))
	g.Expect(out).NotTo(gomega.ContainSubstring("a\n"))
}
