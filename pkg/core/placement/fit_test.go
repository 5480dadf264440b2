package placement

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// firstFit is the baseline for comparison: it returns the first domain with
// enough hosts, or -1.
func firstFit(domains []domainHosts, memberCount int) int {
	return slices.IndexFunc(domains, func(d domainHosts) bool { return len(d.hosts) >= memberCount })
}

// strandedHosts places groups in the given order. It returns the number of
// hosts that unplaced groups need, limited to the number of hosts left free in
// all domains together.
func strandedHosts(domains []domainHosts, needs []int, fit func([]domainHosts, int) int) int {
	domains = slices.Clone(domains)
	freeHosts, missingHosts := 0, 0
	for _, n := range needs {
		if i := fit(domains, n); i >= 0 {
			domains[i].hosts = domains[i].hosts[n:]
		} else {
			missingHosts += n
		}
	}
	for _, d := range domains {
		freeHosts += len(d.hosts)
	}
	return min(freeHosts, missingHosts)
}

// TestStrandedAccelerators guards against a fit that strands more accelerators
// than first fit, and logs the mean of each. If the group sizes divide each
// other, both fits strand the same number once the largest groups are placed
// first; with other sizes they differ.
func TestStrandedAccelerators(t *testing.T) {
	compareFits(t, "sizes that divide each other", []int{1, 2, 2, 4, 4, 8, 16})
	compareFits(t, "all sizes", []int{1, 2, 3, 4, 5, 6, 7, 8, 10, 12, 16})
}

func compareFits(t *testing.T, name string, sizes []int) {
	const (
		seed                = 20260312
		declarations        = 2000
		acceleratorsPerHost = 8
	)
	random := rand.New(rand.NewPCG(seed, 0))
	var totalHosts, declaredOrder, firstFitLargest, bestFitLargest int
	for range declarations {
		domains := make([]domainHosts, 4+random.IntN(8))
		total := 0
		for i := range domains {
			domains[i].hosts = make([]state.HostID, 8+random.IntN(25))
			total += len(domains[i].hosts)
		}
		var needs []int
		for sum := 0; ; {
			n := sizes[random.IntN(len(sizes))]
			if sum += n; sum > total {
				break
			}
			needs = append(needs, n)
		}
		totalHosts += total
		declaredOrder += strandedHosts(domains, needs, firstFit)
		slices.SortFunc(needs, func(a, b int) int { return cmp.Compare(b, a) })
		firstFitLargest += strandedHosts(domains, needs, firstFit)
		bestFitLargest += strandedHosts(domains, needs, bestFit)
	}
	mean := func(n int) string { return fmt.Sprintf("%.2f", float64(n*acceleratorsPerHost)/declarations) }
	t.Logf("%s: seed %d, %d declarations, mean of %d accelerators, %d per host; stranded: first fit in declared order %s, "+
		"first fit largest first %s, best fit largest first %s",
		name, seed, declarations, totalHosts*acceleratorsPerHost/declarations, acceleratorsPerHost, mean(declaredOrder), mean(firstFitLargest), mean(bestFitLargest))
	if bestFitLargest > firstFitLargest || firstFitLargest > declaredOrder {
		t.Errorf("%s: best fit strands %d hosts, first fit %d, first fit in declared order %d", name, bestFitLargest, firstFitLargest, declaredOrder)
	}
}
