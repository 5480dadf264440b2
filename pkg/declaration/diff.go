package declaration

import (
	"fmt"
	"strings"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// Action is the kind of a change between two documents.
type Action string

// Actions of a change. Changed applies to a key, the others to a section.
const (
	Added   Action = "added"
	Removed Action = "removed"
	Changed Action = "changed"
)

// shownHashDigits is the number of leading digits of a key hash that a change shows.
const shownHashDigits = 8

// Change is one difference between two documents.
type Change struct {
	Action  Action `json:"action"`
	Section string `json:"section"`
	// Key is empty if the whole section is added or removed.
	Key    string `json:"key,omitempty"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// String returns the change as one line.
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

// Changes holds the differences between two documents: removed sections first, then
// added and changed sections in the order of the newer document.
type Changes []Change

// String returns one line for each change.
func (c Changes) String() string {
	lines := make([]string, 0, len(c))
	for _, change := range c {
		lines = append(lines, change.String())
	}
	return strings.Join(lines, "\n")
}

// Diff returns the changes from one document to another.
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

// displayValue returns the value that a change shows. Key hashes are shortened,
// because the rest of a hash is of no use to an operator.
func displayValue(key, value string) string {
	if key == "key_sha256" && len(value) > shownHashDigits {
		return value[:shownHashDigits] + "..."
	}
	return value
}
