package scenario_test

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var (
	provesLine = regexp.MustCompile(`(?m)^proves (I\d+) `)
	scriptName = regexp.MustCompile("`((?:i\\d+|pair)-[a-z0-9-]+)`")
)

// TestProofNamesScripts guards against an invariant without a script that fails
// with a mechanism switched off, and against a page of evidence that names
// scripts that are gone or leaves out one that proves something.
func TestProofNamesScripts(t *testing.T) {
	page, err := os.ReadFile("../../docs/PROOF.md")
	if err != nil {
		t.Fatal(err)
	}
	files, err := filepath.Glob("../../test/scenario/*.txtar")
	if err != nil {
		t.Fatal(err)
	}
	scripts, proven := map[string]bool{}, map[string]bool{}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		name := strings.TrimSuffix(filepath.Base(file), ".txtar")
		scripts[name] = true
		if m := provesLine.FindSubmatch(text); m != nil {
			proven[string(m[1])] = true
			if !strings.Contains(string(page), "`"+name+"`") {
				t.Errorf("docs/PROOF.md does not name the script %s", name)
			}
		}
	}
	for _, m := range scriptName.FindAllStringSubmatch(string(page), -1) {
		if !scripts[m[1]] {
			t.Errorf("docs/PROOF.md names the script %s, which does not exist", m[1])
		}
	}
	for i := range 10 {
		if id := fmt.Sprintf("I%d", i+1); !proven[id] {
			t.Errorf("no script proves %s", id)
		}
	}
}
