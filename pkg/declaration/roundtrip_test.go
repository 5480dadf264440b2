package declaration_test

import (
	"flag"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"github.com/apricotgrade/apricotgrade/pkg/declaration"
	"github.com/apricotgrade/apricotgrade/pkg/inifile"
)

// init fixes the seed, so that every run has the same result. The flag -rapid.seed
// sets another seed.
func init() { _ = flag.Set("rapid.seed", "20261204") }

// TestFormatKeepsDocument guards against a key that Format or Parse loses or alters:
// for any valid declarations, parsing the formatted document returns the same
// document.
func TestFormatKeepsDocument(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := drawDeclarations(t)
		doc, err := declaration.Parse("drawn.ini", []byte(text))
		if err != nil {
			t.Fatalf("generated declarations are refused: %v\n%s", err, text)
		}
		reparsed, err := declaration.Parse("formatted.ini", []byte(declaration.Format(doc)))
		if err != nil {
			t.Fatalf("formatted declarations are refused: %v\n%s", err, declaration.Format(doc))
		}
		if !reflect.DeepEqual(doc, reparsed) {
			t.Fatalf("document changed from %+v to %+v", doc, reparsed)
		}
		if changes := declaration.Diff(doc, reparsed); len(changes) != 0 {
			t.Fatalf("difference of equal documents: %s", changes)
		}
	})
}

// TestEveryKeyIsParsedAndFormatted guards against a key of the table that Parse or
// Format ignores: from declarations that set every key to a value other than the
// default, the formatted document must contain every key.
func TestEveryKeyIsParsedAndFormatted(t *testing.T) {
	doc := mustParse(t, everyKey)
	file, err := declaration.Table.Parse("all.ini", ".", []byte(declaration.Format(doc)))
	if err != nil {
		t.Fatal(err)
	}
	for _, section := range declaration.Table.Sections {
		for _, key := range section.Keys {
			if !anySets(file.Sections(section.Name), key.Name) {
				t.Errorf("[%s] %s is lost", section.Name, key.Name)
			}
		}
	}
}

func anySets(sections []*inifile.ParsedSection, key string) bool {
	for _, section := range sections {
		if section.IsSet(key) {
			return true
		}
	}
	return false
}

const everyKey = `
[account a]
key_sha256 = ` + keyHash + `
weight = 2
concurrency = 3
[data_centre north]
region = r
weight_rate = 6
[model m]
versions = 1
adapters = x
weight_bytes = 5
[group g]
model = m
version = 1
adapters = x
members = 2
data_centre = north
cold_limit = 1
warm_limit = 2
role = decode
[service s]
once = POST /orders, PUT /x
lookup = /orders/{key}
cold_limit = 1
warm_limit = 2
labels = owner:a b;c
[replica s/one]
address = 127.0.0.1:1
data_centre = north
[preset p]
weights = a:7
concurrency = a:0
idle_groups = g
queue_time = 20s
`
