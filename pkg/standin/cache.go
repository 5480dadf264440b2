package standin

import (
	"container/list"
	"net/http"
	"strconv"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/target"
)

const (
	// maxCachedPrefixes is the memory for prefixes; keptEvents that for events.
	// Events beyond it are lost, which readers see as a gap.
	maxCachedPrefixes = 256
	maxCacheEvents    = 1024
)

// prefixCache is a prefix cache that evicts what was used least recently.
type prefixCache struct {
	recency *list.List
	byHash  map[uint64]*list.Element
	// events are the last ones; first is the number of the oldest.
	events      []cacheEvent
	firstNumber uint64
}

type cacheEvent struct {
	hash    uint64
	evicted bool
	at      time.Time
}

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

func (e *Engine) handleCacheEvents(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		http.Error(w, "since is not a number", http.StatusBadRequest)
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
