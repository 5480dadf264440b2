package inifile

import (
	"strconv"
	"strings"
	"time"
)

// File holds the checked values of a file.
type File struct {
	Name      string
	table     Table
	instances []*Instance
}

// All returns the sections of a kind, in the order of the file.
func (f *File) All(section string) []*Instance {
	var all []*Instance
	for _, in := range f.instances {
		if in.Section == section {
			all = append(all, in)
		}
	}
	return all
}

// One returns the section of a kind that occurs once. An absent section holds
// the defaults.
func (f *File) One(section string) *Instance {
	if all := f.All(section); len(all) > 0 {
		return all[0]
	}
	in := &Instance{Section: section, values: map[string]string{}, given: map[string]bool{}}
	spec, _ := f.table.section(section)
	for _, key := range spec.Keys {
		in.values[key.Name] = key.Default
	}
	return in
}

// Instance is one section of a file. Its getters return the zero value for an
// absent key without a default.
type Instance struct {
	Section string
	Name    string
	values  map[string]string
	given   map[string]bool
}

// Header returns the section's header without brackets.
func (in *Instance) Header() string { return strings.TrimSpace(in.Section + " " + in.Name) }

// Given reports whether the file sets the key.
func (in *Instance) Given(key string) bool { return in.given[key] }

// Text returns a value as text.
func (in *Instance) Text(key string) string { return in.values[key] }

// Duration returns a Duration.
func (in *Instance) Duration(key string) time.Duration {
	d, _ := time.ParseDuration(in.values[key])
	return d
}

// Int returns an Integer.
func (in *Instance) Int(key string) int64 {
	n, _ := strconv.ParseInt(in.values[key], 10, 64)
	return n
}

// Bool returns a Boolean.
func (in *Instance) Bool(key string) bool { return in.values[key] == "true" }

// List returns the items of a list.
func (in *Instance) List(key string) []string { return splitList(in.values[key]) }

// Pair is an item of Pairs or Labels.
type Pair struct {
	Name string
	Text string
}

// Int returns the number of an item of Pairs.
func (p Pair) Int() int {
	n, _ := strconv.Atoi(p.Text)
	return n
}

// Pairs returns the items of Pairs or Labels.
func (in *Instance) Pairs(key string) []Pair {
	var pairs []Pair
	for _, item := range in.List(key) {
		name, text, _ := strings.Cut(item, ":")
		pairs = append(pairs, Pair{Name: name, Text: strings.TrimSpace(text)})
	}
	return pairs
}
