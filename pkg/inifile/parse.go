package inifile

import (
	"os"
	"path/filepath"
	"strings"

	"gopkg.in/ini.v1"
)

// loadOptions makes the INI library keep values literal: no inline comments, no
// continuation lines and no unquoting, because keys and hashes may contain the
// characters with which these are written.
var loadOptions = ini.LoadOptions{
	IgnoreInlineComment:        true,
	IgnoreContinuation:         true,
	PreserveSurroundedQuote:    true,
	AllowShadows:               true,
	AllowDuplicateShadowValues: true,
	AllowNonUniqueSections:     true,
	KeyValueDelimiters:         "=",
}

// ParseFile reads and checks a file. The error is of type Problems and holds all
// faults.
func (t Table) ParseFile(path string) (*File, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, Problems{{File: path, Message: "cannot be read: " + err.Error(), Allowed: "a readable INI file"}}
	}
	return t.Parse(path, filepath.Dir(path), b)
}

// Parse reads and checks the content of a file; name identifies it in problems.
// Paths of secret files are relative to dir. The error is of type Problems and
// holds all faults.
func (t Table) Parse(name, dir string, content []byte) (*File, error) {
	source, err := ini.LoadSources(loadOptions, content)
	if err != nil {
		return nil, Problems{{File: name, Message: "is not an INI file: " + err.Error(), Allowed: "lines of [section] and key = value"}}
	}
	p := parser{table: t, name: name, dir: dir, file: &File{Name: name, table: t}, seenHeaders: map[string]bool{}}
	for _, section := range source.Sections() {
		p.parseSection(section)
	}
	p.reportMissingSections()
	return p.file, p.problems.Err()
}

type parser struct {
	table       Table
	name        string
	dir         string
	file        *File
	seenHeaders map[string]bool
	problems    Problems
}

func (p *parser) report(problem Problem) {
	problem.File = p.name
	p.problems = append(p.problems, problem)
}

func (p *parser) parseSection(source *ini.Section) {
	header := strings.Join(strings.Fields(source.Name()), " ")
	if source.Name() == ini.DefaultSection {
		for _, key := range source.Keys() {
			p.report(Problem{Key: key.Name(), Message: "key precedes the first section", Allowed: p.table.sectionHeaders()})
		}
		return
	}
	sectionName, name, _ := strings.Cut(header, " ")
	spec, ok := p.table.section(sectionName)
	switch {
	case !ok:
		p.report(Problem{Section: header, Message: "unknown section", Allowed: p.table.sectionHeaders()})
		return
	case !spec.Named && name != "":
		p.report(Problem{Section: header, Message: "section does not take a name", Allowed: "[" + spec.header() + "]"})
		return
	case spec.Named && !validSectionName(name):
		p.report(Problem{Section: header, Message: "section needs a name", Allowed: "[" + spec.header() + "] with a name of letters, digits, '.', '_' and '-'"})
		return
	case p.seenHeaders[header]:
		p.report(Problem{Section: header, Message: "section is given twice", Allowed: "each section once"})
		return
	}
	p.seenHeaders[header] = true
	parsed := &ParsedSection{Section: sectionName, Name: name, values: map[string]string{}, setKeys: map[string]bool{}}
	for _, key := range source.Keys() {
		p.parseKey(parsed, header, spec, key)
	}
	for _, key := range spec.Keys {
		if parsed.setKeys[key.Name] {
			continue
		}
		if key.Required {
			p.report(Problem{Section: header, Key: key.Name, Message: "key is missing", Allowed: key.Allowed()})
		}
		parsed.values[key.Name] = key.Default
	}
	p.file.sections = append(p.file.sections, parsed)
}

// validSectionName reports whether a text is a valid name of a section. It accepts
// one slash, as in [replica SERVICE/NAME].
func validSectionName(name string) bool {
	first, second, found := strings.Cut(name, "/")
	return ValidName(first) && (!found || ValidName(second))
}

func (p *parser) parseKey(parsed *ParsedSection, header string, spec Section, source *ini.Key) {
	key, ok := spec.key(source.Name())
	fromFile := false
	if !ok {
		key, fromFile = spec.key(strings.TrimSuffix(source.Name(), fileSuffix))
		fromFile = fromFile && key.Kind == Secret && strings.HasSuffix(source.Name(), fileSuffix)
	}
	if !ok && !fromFile {
		p.report(Problem{Section: header, Key: source.Name(), Message: "unknown key", Allowed: spec.keyNames()})
		return
	}
	if len(source.ValueWithShadows()) > 1 || parsed.setKeys[key.Name] {
		parsed.setKeys[key.Name] = true
		p.report(Problem{Section: header, Key: source.Name(), Message: "key is given twice", Allowed: "each key once"})
		return
	}
	parsed.setKeys[key.Name] = true
	value := source.Value()
	if fromFile {
		p.readSecretFile(parsed, header, key, source)
		return
	}
	if !key.valid(value) {
		shownValue := value
		if key.Kind == Secret {
			shownValue = hiddenValue
		}
		p.report(Problem{Section: header, Key: key.Name, Value: shownValue, Message: "value is not allowed", Allowed: key.Allowed()})
	}
	parsed.values[key.Name] = value
}

func (p *parser) readSecretFile(parsed *ParsedSection, header string, key Key, source *ini.Key) {
	path := source.Value()
	if !filepath.IsAbs(path) {
		path = filepath.Join(p.dir, path)
	}
	b, err := os.ReadFile(path)
	if err != nil {
		p.report(Problem{
			Section: header, Key: source.Name(), Value: source.Value(),
			Message: "file cannot be read: " + err.Error(), Allowed: "a readable file with the secret",
		})
		return
	}
	secret := strings.TrimSpace(string(b))
	if secret == "" {
		p.report(Problem{Section: header, Key: source.Name(), Value: source.Value(), Message: "file is empty", Allowed: "a readable file with the secret"})
	}
	parsed.values[key.Name] = secret
}

// reportMissingSections reports required sections that the file lacks. A section
// that is present but has a problem, such as an invalid name, is not reported as
// missing.
func (p *parser) reportMissingSections() {
	for _, spec := range p.table.Sections {
		if spec.Required && len(p.file.Sections(spec.Name)) == 0 && !p.hasProblem(spec.Name) {
			p.report(Problem{Section: spec.header(), Message: "section is missing", Allowed: "at least one such section"})
		}
	}
}

func (p *parser) hasProblem(section string) bool {
	for _, problem := range p.problems {
		if sectionName, _, _ := strings.Cut(problem.Section, " "); sectionName == section {
			return true
		}
	}
	return false
}

func (t Table) sectionHeaders() string {
	names := make([]string, 0, len(t.Sections))
	for _, s := range t.Sections {
		names = append(names, "["+s.header()+"]")
	}
	return strings.Join(names, ", ")
}

func (s Section) keyNames() string {
	names := make([]string, 0, len(s.Keys))
	for _, k := range s.Keys {
		names = append(names, k.Name)
		if k.Kind == Secret {
			names = append(names, k.Name+fileSuffix)
		}
	}
	return strings.Join(names, ", ")
}
