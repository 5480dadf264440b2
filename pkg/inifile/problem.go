package inifile

import (
	"fmt"
	"strings"
)

// hiddenValue replaces the value of a secret in a problem.
const hiddenValue = "(hidden)"

// Problem is one fault of a file.
type Problem struct {
	File    string `json:"file,omitempty"`
	Section string `json:"section"`
	Key     string `json:"key,omitempty"`
	Value   string `json:"value,omitempty"`
	// Message describes the fault, and Allowed the accepted values.
	Message string `json:"message"`
	Allowed string `json:"allowed"`
}

// String returns the problem on one line.
func (p Problem) String() string {
	var b strings.Builder
	if p.File != "" {
		b.WriteString(p.File + ": ")
	}
	if p.Section != "" {
		fmt.Fprintf(&b, "[%s]", p.Section)
	}
	if p.Key != "" {
		fmt.Fprintf(&b, " %s", p.Key)
	}
	if p.Value != "" {
		fmt.Fprintf(&b, " = %s", p.Value)
	}
	fmt.Fprintf(&b, ": %s", p.Message)
	if p.Allowed != "" {
		fmt.Fprintf(&b, "; allowed: %s", p.Allowed)
	}
	return b.String()
}

// Problems holds all faults of a file. It implements error; use Err to get nil
// for an empty list.
type Problems []Problem

// Error implements error.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}

// Err returns the problems as an error, or nil if there are none.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}
