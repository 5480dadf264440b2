package gateway

import (
	"bytes"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// TestEventsAreFoundInAnyParts guards against events that are relayed late, early or in part
// because of how their bytes arrive.
func TestEventsAreFoundInAnyParts(t *testing.T) {
	g := NewWithT(t)
	const text = ":a\n\nid: 1\ndata: x\n\n\n\ndata:\n\n:b\n\ndata: y\n\n:c\n\n"
	for step := 1; step <= len(text); step++ {
		var relayed, pending []byte
		checked := 0
		for from := 0; from < len(text); from += step {
			pending = append(pending, text[from:min(from+step, len(text))]...)
			var complete, rest []byte
			complete, rest, checked = splitEvents(pending, checked)
			relayed = append(relayed, complete...)
			pending = bytes.Clone(rest)
		}
		g.Expect(string(relayed)).To(Equal(strings.TrimSuffix(text, ":c\n\n")))
		g.Expect(string(pending[:checked])).To(Equal(":c\n\n"))
	}
}
