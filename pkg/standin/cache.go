package standin

import (
	"container/list"
	"net/http"
	"strconv"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/target"
)

const (
	// maxCachedPrefixes is the capacity of the prefix cache.
	maxCachedPrefixes = 256
	// maxCacheEvents is the number of cache events that the engine retains. It
	// drops the oldest beyond that, which readers detect as a gap in the numbers.
	maxCacheEvents = 1024
)

// prefixCache is a prefix cache that evicts the least recently used prefix.
type prefixCache struct {
	// recency lists the hashes of the cached prefixes, most recently used first.
	recency *list.List
	byHash  map[uint64]*list.Element
	// events are the latest cache events; firstNumber is the number of the oldest
	// of them.
	events      []cacheEvent
	firstNumber uint64
}

// cacheEvent records that a prefix entered the cache or was evicted from it.
type cacheEvent struct {
	hash    uint64
	evicted bool
	at      time.Time
}

// access marks prefixes as used and caches those that are missing.
func (c *prefixCache) access(hashes []uint64, now time.Time) {
	if c.recency == nil {
		c.recency, c.byHash = list.New(), map[uint64]*list.Element{}
	}
	for _, h := range hashes {
		if el := c.byHash[h]; el != nil {
			c.recency.MoveToFront(el)
			continue
		}
		c.byHash[h] = c.recency.PushFront(h)
		c.addEvent(cacheEvent{hash: h, at: now})
		if c.recency.Len() > maxCachedPrefixes {
			evicted := c.recency.Remove(c.recency.Back()).(uint64)
			delete(c.byHash, evicted)
			c.addEvent(cacheEvent{hash: evicted, evicted: true, at: now})
		}
	}
}

func (c *prefixCache) addEvent(ev cacheEvent) {
	c.events = append(c.events, ev)
	if excess := len(c.events) - maxCacheEvents; excess > 0 {
		c.events = c.events[excess:]
		c.firstNumber += uint64(excess)
	}
}

// handleCacheEvents returns the events from the number "since" on that are older
// than CacheLag.
func (e *Engine) handleCacheEvents(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		http.Error(w, "query parameter since is not an unsigned integer", http.StatusBadRequest)
		return
	}
	visibleUntil := time.Now().Add(-e.CacheLag)
	e.mu.Lock()
	defer e.mu.Unlock()
	c := &e.cache
	first := max(since, c.firstNumber)
	res := target.CacheEvents{Incarnation: e.probeAnswer.Incarnation, From: first, Next: first}
	for i := first - c.firstNumber; i < uint64(len(c.events)); i++ {
		ev := c.events[i]
		if ev.at.After(visibleUntil) {
			break
		}
		if ev.evicted {
			res.Evicted = append(res.Evicted, ev.hash)
		} else {
			res.Cached = append(res.Cached, ev.hash)
		}
		res.Next++
	}
	writeJSON(w, res)
}
