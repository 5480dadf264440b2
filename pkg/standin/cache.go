package standin

import (
	"container/list"
	"net/http"
	"strconv"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/target"
)

const (
	// cachedPrefixes is the memory for prefixes; keptEvents that for events.
	// Events beyond it are lost, which readers see as a gap.
	cachedPrefixes = 256
	keptEvents     = 1024
)

// cache is a prefix cache that evicts what was used least recently.
type cache struct {
	order *list.List
	byKey map[uint64]*list.Element
	// events are the last ones; first is the number of the oldest.
	events []cacheEvent
	first  uint64
}

type cacheEvent struct {
	hash    uint64
	evicted bool
	at      time.Time
}

func (c *cache) use(hashes []uint64, now time.Time) {
	if c.order == nil {
		c.order, c.byKey = list.New(), map[uint64]*list.Element{}
	}
	for _, h := range hashes {
		if el := c.byKey[h]; el != nil {
			c.order.MoveToFront(el)
			continue
		}
		c.byKey[h] = c.order.PushFront(h)
		c.add(cacheEvent{hash: h, at: now})
		if c.order.Len() > cachedPrefixes {
			oldest := c.order.Remove(c.order.Back()).(uint64)
			delete(c.byKey, oldest)
			c.add(cacheEvent{hash: oldest, evicted: true, at: now})
		}
	}
}

func (c *cache) add(ev cacheEvent) {
	c.events = append(c.events, ev)
	if over := len(c.events) - keptEvents; over > 0 {
		c.events = c.events[over:]
		c.first += uint64(over)
	}
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		http.Error(w, "since is not a number", http.StatusBadRequest)
		return
	}
	visible := time.Now().Add(-e.CacheLag)
	e.mu.Lock()
	defer e.mu.Unlock()
	c := &e.cache
	from := max(since, c.first)
	res := target.CacheEvents{Incarnation: e.answer.Incarnation, From: from, Next: from}
	for i := from - c.first; i < uint64(len(c.events)); i++ {
		ev := c.events[i]
		if ev.at.After(visible) {
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
