package command_test

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/internal/freeport"
	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/bench"
	"github.com/apricotgrade/apricotgrade/pkg/command"
	"github.com/apricotgrade/apricotgrade/pkg/operator"
)

// runCommand runs a command line in this process and returns its exit code, standard
// output and standard error.
func runCommand(t *testing.T, stdin string, args ...string) (code int, out, errOut string) {
	t.Helper()
	for _, c := range command.All() {
		if c.Name() != args[0] {
			continue
		}
		var stdout, stderr bytes.Buffer
		f := flag.NewFlagSet(c.Name(), flag.ContinueOnError)
		f.SetOutput(&stderr)
		c.SetFlags(f)
		if err := f.Parse(args[1:]); err != nil {
			return command.ExitUsage, "", stderr.String()
		}
		code = c.Run(context.Background(), f, strings.NewReader(stdin), &stdout, &stderr)
		return code, stdout.String(), stderr.String()
	}
	t.Fatalf("no command %s", args[0])
	return 0, "", ""
}

const validDeclarations = `[account a]
key_sha256 = 9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08
[data_centre north]
[preset ordinary]
`

func writeFile(t *testing.T, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "d.ini")
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// TestCheckReportsAllFaults guards against a check that needs a server, stops at the
// first fault or returns the wrong exit code.
func TestCheckReportsAllFaults(t *testing.T) {
	g := gomega.NewWithT(t)
	code, _, _ := runCommand(t, "", "check", writeFile(t, validDeclarations))
	g.Expect(code).To(gomega.Equal(command.ExitOK))
	code, _, _ = runCommand(t, validDeclarations, "check", "-")
	g.Expect(code).To(gomega.Equal(command.ExitOK))
	code, _, text := runCommand(t, "", "check", writeFile(t, validDeclarations+"[group g]\nmembers = 0\ncolour = red\n"))
	g.Expect(code).To(gomega.Equal(command.ExitInvalid))
	g.Expect(text).To(gomega.ContainSubstring("[group g] members = 0"))
	g.Expect(text).To(gomega.ContainSubstring("[group g] colour: unknown key"))
	code, _, text = runCommand(t, "", "check")
	g.Expect(code).To(gomega.Equal(command.ExitUsage))
	g.Expect(text).To(gomega.ContainSubstring("apricotgrade check"))
	code, _, _ = runCommand(t, "", "check", "/nonexistent")
	g.Expect(code).To(gomega.Equal(command.ExitFailure))
}

// TestHashMatchesDeclaredKeyHash guards against a printed hash that does not match the
// key in declarations, for example because the line end was hashed too.
func TestHashMatchesDeclaredKeyHash(t *testing.T) {
	g := gomega.NewWithT(t)
	_, out, _ := runCommand(t, "test\n", "hash")
	g.Expect(out).To(gomega.Equal("9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08\n"))
	code, _, _ := runCommand(t, "", "hash")
	g.Expect(code).To(gomega.Equal(command.ExitFailure))
}

// startFakeServer runs a server that answers every change with refusal, or with
// version 5 when refusal is nil. Its status shows that node n2 has not reported
// version 5.
func startFakeServer(t *testing.T, refusal *apierror.Error) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var answer any = operator.Status{Version: 5, Accepted: 4, Nodes: []operator.NodeStatus{
			{ID: "n1", Version: 5}, {ID: "n2", Address: "127.0.0.1:2", Version: 4},
		}}
		if r.Method == http.MethodPost {
			answer = operator.ChangeReply{Version: 5}
			if refusal != nil {
				answer = operator.ErrorBody{Error: refusal}
				w.WriteHeader(refusal.Status())
			}
		}
		_ = json.NewEncoder(w).Encode(answer)
	}))
	t.Cleanup(server.Close)
	return server.URL
}

// TestExitCodesDistinguishOutcomes guards against exit codes from which a script cannot
// tell a refused change from one that may have been made or is not yet in force.
func TestExitCodesDistinguishOutcomes(t *testing.T) {
	g := gomega.NewWithT(t)
	conflict := apierror.New(apierror.KindConflict, "changed", "plan again", apierror.NotRun)
	code, _, text := runCommand(t, "", "preset", "peak", "--key", "k", "--server", startFakeServer(t, conflict))
	g.Expect(code).To(gomega.Equal(command.ExitRefused))
	g.Expect(text).To(gomega.ContainSubstring("plan again"))

	code, _, text = runCommand(t, "", "out", "north", "--key", "k", "--server", startFakeServer(t, nil), "--wait", "300ms")
	g.Expect(code).To(gomega.Equal(command.ExitNotInForce))
	g.Expect(text).To(gomega.ContainSubstring("not in force at: n2 at 127.0.0.1:2 (has version 4)"))

	code, out, _ := runCommand(t, "", "out", "--key", "k", "--server", startFakeServer(t, nil), "--wait", "0", "north")
	g.Expect(code).To(gomega.Equal(command.ExitOK))
	g.Expect(out).To(gomega.Equal("version 5 committed\n"))

	address, err := freeport.Address()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	unreachable := "http://" + address
	code, _, _ = runCommand(t, "", "in", "north", "--key", "k", "--server", unreachable)
	g.Expect(code).To(gomega.Equal(command.ExitUnreachable))
	code, _, _ = runCommand(t, "", "status", "--key", "k", "--server", unreachable, "--server", startFakeServer(t, nil))
	g.Expect(code).To(gomega.Equal(command.ExitOK))

	unknown := apierror.New(apierror.KindUnknown, "x", "read the status", apierror.Unknown)
	code, _, _ = runCommand(t, "", "preset", "peak", "--key", "k", "--server", startFakeServer(t, unknown))
	g.Expect(code).To(gomega.Equal(command.ExitUnknown))

	t.Setenv("APRICOTGRADE_KEY", "")
	code, _, _ = runCommand(t, "", "status")
	g.Expect(code).To(gomega.Equal(command.ExitUsage))
	code, _, _ = runCommand(t, "", "status", "--server", "127.0.0.1:1")
	g.Expect(code).To(gomega.Equal(command.ExitUsage))
}

// TestKeyFileLineEndIsTrimmed guards against a key that is sent with the line end of
// its file, which no server accepts.
func TestKeyFileLineEndIsTrimmed(t *testing.T) {
	g := gomega.NewWithT(t)
	authorization := ""
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		authorization = r.Header.Get("Authorization")
		_ = json.NewEncoder(w).Encode(operator.Audit{})
	}))
	defer server.Close()
	code, _, _ := runCommand(t, "", "audit", "--server", server.URL, "--key-file", writeFile(t, "secret\n"))
	g.Expect(code).To(gomega.Equal(command.ExitOK))
	g.Expect(authorization).To(gomega.Equal("Bearer secret"))
}

// TestExitCodesAreDocumented guards against a documentation page whose exit codes
// differ from those of the program.
func TestExitCodesAreDocumented(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "OPERATIONS.md"))
	if err != nil {
		t.Fatal(err)
	}
	for code, words := range map[int]string{
		command.ExitOK: "Done", command.ExitFailure: "Failed", command.ExitUsage: "Wrong arguments",
		command.ExitInvalid: "declarations have faults", command.ExitRefused: "server refused",
		command.ExitUnknown: "outcome is unknown", command.ExitNotInForce: "not known to be in force",
		command.ExitUnreachable: "No server was reached",
	} {
		row := regexp.MustCompile(fmt.Sprintf(`(?m)^\| %d \| (.*) \|$`, code)).FindSubmatch(page)
		if row == nil || !strings.Contains(string(row[1]), words) {
			t.Errorf("docs/OPERATIONS.md has no row of exit code %d with %q", code, words)
		}
	}
}

// TestBenchListsAllMeasurements guards against a measurement that the command line
// does not list.
func TestBenchListsAllMeasurements(t *testing.T) {
	g := gomega.NewWithT(t)
	code, out, _ := runCommand(t, "", "bench")
	g.Expect(code).To(gomega.Equal(command.ExitOK))
	for _, b := range bench.All() {
		g.Expect(out).To(gomega.ContainSubstring(b.Name))
	}
	code, _, text := runCommand(t, "", "bench", "none")
	g.Expect(code).To(gomega.Equal(command.ExitFailure))
	for _, b := range bench.All() {
		g.Expect(text).To(gomega.MatchRegexp("name one of: .*\\b" + b.Name + "\\b"))
	}
	code, _, _ = runCommand(t, "", "bench", "slopes", "--json")
	g.Expect(code).To(gomega.Equal(command.ExitFailure))
}

// TestQuarantineCommands guards against a list without what lift needs, and against a lift that
// does not say where it is recorded.
func TestQuarantineCommands(t *testing.T) {
	g := gomega.NewWithT(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var answer any = operator.Quarantines{Entries: []operator.Quarantine{
			{Trait: "part/fa", Hosts: []string{"h1", "h2"}, NextTrialMS: 90_000, LastArrivalMS: 400},
			{Trait: "request/1b", LastArrivalMS: -1},
		}}
		if r.Method == http.MethodPost {
			answer = operator.ChangeReply{Version: 3}
		}
		_ = json.NewEncoder(w).Encode(answer)
	}))
	defer server.Close()
	connection := []string{"--server", server.URL, "--key-file", writeFile(t, "secret\n")}
	code, out, _ := runCommand(t, "", append([]string{"quarantine"}, connection...)...)
	g.Expect(code).To(gomega.Equal(command.ExitOK))
	g.Expect(out).To(gomega.MatchRegexp(`part/fa +in 1m30s +0s ago +h1 h2\nrequest/1b +due +- +-\n`))
	code, out, _ = runCommand(t, "", append([]string{"lift", "part/fa"}, connection...)...)
	g.Expect(code).To(gomega.Equal(command.ExitOK))
	g.Expect(out).To(gomega.Equal("part/fa lifted, audit record 3\n"))
	code, _, _ = runCommand(t, "", append([]string{"lift"}, connection...)...)
	g.Expect(code).To(gomega.Equal(command.ExitUsage))
}
