// Package inifile reads INI files that a table of sections and keys describes.
// Parsing, checking and the documentation all follow the table. All problems of
// a file are reported at once.
package inifile

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Kind is the type of a key's value.
type Kind int

// Kinds of values.
const (
	// Text is any text.
	Text Kind = iota
	// Name is letters, digits, '.', '_' and '-', starting with a letter or digit.
	Name
	// Listen is an IP address and port to listen on; the IP address may be
	// empty and the port 0.
	Listen
	// Address is an IP address and a port.
	Address
	// URL is an http or https base URL.
	URL
	// Secret is a text that is never printed. The key with the suffix "_file"
	// sets it from a file.
	Secret
	// Hash is a hex SHA-256.
	Hash
	// Duration is a number with a unit, such as 250ms, 3s or 1m30s.
	Duration
	// Integer is a whole number.
	Integer
	// Ratio is a decimal number from 0 to 1.
	Ratio
	// Boolean is true or false.
	Boolean
	// Choice is one of the key's choices.
	Choice
	// Names is a list of Name separated by commas.
	Names
	// Pairs is a list of name:number separated by commas.
	Pairs
	// Labels is a list of name:text separated by commas.
	Labels
	// Routes is a list of "METHOD /path" separated by commas.
	Routes
	// Path is an absolute URL path.
	Path
)

var kindNames = map[Kind]string{
	Text: "text", Name: "name", Listen: "IP address and port", Address: "IP address and port",
	URL: "URL", Secret: "secret", Hash: "hex SHA-256", Duration: "duration", Integer: "integer", Ratio: "ratio",
	Boolean: "boolean", Choice: "choice", Names: "list of names", Pairs: "list of name:number",
	Labels: "list of name:text", Routes: "list of METHOD /path", Path: "path",
}

// fileSuffix is the suffix of the key that names the file with a secret.
const fileSuffix = "_file"

// Key describes one key of a section.
type Key struct {
	Name string
	Kind Kind
	// Unit is the unit of a number, such as "requests".
	Unit string
	// Default is the value of an absent key, in the syntax of the file.
	Default string
	// DefaultNote replaces Default in the documentation.
	DefaultNote string
	// Required makes an absent key a problem.
	Required bool
	// Min and Max are the inclusive bounds of an Integer, of the numbers of Pairs,
	// or of a Duration in nanoseconds. They apply if Max is not 0.
	Min, Max int64
	Choices  []string
	Help     string
}

// Section describes one kind of section.
type Section struct {
	Name string
	// Named sections have the form [section NAME] and may occur several times.
	Named bool
	// NamePlaceholder stands for the name of a named section in documentation
	// and error messages. The default is NAME.
	NamePlaceholder string
	// Required makes a file without such a section a problem.
	Required bool
	Help     string
	Keys     []Key
}

// Table describes the sections of a file.
type Table struct {
	// Title is what the file configures.
	Title    string
	Help     string
	Sections []Section
}

func (t Table) section(name string) (Section, bool) {
	for _, s := range t.Sections {
		if s.Name == name {
			return s, true
		}
	}
	return Section{}, false
}

func (s Section) key(name string) (Key, bool) {
	for _, k := range s.Keys {
		if k.Name == name {
			return k, true
		}
	}
	return Key{}, false
}

// header returns the section's header without brackets, with the placeholder in
// place of the name.
func (s Section) header() string {
	if !s.Named {
		return s.Name
	}
	placeholder := s.NamePlaceholder
	if placeholder == "" {
		placeholder = "NAME"
	}
	return s.Name + " " + placeholder
}

// Allowed describes the values that the key accepts.
func (k Key) Allowed() string {
	switch k.Kind {
	case Name:
		return "letters, digits, '.', '_' and '-', starting with a letter or digit"
	case Listen:
		return "IP:port, such as 127.0.0.1:8080; :8080 listens on all addresses and port 0 selects a free port"
	case Address:
		return "IP:port, such as 127.0.0.1:8080"
	case URL:
		return "an http or https URL, such as http://127.0.0.1:7000"
	case Hash:
		return "64 hexadecimal digits, the SHA-256 of the key (apricotgrade hash prints it)"
	case Duration:
		return "a duration such as 250ms or 3s" + k.bounds()
	case Integer:
		return "a whole number" + k.bounds()
	case Ratio:
		return "a decimal number from 0 to 1, such as 0.2"
	case Boolean:
		return "true or false"
	case Choice:
		return "one of " + strings.Join(k.Choices, ", ")
	case Names:
		return "names separated by commas"
	case Pairs:
		return "name:number separated by commas, such as a:2, b:1; each number" + k.bounds()
	case Labels:
		return "name:text separated by commas"
	case Routes:
		return "method and path separated by commas, such as POST /orders, POST /deposits"
	case Path:
		return "a path that starts with /"
	case Secret:
		return "a text of at least 1 character, or the path of a file with it in " + k.Name + fileSuffix
	case Text:
	}
	return "a text of at least 1 character"
}

func (k Key) bounds() string {
	r := k.Range()
	if r == "" {
		return ""
	}
	return " from " + r
}

// Range returns the bounds of a number, or an empty string.
func (k Key) Range() string {
	if k.Max == 0 {
		return ""
	}
	if k.Kind == Duration {
		return fmt.Sprintf("%s to %s", formatDuration(k.Min), formatDuration(k.Max))
	}
	return strconv.FormatInt(k.Min, 10) + " to " + strconv.FormatInt(k.Max, 10)
}

// formatDuration formats a duration in nanoseconds without trailing zero units.
func formatDuration(ns int64) string {
	s := time.Duration(ns).String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}
