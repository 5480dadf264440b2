package formation

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// Sizes of the platform's largest installation: domains of 37 hosts, groups of 16 and 8.
const (
	largeDomainCount = 25
	largeDomainHosts = 37
	// leadTime is the time between the start of all machines and the first request, and
	// smallestCore the part of a core that the smallest machine has.
	leadTime     = 14 * time.Second
	smallestCore = 0.192
)

func newLargeRig(t *testing.T, domains int) *rig {
	return newSizedRig(t, domains, largeDomainHosts, 16, 8)
}

// stepTimes holds the processor times of the steps of one kind of input.
type stepTimes []time.Duration

func (s stepTimes) sum() (total time.Duration) {
	for _, elapsed := range s {
		total += elapsed
	}
	return total
}

// median is not moved by steps during which the process was interrupted.
func (s stepTimes) median() time.Duration {
	sorted := slices.Sorted(slices.Values(s))
	return sorted[len(sorted)/2]
}

// formAllGroups runs a rig until traffic starts, and returns the times of its steps by kind
// of input.
func (r *rig) formAllGroups() map[string]stepTimes {
	times := map[string]stepTimes{}
	r.observe = func(in state.Input, elapsed time.Duration) {
		kind := fmt.Sprintf("%T", in)
		times[kind] = append(times[kind], elapsed)
	}
	r.run(leadTime)
	return times
}

// TestStepDoesNotGrowWithFleet guards against a holder of the formation lease that falls
// behind its inputs in a large fleet, because each report and each result of an order makes
// it look at all hosts. A start has several inputs for each host.
func TestStepDoesNotGrowWithFleet(t *testing.T) {
	const (
		growth = largeDomainCount
		// margin is the factor by which a step may cost more in a fleet of 25 domains, beside
		// what caches and interruptions add to a step of a few microseconds.
		margin = 4
		jitter = 20 * time.Microsecond
	)
	few, many := newLargeRig(t, 1).formAllGroups(), newLargeRig(t, growth).formAllGroups()
	for _, in := range []state.Input{state.HostReport{}, state.HostOrderResult{}, state.TableUpdate{}} {
		kind := fmt.Sprintf("%T", in)
		small, large := few[kind].median(), many[kind].median()
		t.Logf("%s: %v with %d hosts, %v with %d", kind, small, largeDomainHosts, large, growth*largeDomainHosts)
		if large > margin*small+jitter {
			t.Errorf("SHORT: %s costs %v with %d hosts and %v with %d", kind, small, largeDomainHosts, large, growth*largeDomainHosts)
		}
	}
}
