package inifile

import (
	"os"
	"path/filepath"
	"strings"

	"gopkg.in/ini.v1"
)

// options keep values literal: no comments behind a value, no continuation
// lines and no unquoting, because keys and hashes may hold such characters.
var options = ini.LoadOptions{
	IgnoreInlineComment:        true,
	IgnoreContinuation:         true,
	PreserveSurroundedQuote:    true,
	AllowShadows:               true,
	AllowDuplicateShadowValues: true,
	AllowNonUniqueSections:     true,
	KeyValueDelimiters:         "=",
}

// ParseFile reads a file. The error is of type Problems.
func (t Table) ParseFile(path string) (*File, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, Problems{{File: path, Message: "cannot be read: " + err.Error(), Allowed: "a readable INI file"}}
	}
	return t.Parse(path, filepath.Dir(path), b)
}

// Parse reads the content of a file with the given name. Files named by keys
// are relative to dir. The error is of type Problems and holds all faults.
func (t Table) Parse(name, dir string, content []byte) (*File, error) {
	source, err := ini.LoadSources(options, content)
	if err != nil {
		return nil, Problems{{File: name, Message: "is not an INI file: " + err.Error(), Allowed: "lines of [section] and key = value"}}
	}
	p := parser{table: t, name: name, dir: dir, file: &File{Name: name, table: t}, seen: map[string]bool{}}
	for _, section := range source.Sections() {
		p.section(section)
	}
	p.absent()
	return p.file, p.problems.Err()
}

type parser struct {
	table    Table
	name     string
	dir      string
	file     *File
	seen     map[string]bool
	problems Problems
}

func (p *parser) report(problem Problem) {
	problem.File = p.name
	p.problems = append(p.problems, problem)
}

func (p *parser) section(source *ini.Section) {
	header := strings.Join(strings.Fields(source.Name()), " ")
	if source.Name() == ini.DefaultSection {
		for _, key := range source.Keys() {
			p.report(Problem{Key: key.Name(), Message: "stands before the first section", Allowed: p.table.headers()})
		}
		return
	}
	kind, name, _ := strings.Cut(header, " ")
	spec, ok := p.table.section(kind)
	switch {
	case !ok:
		p.report(Problem{Section: header, Message: "unknown section", Allowed: p.table.headers()})
		return
	case !spec.Named && name != "":
		p.report(Problem{Section: header, Message: "section takes no name", Allowed: "[" + spec.header() + "]"})
		return
	case spec.Named && !validSectionName(name):
		p.report(Problem{Section: header, Message: "section needs a name", Allowed: "[" + spec.header() + "] with a name of letters, digits, '.', '_' and '-'"})
		return
	case p.seen[header]:
		p.report(Problem{Section: header, Message: "section is given twice", Allowed: "each section once"})
		return
	}
	p.seen[header] = true
	in := &Instance{Section: kind, Name: name, values: map[string]string{}, given: map[string]bool{}}
	for _, key := range source.Keys() {
		p.key(in, header, spec, key)
	}
	for _, key := range spec.Keys {
		if in.given[key.Name] {
			continue
		}
		if key.Required {
			p.report(Problem{Section: header, Key: key.Name, Message: "key is missing", Allowed: key.Allowed()})
		}
		in.values[key.Name] = key.Default
	}
	p.file.instances = append(p.file.instances, in)
}

// validSectionName accepts names with one slash, as in [replica SERVICE/NAME].
func validSectionName(name string) bool {
	first, second, found := strings.Cut(name, "/")
	return ValidName(first) && (!found || ValidName(second))
}

func (p *parser) key(in *Instance, header string, spec Section, source *ini.Key) {
	key, ok := spec.key(source.Name())
	byFile := false
	if !ok {
		key, byFile = spec.key(strings.TrimSuffix(source.Name(), fileSuffix))
		byFile = byFile && key.Kind == Secret && strings.HasSuffix(source.Name(), fileSuffix)
	}
	if !ok && !byFile {
		p.report(Problem{Section: header, Key: source.Name(), Message: "unknown key", Allowed: spec.names()})
		return
	}
	if len(source.ValueWithShadows()) > 1 || in.given[key.Name] {
		in.given[key.Name] = true
		p.report(Problem{Section: header, Key: source.Name(), Message: "key is given twice", Allowed: "each key once"})
		return
	}
	in.given[key.Name] = true
	value := source.Value()
	if byFile {
		p.secretFile(in, header, key, source)
		return
	}
	if !key.valid(value) {
		shown := value
		if key.Kind == Secret {
			shown = hidden
		}
		p.report(Problem{Section: header, Key: key.Name, Value: shown, Message: "value is not allowed", Allowed: key.Allowed()})
	}
	in.values[key.Name] = value
}

func (p *parser) secretFile(in *Instance, header string, key Key, source *ini.Key) {
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
	in.values[key.Name] = secret
}

func (p *parser) absent() {
	for _, spec := range p.table.Sections {
		if spec.Required && len(p.file.All(spec.Name)) == 0 && !p.tried(spec.Name) {
			p.report(Problem{Section: spec.header(), Message: "section is missing", Allowed: "at least one such section"})
		}
	}
}

func (p *parser) tried(section string) bool {
	for _, problem := range p.problems {
		if kind, _, _ := strings.Cut(problem.Section, " "); kind == section {
			return true
		}
	}
	return false
}

func (t Table) headers() string {
	names := make([]string, 0, len(t.Sections))
	for _, s := range t.Sections {
		names = append(names, "["+s.header()+"]")
	}
	return strings.Join(names, ", ")
}

func (s Section) names() string {
	names := make([]string, 0, len(s.Keys))
	for _, k := range s.Keys {
		names = append(names, k.Name)
		if k.Kind == Secret {
			names = append(names, k.Name+fileSuffix)
		}
	}
	return strings.Join(names, ", ")
}
