package routing

import (
	"math"
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

const (
	// hintHalfLife is the age at which the weight of a cache hint has halved, because
	// engines do not report evicted prefixes immediately.
	hintHalfLife = 60 * time.Second
	// missedEventsFactor is the weight of hints that are older than the last lost
	// cache events of their target.
	missedEventsFactor = 0.5
	// maxPrefixes bounds the prefixes in memory, maxTargetsPerPrefix the targets that
	// are stored for one prefix.
	maxPrefixes         = 1 << 16
	maxTargetsPerPrefix = 8
)

// cacheHints records which targets probably have which prompt prefixes in their
// caches.
type cacheHints struct {
	entriesByPrefix map[uint64][]cacheEntry
	// prefixes is a ring buffer of the known prefixes; oldest is the index of the
	// oldest one once the buffer is full.
	prefixes []uint64
	oldest   int
	// eventsMissedAt is the time of the last report of a target with lost cache events.
	eventsMissedAt map[state.TargetID]time.Duration
	// validSince is the time of a target's last change of incarnation. Older hints are
	// ignored.
	validSince map[state.TargetID]time.Duration
	// hitBuffer is reused by bestHits.
	hitBuffer []cacheHit
}

// cacheEntry is a target that has a prefix in its cache, as of reportedAt.
type cacheEntry struct {
	target     state.TargetID
	reportedAt time.Duration
}

// cacheHit is the fraction of a prompt that a target has cached, weighted by the age
// of the hint.
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

// addComputed adds the prefixes of a prompt that a target has just computed.
func (h *cacheHints) addComputed(target state.TargetID, prefixes []uint64, now time.Duration) {
	for _, p := range prefixes {
		h.add(p, target, now)
	}
}

// invalidate makes all present hints of a target invalid.
func (h *cacheHints) invalidate(target state.TargetID, now time.Duration) { h.validSince[target] = now }

// add records that a target has a prefix in its cache. It replaces the oldest entry of
// a prefix that is stored for too many targets.
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

// addPrefix adds a new prefix and drops the oldest one when the ring buffer is full.
func (h *cacheHints) addPrefix(prefix uint64) {
	if len(h.prefixes) < maxPrefixes {
		h.prefixes = append(h.prefixes, prefix)
		return
	}
	delete(h.entriesByPrefix, h.prefixes[h.oldest])
	h.prefixes[h.oldest] = prefix
	h.oldest = (h.oldest + 1) % maxPrefixes
}

// bestHits returns the hit of the longest cached prefix for each target. The slice is
// valid until the next call.
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
