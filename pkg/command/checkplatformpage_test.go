package command_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestCheckPlatformPage guards against a documentation page whose session differs from
// what the command prints.
func TestCheckPlatformPage(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "check-platform.md"))
	if err != nil {
		t.Fatal(err)
	}
	outputs, err := filepath.Glob(filepath.Join("testdata", "golden", "check-platform-*-text.golden"))
	if err != nil || len(outputs) == 0 {
		t.Fatal("no golden files of check-platform: ", err)
	}
	for _, path := range outputs {
		if strings.Contains(path, "-sound-") {
			continue
		}
		output, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		indented := "    " + strings.ReplaceAll(strings.TrimSuffix(string(output), "\n"), "\n", "\n    ") + "\n"
		if !strings.Contains(string(page), indented) {
			t.Errorf("docs/check-platform.md does not contain the output in %s", path)
		}
	}
}
