package quarantine

import (
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

const (
	// startMemory is how long a start is remembered at least; at most twice as long.
	startMemory = 30 * time.Second
	// maxRecentTraits bounds each of the two generations of recentTraits.
	maxRecentTraits = 16384
)

// recentTraits is the set of traits that have started in the last time. It forgets them
// by generations, so that an addition costs one write of a map.
type recentTraits struct {
	current, previous map[state.Trait]bool
	since             time.Duration
}

func (r *recentTraits) add(now time.Duration, trait state.Trait) {
	r.rotate(now)
	if len(r.current) >= maxRecentTraits && !r.current[trait] {
		r.previous, r.current, r.since = r.current, map[state.Trait]bool{}, now
	}
	r.current[trait] = true
}

func (r *recentTraits) has(now time.Duration, trait state.Trait) bool {
	r.rotate(now)
	return r.current[trait] || r.previous[trait]
}

func (r *recentTraits) rotate(now time.Duration) {
	switch age := now - r.since; {
	case r.current == nil || age >= 2*startMemory:
		r.previous, r.current, r.since = nil, map[state.Trait]bool{}, now
	case age >= startMemory:
		r.previous, r.current, r.since = r.current, map[state.Trait]bool{}, now
	}
}
