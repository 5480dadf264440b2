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

var row = regexp.MustCompile(`(?m)^\| (\d+) \| (\w+) \| (.*?) \| .*\|$`)

// TestDocumentation guards against a page that lacks an event, or gives it
// another level or message than the log does.
func TestDocumentation(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "events.md"))
	if err != nil {
		t.Fatal(err)
	}
	levels := map[event.Level]string{event.Info: "info", event.Warn: "warning", event.Error: "error"}
	listed := map[event.ID]string{}
	for _, m := range row.FindAllStringSubmatch(string(page), -1) {
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
