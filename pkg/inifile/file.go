package inifile

import (
	"strconv"
	"strings"
	"time"
)

// File holds the checked values of a file.
type File struct {
	Name     string
	table    Table
	sections []*ParsedSection
}

// Sections returns all sections of one kind in the order of the file; name is the
// name of the kind in the table.
func (f *File) Sections(name string) []*ParsedSection {
	var sections []*ParsedSection
	for _, s := range f.sections {
		if s.Section == name {
			sections = append(sections, s)
		}
	}
	return sections
}

// Section returns the section of a kind that occurs once. If the file has none, the
// result holds the defaults.
func (f *File) Section(name string) *ParsedSection {
	if sections := f.Sections(name); len(sections) > 0 {
		return sections[0]
	}
	defaults := &ParsedSection{Section: name, values: map[string]string{}, setKeys: map[string]bool{}}
	spec, _ := f.table.section(name)
	for _, key := range spec.Keys {
		defaults.values[key.Name] = key.Default
	}
	return defaults
}

// ParsedSection is one section of a file. Its getters return the zero value for an
// absent key without a default.
type ParsedSection struct {
	// Section is the name in the table; Name is the name in the header, which is
	// empty for a section that takes none.
	Section string
	Name    string
	values  map[string]string
	setKeys map[string]bool
}

// Header returns the section's header without brackets.
func (s *ParsedSection) Header() string { return strings.TrimSpace(s.Section + " " + s.Name) }

// IsSet reports whether the file sets the key.
func (s *ParsedSection) IsSet(key string) bool { return s.setKeys[key] }

// Text returns the value of a key as text.
func (s *ParsedSection) Text(key string) string { return s.values[key] }

// Duration returns the value of a Duration key.
func (s *ParsedSection) Duration(key string) time.Duration {
	d, _ := time.ParseDuration(s.values[key])
	return d
}

// Int returns the value of an Integer key.
func (s *ParsedSection) Int(key string) int64 {
	n, _ := strconv.ParseInt(s.values[key], 10, 64)
	return n
}

// Ratio returns the value of a Ratio key.
func (s *ParsedSection) Ratio(key string) float64 {
	x, _ := strconv.ParseFloat(s.values[key], 64)
	return x
}

// Bool returns the value of a Boolean key.
func (s *ParsedSection) Bool(key string) bool { return s.values[key] == "true" }

// List returns the items of a comma-separated list.
func (s *ParsedSection) List(key string) []string { return splitList(s.values[key]) }

// Pair is one item of a Pairs or Labels key.
type Pair struct {
	Name string
	Text string
}

// Int returns the number of an item of a Pairs key.
func (p Pair) Int() int {
	n, _ := strconv.Atoi(p.Text)
	return n
}

// Pairs returns the items of a Pairs or Labels key.
func (s *ParsedSection) Pairs(key string) []Pair {
	var pairs []Pair
	for _, item := range s.List(key) {
		name, text, _ := strings.Cut(item, ":")
		pairs = append(pairs, Pair{Name: name, Text: strings.TrimSpace(text)})
	}
	return pairs
}
