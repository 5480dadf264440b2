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
	// missedEventsFactor is the weight of hints from before missed events.
	missedEventsFactor = 0.5
	// maxPrefixes bounds the prefixes in memory, maxHolders the targets of one.
	maxPrefixes         = 1 << 16
	maxTargetsPerPrefix = 8
)

// cacheHints holds which targets have which prompt prefixes in their caches.
type cacheHints struct {
	entriesByPrefix map[uint64][]cacheEntry
	// prefixes holds the prefixes from oldest to newest; next is the oldest.
	prefixes       []uint64
	oldest         int
	eventsMissedAt map[state.TargetID]time.Duration
	// validSince drops hints of an earlier incarnation.
	validSince map[state.TargetID]time.Duration
	hitBuffer  []cacheHit
}

type cacheEntry struct {
	target     state.TargetID
	reportedAt time.Duration
}

// cacheHit is the part of a prompt that a target has cached, weighted by age.
type cacheHit struct {
	target   state.TargetID
	fraction float64
}

func newCacheHints() *cacheHints {
	return &cacheHints{
		entriesByPrefix: map[uint64][]cacheEntry{}, eventsMissedAt: map[state.TargetID]time.Duration{}, validSince: map[state.TargetID]time.Duration{},
	}
}

func (h *cacheHints) applyReport(in state.LoadReport, now time.Duration) {
	if in.CacheEventsMissed {
		h.eventsMissedAt[in.Target] = now
	}
	for _, p := range in.CachedPrefixes {
		h.add(p, in.Target, now)
	}
	for _, p := range in.EvictedPrefixes {
		h.entriesByPrefix[p] = slices.DeleteFunc(h.entriesByPrefix[p], func(entry cacheEntry) bool { return entry.target == in.Target })
	}
}

// addComputed notes the prefixes of a prompt that a target has just computed.
func (h *cacheHints) addComputed(target state.TargetID, prefixes []uint64, now time.Duration) {
	for _, p := range prefixes {
		h.add(p, target, now)
	}
}

func (h *cacheHints) invalidate(target state.TargetID, now time.Duration) { h.validSince[target] = now }

func (h *cacheHints) add(prefix uint64, target state.TargetID, now time.Duration) {
	entries, exists := h.entriesByPrefix[prefix]
	if !exists {
		h.addPrefix(prefix)
	}
	oldest := 0
	for i := range entries {
		if entries[i].target == target {
			entries[i].reportedAt = now
			return
		}
		if entries[i].reportedAt < entries[oldest].reportedAt {
			oldest = i
		}
	}
	if len(entries) < maxTargetsPerPrefix {
		h.entriesByPrefix[prefix] = append(entries, cacheEntry{target, now})
		return
	}
	entries[oldest] = cacheEntry{target, now}
}

func (h *cacheHints) addPrefix(prefix uint64) {
	if len(h.prefixes) < maxPrefixes {
		h.prefixes = append(h.prefixes, prefix)
		return
	}
	delete(h.entriesByPrefix, h.prefixes[h.oldest])
	h.prefixes[h.oldest] = prefix
	h.oldest = (h.oldest + 1) % maxPrefixes
}

// bestHits returns the best hit of each target. The slice is valid until the next
// call.
func (h *cacheHints) bestHits(prefixes []uint64, now time.Duration) []cacheHit {
	h.hitBuffer = h.hitBuffer[:0]
	for i := len(prefixes) - 1; i >= 0; i-- {
		for _, entry := range h.entriesByPrefix[prefixes[i]] {
			if entry.reportedAt < h.validSince[entry.target] || slices.ContainsFunc(h.hitBuffer, func(hit cacheHit) bool { return hit.target == entry.target }) {
				continue
			}
			weight := math.Exp2(-float64(now-entry.reportedAt) / float64(hintHalfLife))
			if missedAt, ok := h.eventsMissedAt[entry.target]; ok && entry.reportedAt < missedAt {
				weight *= missedEventsFactor
			}
			h.hitBuffer = append(h.hitBuffer, cacheHit{entry.target, weight * float64(i+1) / float64(len(prefixes))})
		}
	}
	return h.hitBuffer
}
