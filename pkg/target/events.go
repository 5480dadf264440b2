package target

import (
	"context"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// CacheEvents answers GET /cache-events?since=N: what happened to the prefix
// cache of an engine from event From up to event Next.
type CacheEvents struct {
	Incarnation state.Incarnation `json:"incarnation"`
	// From is above the asked number when events in between were dropped.
	From    uint64   `json:"from"`
	Next    uint64   `json:"next"`
	Cached  []uint64 `json:"cached,omitempty"`
	Evicted []uint64 `json:"evicted,omitempty"`
}

// cacheEvents adds the cache events since the last report. Hints may be lost:
// an engine that does not answer leaves the report without events.
func (c *Client) cacheEvents(ctx context.Context, address string, report *state.LoadReport) {
	p := c.endpoints.get(address)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.events.incarnation != report.Answer.Incarnation {
		p.events = eventCursor{incarnation: report.Answer.Incarnation}
	}
	if p.events.none {
		return
	}
	var events CacheEvents
	path := "http://" + address + "/cache-events?since=" + strconv.FormatUint(p.events.next, 10)
	if err := c.call(ctx, probeTimeout, http.MethodGet, path, nil, &events); err != nil {
		p.events.none = errors.Is(err, errNotFound)
		return
	}
	// The first report of an incarnation starts from nothing known, which is a
	// gap for hints kept from before.
	report.CacheEventsMissed = !p.events.known || events.Incarnation != p.events.incarnation || events.From != p.events.next
	report.CachedPrefixes, report.EvictedPrefixes = events.Cached, events.Evicted
	p.events.known, p.events.next = true, events.Next
}
