package latency_test

import (
	"bytes"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/bench/latency"
)

// TestRunPrintsAllFigures guards against a measurement that fails or omits
// figures. It does not check the values because the test machine is shared.
func TestRunPrintsAllFigures(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	g.Expect(latency.Run(&out, latency.Options{Requests: 40, Callers: []int{1, 4}, Streams: 10, Tokens: 200})).To(Succeed())
	for _, want := range []string{"plain", "stream, first event", "memory per open stream", "tokens relayed", "allocations per plain"} {
		g.Expect(out.String()).To(ContainSubstring(want))
	}
	t.Log(out.String())
}
