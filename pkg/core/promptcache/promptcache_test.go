package promptcache_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/core/promptcache"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

const ampleRoom = 1e9

func prefixes(parts ...state.PromptPartID) []promptcache.Prefix {
	sizes := make([]int, len(parts))
	for i := range sizes {
		sizes[i] = 100
	}
	return promptcache.Prefixes("shop", "draft", parts, sizes)
}

// TestPrefixesAreTheirOwn guards against a prefix that is taken for that of another account or
// model, of other parts or sizes, or of the same parts in another order.
func TestPrefixesAreTheirOwn(t *testing.T) {
	g := gomega.NewWithT(t)
	own := promptcache.Prefixes("shop", "draft", []state.PromptPartID{1, 2}, []int{100, 50})
	g.Expect(own).To(gomega.HaveLen(2))
	g.Expect([]int{own[0].Tokens, own[1].Tokens}).To(gomega.Equal([]int{100, 150}))
	for name, other := range map[string][]promptcache.Prefix{
		"account":  promptcache.Prefixes("desk", "draft", []state.PromptPartID{1, 2}, []int{100, 50}),
		"boundary": promptcache.Prefixes("shopd", "raft", []state.PromptPartID{1, 2}, []int{100, 50}),
		"model":    promptcache.Prefixes("shop", "other", []state.PromptPartID{1, 2}, []int{100, 50}),
		"order":    promptcache.Prefixes("shop", "draft", []state.PromptPartID{2, 1}, []int{50, 100}),
		"size":     promptcache.Prefixes("shop", "draft", []state.PromptPartID{1, 2}, []int{101, 50}),
	} {
		for i := range own {
			g.Expect(other[i].Key).NotTo(gomega.Equal(own[i].Key), name)
		}
	}
	branch := promptcache.Prefixes("shop", "draft", []state.PromptPartID{1, 3}, []int{100, 50})
	g.Expect(branch[0]).To(gomega.Equal(own[0]))
	g.Expect(branch[1].Key).NotTo(gomega.Equal(own[1].Key))
	g.Expect(promptcache.Prefixes("shop", "draft", []state.PromptPartID{1, 2}, []int{100})).To(gomega.HaveLen(1), "a part without a size")
	g.Expect(promptcache.Prefixes("shop", "draft", nil, nil)).To(gomega.BeNil())
}

// TestLongestHeldPrefix guards against a saving for parts after the first one that differs, and
// against evidence of one target that counts at another.
func TestLongestHeldPrefix(t *testing.T) {
	g := gomega.NewWithT(t)
	store := promptcache.New(time.Minute, 100)
	target, other := store.NewTarget(), store.NewTarget()
	target.Hold(0, prefixes(1, 2, 3))
	g.Expect(target.Held(time.Second, prefixes(1, 2, 3), ampleRoom)).To(gomega.Equal(300))
	g.Expect(target.Held(time.Second, prefixes(1, 2, 4, 3), ampleRoom)).To(gomega.Equal(200))
	g.Expect(target.Held(time.Second, prefixes(2, 3), ampleRoom)).To(gomega.Equal(0))
	g.Expect(other.Held(time.Second, prefixes(1, 2, 3), ampleRoom)).To(gomega.Equal(0))
}

// TestExpiry guards against evidence that outlives its retention, and against evidence that
// expires although the prefix is in use.
func TestExpiry(t *testing.T) {
	g := gomega.NewWithT(t)
	store := promptcache.New(10*time.Second, 100)
	target := store.NewTarget()
	target.Hold(0, prefixes(1, 2))
	target.Hold(6*time.Second, prefixes(1))
	g.Expect(target.Held(9*time.Second, prefixes(1, 2), ampleRoom)).To(gomega.Equal(200))
	g.Expect(target.Held(10*time.Second, prefixes(1, 2), ampleRoom)).To(gomega.Equal(100))
	g.Expect(target.Held(16*time.Second, prefixes(1, 2), ampleRoom)).To(gomega.Equal(0))
	g.Expect(store.Len()).To(gomega.Equal(0))
	target.Hold(20*time.Second, prefixes(5))
	target.Hold(40*time.Second, prefixes(6))
	g.Expect(store.Len()).To(gomega.Equal(1), "expired entries that nobody asks for")
}

// TestMemoryOfTarget guards against evidence that outlives the prompts in the memory of the
// target, and against a prefix that is larger than what the requests in flight leave.
func TestMemoryOfTarget(t *testing.T) {
	g := gomega.NewWithT(t)
	target := promptcache.New(time.Minute, 100).NewTarget()
	target.Hold(0, prefixes(1, 2))
	target.Fill(800)
	g.Expect(target.Held(0, prefixes(1, 2), 1000)).To(gomega.Equal(200))
	target.Hold(0, prefixes(1))
	target.Fill(1)
	g.Expect(target.Held(0, prefixes(1, 2), 1000)).To(gomega.Equal(100), "the part that is in use")
	g.Expect(target.Held(0, prefixes(1, 2), 100)).To(gomega.Equal(0), "no room beside the requests in flight")
	g.Expect(target.Held(0, prefixes(1, 2), 1000)).To(gomega.Equal(0), "what was evicted does not come back")
}

// TestForget guards against evidence of a process that has ended.
func TestForget(t *testing.T) {
	g := gomega.NewWithT(t)
	store := promptcache.New(time.Minute, 100)
	target, other := store.NewTarget(), store.NewTarget()
	target.Hold(0, prefixes(1, 2))
	other.Hold(0, prefixes(1))
	target.Forget()
	g.Expect(target.IsEmpty()).To(gomega.BeTrue())
	g.Expect(target.Held(0, prefixes(1, 2), ampleRoom)).To(gomega.Equal(0))
	g.Expect(other.Held(0, prefixes(1, 2), ampleRoom)).To(gomega.Equal(100))
	g.Expect(store.Len()).To(gomega.Equal(1))
}

// TestBoundOfEntries guards against memory that grows with the number of prompts, and against
// the loss of a prefix in use to those that are used once.
func TestBoundOfEntries(t *testing.T) {
	g := gomega.NewWithT(t)
	store := promptcache.New(time.Hour, 64)
	targets := []*promptcache.Target{store.NewTarget(), store.NewTarget()}
	for i := range 10_000 {
		now := time.Duration(i) * time.Millisecond
		targets[i%2].Hold(now, prefixes(7, state.PromptPartID(1000+i)))
		g.Expect(store.Len()).To(gomega.BeNumerically("<=", 64))
	}
	g.Expect(targets[0].Held(10*time.Second, prefixes(7, 1), ampleRoom)).To(gomega.Equal(100))
	g.Expect(targets[0].Held(10*time.Second, prefixes(7, 1000), ampleRoom)).To(gomega.Equal(100))
}
