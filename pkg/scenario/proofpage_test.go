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
	provesPattern     = regexp.MustCompile(`(?m)^proves (I\d+) `)
	scriptNamePattern = regexp.MustCompile("`((?:i\\d+|pair)-[a-z0-9-]+)`")
)

// TestProofPageNamesProvingScripts guards against an invariant without a script that
// violates it with a mechanism switched off. It also guards against docs/PROOF.md
// naming a script that does not exist or omitting a script with a proves command.
func TestProofPageNamesProvingScripts(t *testing.T) {
	page, err := os.ReadFile("../../docs/PROOF.md")
	if err != nil {
		t.Fatal(err)
	}
	files, err := filepath.Glob("../../test/scenario/*.txtar")
	if err != nil {
		t.Fatal(err)
	}
	scriptNames, provenInvariants := map[string]bool{}, map[string]bool{}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		name := strings.TrimSuffix(filepath.Base(file), ".txtar")
		scriptNames[name] = true
		if m := provesPattern.FindSubmatch(text); m != nil {
			provenInvariants[string(m[1])] = true
			if !strings.Contains(string(page), "`"+name+"`") {
				t.Errorf("docs/PROOF.md does not name the script %s", name)
			}
		}
	}
	for _, m := range scriptNamePattern.FindAllStringSubmatch(string(page), -1) {
		if !scriptNames[m[1]] {
			t.Errorf("docs/PROOF.md names the script %s, which does not exist", m[1])
		}
	}
	for i := range 10 {
		if id := fmt.Sprintf("I%d", i+1); !provenInvariants[id] {
			t.Errorf("no script proves %s", id)
		}
	}
}
