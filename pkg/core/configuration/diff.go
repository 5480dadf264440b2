package configuration

import (
	"bytes"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// maxDiffText is the maximum length of a difference in an audit record, in bytes.
const maxDiffText = 1024

// diffDocuments lists the names of the declarations that differ between two
// documents, or returns "" when none does. The text contains no values, because an
// account declares a key hash.
func diffDocuments(before, after *state.Document) string {
	var parts []string
	parts = diffSpecs(parts, "account", before.Accounts, after.Accounts, func(a state.AccountSpec) string { return string(a.Name) })
	parts = diffSpecs(parts, "data centre", before.DataCentres, after.DataCentres, func(d state.DataCentreSpec) string { return string(d.Name) })
	parts = diffSpecs(parts, "model", before.Models, after.Models, func(m state.ModelSpec) string { return m.Name })
	parts = diffSpecs(parts, "group", before.Groups, after.Groups, func(g state.GroupSpec) string { return string(g.Name) })
	parts = diffSpecs(parts, "service", before.Services, after.Services, func(s state.ServiceSpec) string { return s.Name })
	parts = diffSpecs(parts, "preset", before.Presets, after.Presets, func(p state.PresetSpec) string { return p.Name })
	text := strings.Join(parts, ", ")
	if len(text) > maxDiffText {
		text = text[:maxDiffText] + " and more"
	}
	return text
}

// encodeSorted encodes a spec with sorted map keys, so that equal specs have equal
// encodings. Specs are plain structs, whose encoding cannot fail.
func encodeSorted(v any) []byte {
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		return nil
	}
	b, err := mode.Marshal(v)
	if err != nil {
		return nil
	}
	return b
}

// diffSpecs appends the differences between two lists of specs of one kind to parts.
func diffSpecs[S any](parts []string, kind string, before, after []S, nameOf func(S) string) []string {
	encodedBefore := make(map[string][]byte, len(before))
	for _, s := range before {
		encodedBefore[nameOf(s)] = encodeSorted(s)
	}
	namesAfter := make(map[string]bool, len(after))
	for _, s := range after {
		specName := nameOf(s)
		namesAfter[specName] = true
		encoded, ok := encodedBefore[specName]
		switch {
		case !ok:
			parts = append(parts, kind+" "+specName+" added")
		case !bytes.Equal(encoded, encodeSorted(s)):
			parts = append(parts, kind+" "+specName+" changed")
		}
	}
	for _, s := range before {
		if !namesAfter[nameOf(s)] {
			parts = append(parts, kind+" "+nameOf(s)+" removed")
		}
	}
	return parts
}
