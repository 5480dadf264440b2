package slopes_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/bench/slopes"
)

// TestRunMeasuresSweepsAndDrawsPlot guards against a measurement that runs before
// all groups are loaded, writes no fits, or writes no plot.
func TestRunMeasuresSweepsAndDrawsPlot(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "slopes.png")
	sweep := slopes.Sweep{Name: "nodes"}
	for _, n := range []int{2, 4, 6} {
		sweep.Loads = append(sweep.Loads, slopes.Load{Nodes: n, Replicas: 8, Members: 2, Accounts: 3, ChangesPerDay: 43200})
		sweep.Values = append(sweep.Values, float64(n))
	}
	var out bytes.Buffer
	var progress bytes.Buffer
	err := slopes.Run(&out, path, slopes.Options{
		Warmup: 12 * time.Second, Window: 4 * time.Second,
		Sweeps: []slopes.Sweep{sweep}, Points: []slopes.Load{sweep.Loads[0]}, Progress: &progress,
	})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(bytes.Count(progress.Bytes(), []byte("8 serving"))).To(Equal(4), progress.String())
	g.Expect(out.String()).To(ContainSubstring("linear fits"))
	png, err := os.ReadFile(path)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(png).To(HavePrefix("\x89PNG"))
}

// TestRunRejectsInvalidSweepsAndLoads guards against a fit over too few points
// and a load whose replica groups have more members than a fabric domain has
// hosts.
func TestRunRejectsInvalidSweepsAndLoads(t *testing.T) {
	g := NewWithT(t)
	shortSweep := slopes.Sweep{Name: "short", Loads: make([]slopes.Load, 2), Values: []float64{1, 2}}
	g.Expect(slopes.Run(&bytes.Buffer{}, "", slopes.Options{Sweeps: []slopes.Sweep{shortSweep}})).To(MatchError(ContainSubstring("short")))
	oversizedLoad := slopes.Load{Nodes: 1, Replicas: 1, Members: 100, Accounts: 1}
	g.Expect(slopes.Run(&bytes.Buffer{}, "", slopes.Options{
		Sweeps: []slopes.Sweep{}, Points: []slopes.Load{oversizedLoad},
	})).To(MatchError(ContainSubstring("out of range")))
}

// TestRunDataPathMeasuresRequestsAndStreams guards against a comparison whose
// requests fail, whose streams contain no tokens, or whose runs do not end.
func TestRunDataPathMeasuresRequestsAndStreams(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	g.Expect(slopes.RunDataPath(context.Background(), &out, slopes.DataPathOptions{
		Warmup: 300 * time.Millisecond, Window: 300 * time.Millisecond,
		Rates: []int{40}, Streams: []int{12}, Engines: []int{3},
	})).To(Succeed())
	g.Expect(out.String()).To(MatchRegexp(`\b12\s+0\.0\s+[1-9]\d{2,}`), "12 streams carry some 460 tokens a second")
	g.Expect(out.String()).To(ContainSubstring("memory of an open stream"))
}
