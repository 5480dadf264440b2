package declaration_test

import (
	"errors"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/declaration"
	"github.com/apricotgrade/apricotgrade/pkg/inifile"
)

var update = flag.Bool("update", false, "rewrite docs/declarations.md")

const keyHash = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"

func mustParse(t *testing.T, text string) state.Document {
	t.Helper()
	doc, err := declaration.Parse("test.ini", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return doc
}

const baseDeclarations = "[account a]\nkey_sha256 = " + keyHash + "\n[data_centre north]\n[preset ordinary]\n"

// TestExamplesAreAccepted guards against documented examples that the parser
// refuses.
func TestExamplesAreAccepted(t *testing.T) {
	for _, name := range []string{"granite.ini", "pilbara.ini"} {
		doc, err := declaration.ParseFile(filepath.Join("..", "..", "docs", "examples", name))
		if err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if len(doc.DataCentres) != 3 || len(doc.Presets) != 3 || len(doc.Services[0].Replicas) != 3 {
			t.Errorf("%s: wrong document: %+v", name, doc)
		}
	}
}

// TestAllProblemsAreReported guards against accepting references to undeclared
// objects or contradictory values, and against reporting only the first fault.
func TestAllProblemsAreReported(t *testing.T) {
	_, err := declaration.Parse("test.ini", []byte(baseDeclarations+`
[account b]
key_sha256 = `+keyHash+`
weight = 0
[model m]
versions = 1, 2
adapters = x
[group g1]
model = other
members = 2
data_centre = south
cold_limit = 4
warm_limit = 2
[group g2]
model = m
version = 3
adapters = x, y
members = 0
data_centre = north
cold_limit = 1
warm_limit = 2
[group g3]
model = m
members = 1
data_centre = north
cold_limit = 1
warm_limit = 2
[service s]
once = post /orders
lookup = /orders
cold_limit = 1
warm_limit = 1
[service u]
cold_limit = 1
warm_limit = 1
[replica s/one]
address = 127.0.0.1:1
data_centre = south
[replica s/two]
address = 127.0.0.1:1
data_centre = north
[replica v/one]
address = 127.0.0.1:2
data_centre = north
[preset peak]
weights = c:2
concurrency = a:1, d:2
idle_groups = g9
queue_time = 31s
[preset peak]
`))
	g := gomega.NewWithT(t)
	var problems inifile.Problems
	g.Expect(errors.As(err, &problems)).To(gomega.BeTrue())
	var lines []string
	for _, p := range problems {
		g.Expect(p.Allowed).NotTo(gomega.BeEmpty())
		lines = append(lines, p.Section+"|"+p.Key+"|"+p.Value+"|"+p.Message)
	}
	g.Expect(lines).To(gomega.ConsistOf(
		"account b|key_sha256|"+keyHash+"|is also the key of account a",
		"account b|weight|0|value is not allowed",
		"group g1|model|other|is not a declared model",
		"group g1|data_centre|south|is not a declared data centre",
		"group g1|warm_limit|2|is below cold_limit",
		"group g2|members|0|value is not allowed",
		"group g2|version|3|is not a declared version of model m",
		"group g2|adapters|y|is not a declared adapter of model m",
		"group g3|version||key is missing",
		"service s|once|post /orders|value is not allowed",
		"service s|lookup|/orders|does not contain {key}",
		"service u|||has no replica",
		"replica s/one|data_centre|south|is not a declared data centre",
		"replica s/two|address|127.0.0.1:1|is also the address of replica s/one",
		"replica v/one|||service is not declared",
		"preset peak|weights|c|is not a declared account",
		"preset peak|concurrency|d|is not a declared account",
		"preset peak|idle_groups|g9|is not a declared group",
		"preset peak|queue_time|31s|value is not allowed",
		"preset peak|||section is given twice",
	))
}

// TestPlainTextKeyIsRejected guards against keys in plain text, which would end up
// in version control.
func TestPlainTextKeyIsRejected(t *testing.T) {
	_, err := declaration.Parse("test.ini", []byte(strings.Replace(baseDeclarations, keyHash, "my-key", 1)))
	gomega.NewWithT(t).Expect(err).To(gomega.MatchError(gomega.ContainSubstring("64 hexadecimal digits")))
}

// TestDiffReportsChangesOnly guards against a plan that misses a change or that
// reports sections in a different order as changed.
func TestDiffReportsChangesOnly(t *testing.T) {
	g := gomega.NewWithT(t)
	group := "[group g1]\nmodel = m\nmembers = 2\ndata_centre = north\ncold_limit = 1\nwarm_limit = 2\n"
	before := mustParse(t, baseDeclarations+"[model m]\n"+group)
	reordered := mustParse(t, "[model m]\n"+group+baseDeclarations)
	g.Expect(declaration.Diff(before, reordered)).To(gomega.BeEmpty())
	after := mustParse(t, baseDeclarations+"[model m]\nadapters = x\n"+strings.Replace(group, "members = 2", "members = 3", 1)+
		"[data_centre south]\nregion = r\n[account b]\nkey_sha256 = "+strings.Replace(keyHash, "9f", "8f", 1)+"\n")
	g.Expect(declaration.Diff(before, after).String()).To(gomega.Equal(strings.Join([]string{
		"+ [account b] key_sha256 = 8f86d081...",
		"+ [data_centre south] region = r",
		"~ [model m] adapters: (default) -> x",
		"~ [group g1] members: 2 -> 3",
	}, "\n")))
	g.Expect(declaration.Diff(after, before).String()).To(gomega.ContainSubstring("- [data_centre south] region = r"))
}

// TestGeneratedPageIsCurrent guards against a change of the table without an update
// of docs/declarations.md.
func TestGeneratedPageIsCurrent(t *testing.T) {
	path := filepath.Join("..", "..", "docs", "declarations.md")
	if *update {
		if err := os.WriteFile(path, []byte(declaration.Markdown()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	page, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if string(page) != declaration.Markdown() {
		t.Error("docs/declarations.md differs from the table; run go test ./pkg/declaration -update")
	}
}
