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

// shownHashDigits is how many digits of a key hash a difference shows.
const shownHashDigits = 8

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
	beforeByHeader, afterByHeader := indexByHeader(formatSections(before)), indexByHeader(formatSections(after))
	var changes Changes
	for _, b := range formatSections(before) {
		if _, ok := afterByHeader[b.header]; !ok {
			changes = append(changes, Change{Action: Removed, Section: b.header, Before: b.summary()})
		}
	}
	for _, b := range formatSections(after) {
		previous, ok := beforeByHeader[b.header]
		if !ok {
			changes = append(changes, Change{Action: Added, Section: b.header, After: b.summary()})
			continue
		}
		changes = append(changes, diffKeys(previous, b)...)
	}
	return changes
}

func diffKeys(before, after formattedSection) Changes {
	var changes Changes
	for _, e := range before.entries {
		if value := after.value(e.key); value != e.value {
			changes = append(changes, Change{Changed, after.header, e.key, displayValue(e.key, e.value), displayValue(e.key, value)})
		}
	}
	for _, e := range after.entries {
		if before.value(e.key) == "" {
			changes = append(changes, Change{Changed, after.header, e.key, "", displayValue(e.key, e.value)})
		}
	}
	return changes
}

func indexByHeader(sections []formattedSection) map[string]formattedSection {
	m := make(map[string]formattedSection, len(sections))
	for _, b := range sections {
		m[b.header] = b
	}
	return m
}

func (b formattedSection) value(key string) string {
	for _, e := range b.entries {
		if e.key == key {
			return e.value
		}
	}
	return ""
}

func (b formattedSection) summary() string {
	parts := make([]string, 0, len(b.entries))
	for _, e := range b.entries {
		parts = append(parts, e.key+" = "+displayValue(e.key, e.value))
	}
	return strings.Join(parts, "; ")
}

// displayValue shortens key hashes, which tell an operator nothing.
func displayValue(key, value string) string {
	if key == "key_sha256" && len(value) > shownHashDigits {
		return value[:shownHashDigits] + "..."
	}
	return value
}
