package event_test

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"testing"

	"github.com/apricotgrade/apricotgrade/pkg/event"
)

var eventRow = regexp.MustCompile(`(?m)^\| (\d+) \| (\w+) \| (.*?) \| .*\|$`)

// TestDocumentation guards against events that docs/events.md omits, lists twice
// or lists without a catalogue entry, and against a level or message there that
// differs from the catalogue.
func TestDocumentation(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "events.md"))
	if err != nil {
		t.Fatal(err)
	}
	levels := map[event.Level]string{event.Info: "info", event.Warn: "warning", event.Error: "error"}
	listed := map[event.ID]string{}
	for _, m := range eventRow.FindAllStringSubmatch(string(page), -1) {
		n, _ := strconv.Atoi(m[1])
		if _, ok := listed[event.ID(n)]; ok {
			t.Errorf("docs/events.md lists event %d twice", n)
		}
		listed[event.ID(n)] = m[2] + ": " + m[3]
	}
	for _, e := range event.Catalogue {
		want := fmt.Sprintf("%s: %s", levels[e.Level], e.Message)
		if listed[e.ID] != want {
			t.Errorf("docs/events.md has event %d as %q, the catalogue as %q", e.ID, listed[e.ID], want)
		}
		delete(listed, e.ID)
	}
	for id := range listed {
		t.Errorf("docs/events.md lists event %d, which is not in the catalogue", id)
	}
}
