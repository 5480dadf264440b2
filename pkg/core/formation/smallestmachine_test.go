//go:build !race

// The race detector multiplies the processor time of a program.

package formation

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// TestAllGroupsOpenOnSmallestMachine guards against a fleet that serves nothing when traffic
// comes, because the smallest machine cannot form its groups in time. The formation system may
// use half of what such a machine has until then.
func TestAllGroupsOpenOnSmallestMachine(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, domains := range []int{1, 5, largeDomainCount} {
		r := newLargeRig(t, domains)
		times := r.formAllGroups()
		total := time.Duration(0)
		for _, kind := range slices.Sorted(maps.Keys(times)) {
			total += times[kind].sum()
			t.Logf("%d hosts: %s %d times, %v in all, %v in the median", len(r.hosts), kind, len(times[kind]), times[kind].sum(), times[kind].median())
		}
		open := len(r.openGroups(large))*16 + len(r.openGroups(small))*8
		t.Logf("%d hosts: %v of a core, %d hosts in open groups", len(r.hosts), total, open)
		g.Expect(open).To(gomega.BeNumerically(">=", len(r.hosts)*8/10))
		g.Expect(r.violations).To(gomega.BeEmpty())
		if available := time.Duration(float64(leadTime) * smallestCore); total > available/2 {
			t.Errorf("SHORT: forming the groups of %d hosts takes %v of the %v that the smallest machine has", len(r.hosts), total, available)
		}
	}
}
