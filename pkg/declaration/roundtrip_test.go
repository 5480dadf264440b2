package declaration_test

import (
	"flag"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"github.com/apricotgrade/apricotgrade/pkg/declaration"
	"github.com/apricotgrade/apricotgrade/pkg/inifile"
)

// A fixed seed gives the same verdict on every run. The flag -rapid.seed sets
// another one.
func init() { _ = flag.Set("rapid.seed", "20261204") }

// TestRoundTrip guards against a key that Format or Parse loses or alters: for
// any accepted declarations, Format gives declarations of the same document.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := draw(t)
		doc, err := declaration.Parse("drawn.ini", []byte(text))
		if err != nil {
			t.Fatalf("drawn declarations are refused: %v\n%s", err, text)
		}
		again, err := declaration.Parse("formatted.ini", []byte(declaration.Format(doc)))
		if err != nil {
			t.Fatalf("formatted declarations are refused: %v\n%s", err, declaration.Format(doc))
		}
		if !reflect.DeepEqual(doc, again) {
			t.Fatalf("document changed from %+v to %+v", doc, again)
		}
		if changes := declaration.Diff(doc, again); len(changes) != 0 {
			t.Fatalf("difference of equal documents: %s", changes)
		}
	})
}

// TestTableIsComplete guards against a key of the table that Parse ignores: a
// document with every key set formats to all of them.
func TestTableIsComplete(t *testing.T) {
	doc := parse(t, everyKey)
	file, err := declaration.Table.Parse("all.ini", ".", []byte(declaration.Format(doc)))
	if err != nil {
		t.Fatal(err)
	}
	for _, section := range declaration.Table.Sections {
		for _, key := range section.Keys {
			if !anyGives(file.All(section.Name), key.Name) {
				t.Errorf("[%s] %s is lost", section.Name, key.Name)
			}
		}
	}
}

func anyGives(all []*inifile.Instance, key string) bool {
	for _, in := range all {
		if in.Given(key) {
			return true
		}
	}
	return false
}

const everyKey = `
[account a]
key_sha256 = ` + hash + `
weight = 2
concurrency = 3
[data_centre north]
region = r
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
