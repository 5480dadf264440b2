package routing

import (
	"math"
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

const (
	// hintHalfLife is the age at which a cache hint counts half: engines drop
	// prefixes without telling at once.
	hintHalfLife = 60 * time.Second
	// gapFactor is the weight of hints from before missed events.
	gapFactor = 0.5
	// maxHints bounds the prefixes in memory, maxHolders the targets of one.
	maxHints   = 1 << 16
	maxHolders = 8
)

// hints holds which targets have which prompt prefixes in their caches.
type hints struct {
	holders map[uint64][]holder
	// order holds the prefixes from oldest to newest; next is the oldest.
	order []uint64
	next  int
	gaps  map[state.TargetID]time.Duration
	// since drops hints of an earlier incarnation.
	since map[state.TargetID]time.Duration
	found []hit
}

type holder struct {
	target state.TargetID
	at     time.Duration
}

// hit is the part of a prompt that a target has cached, weighted by age.
type hit struct {
	target state.TargetID
	part   float64
}

func newHints() *hints {
	return &hints{
		holders: map[uint64][]holder{}, gaps: map[state.TargetID]time.Duration{}, since: map[state.TargetID]time.Duration{},
	}
}

func (h *hints) report(in state.LoadReport, now time.Duration) {
	if in.CacheEventsMissed {
		h.gaps[in.Target] = now
	}
	for _, p := range in.CachedPrefixes {
		h.add(p, in.Target, now)
	}
	for _, p := range in.EvictedPrefixes {
		h.holders[p] = slices.DeleteFunc(h.holders[p], func(o holder) bool { return o.target == in.Target })
	}
}

// served notes the prefixes of a prompt that a target has just computed.
func (h *hints) served(target state.TargetID, prefixes []uint64, now time.Duration) {
	for _, p := range prefixes {
		h.add(p, target, now)
	}
}

func (h *hints) forget(target state.TargetID, now time.Duration) { h.since[target] = now }

func (h *hints) add(prefix uint64, target state.TargetID, now time.Duration) {
	list, known := h.holders[prefix]
	if !known {
		h.remember(prefix)
	}
	oldest := 0
	for i := range list {
		if list[i].target == target {
			list[i].at = now
			return
		}
		if list[i].at < list[oldest].at {
			oldest = i
		}
	}
	if len(list) < maxHolders {
		h.holders[prefix] = append(list, holder{target, now})
		return
	}
	list[oldest] = holder{target, now}
}

func (h *hints) remember(prefix uint64) {
	if len(h.order) < maxHints {
		h.order = append(h.order, prefix)
		return
	}
	delete(h.holders, h.order[h.next])
	h.order[h.next] = prefix
	h.next = (h.next + 1) % maxHints
}

// hits returns the best hit of each target. The slice is valid until the next
// call.
func (h *hints) hits(prefixes []uint64, now time.Duration) []hit {
	h.found = h.found[:0]
	for i := len(prefixes) - 1; i >= 0; i-- {
		for _, o := range h.holders[prefixes[i]] {
			if o.at < h.since[o.target] || slices.ContainsFunc(h.found, func(f hit) bool { return f.target == o.target }) {
				continue
			}
			weight := math.Exp2(-float64(now-o.at) / float64(hintHalfLife))
			if gap, ok := h.gaps[o.target]; ok && o.at < gap {
				weight *= gapFactor
			}
			h.found = append(h.found, hit{o.target, weight * float64(i+1) / float64(len(prefixes))})
		}
	}
	return h.found
}
