package settings_test

import (
	"errors"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/inifile"
	"github.com/apricotgrade/apricotgrade/pkg/settings"
)

var update = flag.Bool("update", false, "rewrite docs/settings.md")

const validSettings = `
[node]
id = n1
data_centre = north
peer_key_file = peer.key
platform = http://127.0.0.1:7000
drain_notice = 1m30s
prompt_cache_retention = 45s

[operator ann]
key = a#key;with%(odd)s "signs"
`

func writeSettings(t *testing.T, content string) string {
	t.Helper()
	dir := t.TempDir()
	for name, text := range map[string]string{"node.ini": content, "peer.key": "secret\n"} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return filepath.Join(dir, "node.ini")
}

// TestLoadNodeKeepsValuesAndDefaults guards against keys that are read into the
// wrong field, missing defaults, and values that the INI library alters because
// they contain comment, interpolation or quote characters.
func TestLoadNodeKeepsValuesAndDefaults(t *testing.T) {
	g := gomega.NewWithT(t)
	n, err := settings.LoadNode(writeSettings(t, validSettings))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(n).To(gomega.Equal(settings.Node{
		ID: "n1", DataCentre: "north", Listen: "127.0.0.1:8080", AdminListen: "127.0.0.1:8090",
		PeerListen: "127.0.0.1:8070", PeerAddress: "127.0.0.1:8070", PeerKey: "secret",
		PlatformURL: "http://127.0.0.1:7000", DrainNotice: 90 * time.Second, RetryRatio: 0.2, RetryBase: 130, MemoryMB: 184, ProcessorShare: 1, PromptCacheRetention: 45 * time.Second,
		Operators: []settings.Operator{{Name: "ann", Key: `a#key;with%(odd)s "signs"`}},
		ReadyPath: "/readyz",
	}))
}

// TestAllProblemsAreReported guards against a checker that stops at the first
// fault, accepts unknown keys or prints a secret.
func TestAllProblemsAreReported(t *testing.T) {
	g := gomega.NewWithT(t)
	_, err := settings.LoadNode(writeSettings(t, `
stray = 1
[node]
id = n 1
id = n2
listen = localhost:80
colour = blue
peer_key_file = missing.key
peer_key = again
drain_notice = 3
log_level = loud
platform = ftp://x
[operator]
key = k
[operator ann]
key = hush
key_file = peer.key
[operator ann]
key = hush
[cache]
`))
	var problems inifile.Problems
	g.Expect(errors.As(err, &problems)).To(gomega.BeTrue())
	lines := []string{}
	for _, p := range problems {
		g.Expect(p.Allowed).NotTo(gomega.BeEmpty())
		lines = append(lines, strings.TrimSpace(p.Section+"/"+p.Key+": "+p.Message))
	}
	g.Expect(err.Error()).NotTo(gomega.ContainSubstring("hush"))
	g.Expect(strings.Join(lines, "\n")).To(gomega.And(
		gomega.ContainSubstring("/stray: key precedes the first section"),
		gomega.ContainSubstring("node/id: key is given twice"),
		gomega.ContainSubstring("node/listen: value is not allowed"),
		gomega.ContainSubstring("node/colour: unknown key"),
		gomega.ContainSubstring("node/peer_key_file: file cannot be read"),
		gomega.ContainSubstring("node/peer_key: key is given twice"),
		gomega.ContainSubstring("node/drain_notice: value is not allowed"),
		gomega.ContainSubstring("node/log_level: value is not allowed"),
		gomega.ContainSubstring("node/platform: value is not allowed"),
		gomega.ContainSubstring("node/data_centre: key is missing"),
		gomega.ContainSubstring("operator/: section needs a name"),
		gomega.ContainSubstring("operator ann/key_file: key is given twice"),
		gomega.ContainSubstring("operator ann/: section is given twice"),
		gomega.ContainSubstring("cache/: unknown section"),
	))
	g.Expect(problems).To(gomega.HaveLen(14))
}

// TestSharedOperatorKeyIsRejected guards against two operators with the same key,
// whom the audit trail cannot distinguish.
func TestSharedOperatorKeyIsRejected(t *testing.T) {
	_, err := settings.LoadNode(writeSettings(t, validSettings+"[operator bob]\nkey = a#key;with%(odd)s \"signs\"\n"))
	gomega.NewWithT(t).Expect(err).To(gomega.MatchError(gomega.ContainSubstring("same key as operator ann")))
}

// TestLoadStandInSettings guards against a key in a stand-in's table that its Load
// function ignores or reads into the wrong field.
func TestLoadStandInSettings(t *testing.T) {
	g := gomega.NewWithT(t)
	p, err := settings.LoadPlatform(writeSettings(t, "[platform]\nlisten = 127.0.0.1:0\ndeclaration = d.ini\n[host h1]\naddress = 127.0.0.1:9\ndata_centre = a\ndomain = a1\n"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(p.Hosts).To(gomega.Equal([]settings.Host{{ID: "h1", Address: "127.0.0.1:9", DataCentre: "a", Domain: "a1"}}))
	g.Expect(filepath.IsAbs(p.Declaration)).To(gomega.BeTrue())
	e, err := settings.LoadEngine(writeSettings(t, "[engine]\nlisten = :0\n"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(e).To(gomega.Equal(settings.Engine{
		Listen: ":0", LoadTime: 100 * time.Millisecond, TokenTime: 2 * time.Millisecond, Tokens: 16, ChecksFencingToken: true,
	}))
	e, err = settings.LoadEngine(writeSettings(t, "[engine]\nlisten = :0\nid = h1\ndirectory = h1:127.0.0.1:1, h2:127.0.0.1:2\ncold_limit = 2\nwarm_limit = 3\ncache_lag = 1s\nchecks_fence = false\n"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(e.Directory).To(gomega.Equal(map[string]string{"h1": "127.0.0.1:1", "h2": "127.0.0.1:2"}))
	g.Expect([]any{e.ID, e.ColdLimit, e.WarmLimit, e.CacheLag, e.ChecksFencingToken}).To(gomega.Equal([]any{"h1", 2, 3, time.Second, false}))
	_, err = settings.LoadService(writeSettings(t, "[service]\n"))
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("[service] listen: key is missing")))
}

// TestGeneratedPageIsCurrent guards against a change of the tables without an
// update of docs/settings.md.
func TestGeneratedPageIsCurrent(t *testing.T) {
	path := filepath.Join("..", "..", "docs", "settings.md")
	if *update {
		if err := os.WriteFile(path, []byte(settings.Markdown()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	page, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if string(page) != settings.Markdown() {
		t.Error("docs/settings.md differs from the tables; run go test ./pkg/settings -update")
	}
}
