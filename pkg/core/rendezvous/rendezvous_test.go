package rendezvous_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/apricotgrade/apricotgrade/pkg/core/rendezvous"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

func nodes(n int) []state.NodeID {
	ids := make([]state.NodeID, n)
	for i := range ids {
		ids[i] = state.NodeID(fmt.Sprintf("n%d", i))
	}
	return ids
}

// TestRankIsIndependentOfInputOrder guards against nodes that choose different
// watchers because they list the same nodes in a different order.
func TestRankIsIndependentOfInputOrder(t *testing.T) {
	ids := nodes(40)
	want := rendezvous.Rank("g1", ids).First(40)
	slices.Reverse(ids)
	if got := rendezvous.Rank("g1", ids).First(41); !slices.Equal(got, want) {
		t.Errorf("ranking %v, want %v", got, want)
	}
}

// TestRemovedNodeMovesOnlyItsKeys guards against a ranking in which the removal
// of one node changes the first node of all keys.
func TestRemovedNodeMovesOnlyItsKeys(t *testing.T) {
	all := nodes(6)
	moved := 0
	for i := range 600 {
		key := fmt.Sprintf("g%d", i)
		before := rendezvous.Rank(key, all).First(1)[0]
		after := rendezvous.Rank(key, all[:5]).First(1)[0]
		if before != after && before != "n5" {
			t.Fatalf("%s moved from %s to %s although only n5 was removed", key, before, after)
		}
		if before != after {
			moved++
		}
	}
	if moved < 50 || moved > 150 {
		t.Errorf("%d of 600 keys moved, want about 100", moved)
	}
}

// BenchmarkFirst measures the choice of two watchers among 320 nodes, the
// design scale.
func BenchmarkFirst(b *testing.B) {
	ids := nodes(320)
	for b.Loop() {
		rendezvous.Rank("g1", ids).First(2)
	}
}
