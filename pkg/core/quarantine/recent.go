package quarantine

import (
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

const (
	// startMemory is how long a start is remembered at least; at most twice as long.
	startMemory = 30 * time.Second
	// maxRecentParts bounds each of the two generations of recentParts.
	maxRecentParts = 4096
)

// recentParts is the set of parts that have started in the last time. It forgets them
// by generations, so that an addition costs one write of a map.
type recentParts struct {
	current, previous map[state.PromptPartID]bool
	since             time.Duration
}

func (r *recentParts) add(now time.Duration, part state.PromptPartID) {
	r.rotate(now)
	if len(r.current) >= maxRecentParts && !r.current[part] {
		r.previous, r.current, r.since = r.current, map[state.PromptPartID]bool{}, now
	}
	r.current[part] = true
}

func (r *recentParts) has(now time.Duration, part state.PromptPartID) bool {
	r.rotate(now)
	return r.current[part] || r.previous[part]
}

func (r *recentParts) rotate(now time.Duration) {
	switch age := now - r.since; {
	case r.current == nil || age >= 2*startMemory:
		r.previous, r.current, r.since = nil, map[state.PromptPartID]bool{}, now
	case age >= startMemory:
		r.previous, r.current, r.since = r.current, map[state.PromptPartID]bool{}, now
	}
}
