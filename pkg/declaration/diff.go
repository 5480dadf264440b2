package declaration

import (
	"fmt"
	"strings"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// Action is what happens to a section or key between two documents.
type Action string

// Actions.
const (
	Added   Action = "added"
	Removed Action = "removed"
	Changed Action = "changed"
)

// shownHash is how many digits of a key hash a difference shows.
const shownHash = 8

// Change is one difference between two documents.
type Change struct {
	Action  Action `json:"action"`
	Section string `json:"section"`
	// Key is empty when the whole section is added or removed.
	Key    string `json:"key,omitempty"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// String returns the change on one line.
func (c Change) String() string {
	switch {
	case c.Key == "" && c.Action == Added:
		return fmt.Sprintf("+ [%s] %s", c.Section, c.After)
	case c.Key == "":
		return fmt.Sprintf("- [%s] %s", c.Section, c.Before)
	}
	return fmt.Sprintf("~ [%s] %s: %s -> %s", c.Section, c.Key, orDefault(c.Before), orDefault(c.After))
}

func orDefault(value string) string {
	if value == "" {
		return "(default)"
	}
	return value
}

// Changes are the differences between two documents in the order of sections.
type Changes []Change

// String returns one line for each change.
func (c Changes) String() string {
	lines := make([]string, 0, len(c))
	for _, change := range c {
		lines = append(lines, change.String())
	}
	return strings.Join(lines, "\n")
}

// Diff returns what changes from one document to another.
func Diff(before, after state.Document) Changes {
	old, present := index(blocks(before)), index(blocks(after))
	var changes Changes
	for _, b := range blocks(before) {
		if _, ok := present[b.header]; !ok {
			changes = append(changes, Change{Action: Removed, Section: b.header, Before: b.summary()})
		}
	}
	for _, b := range blocks(after) {
		previous, ok := old[b.header]
		if !ok {
			changes = append(changes, Change{Action: Added, Section: b.header, After: b.summary()})
			continue
		}
		changes = append(changes, diffKeys(previous, b)...)
	}
	return changes
}

func diffKeys(before, after block) Changes {
	var changes Changes
	for _, e := range before.keys {
		if value := after.get(e.key); value != e.value {
			changes = append(changes, Change{Changed, after.header, e.key, shown(e.key, e.value), shown(e.key, value)})
		}
	}
	for _, e := range after.keys {
		if before.get(e.key) == "" {
			changes = append(changes, Change{Changed, after.header, e.key, "", shown(e.key, e.value)})
		}
	}
	return changes
}

func index(all []block) map[string]block {
	m := make(map[string]block, len(all))
	for _, b := range all {
		m[b.header] = b
	}
	return m
}

func (b block) get(key string) string {
	for _, e := range b.keys {
		if e.key == key {
			return e.value
		}
	}
	return ""
}

func (b block) summary() string {
	parts := make([]string, 0, len(b.keys))
	for _, e := range b.keys {
		parts = append(parts, e.key+" = "+shown(e.key, e.value))
	}
	return strings.Join(parts, "; ")
}

// shown shortens key hashes, which tell an operator nothing.
func shown(key, value string) string {
	if key == "key_sha256" && len(value) > shownHash {
		return value[:shownHash] + "..."
	}
	return value
}
