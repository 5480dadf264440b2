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

// addCacheEvents adds the cache events since the last report. Hints may be lost:
// an engine that does not answer leaves the report without events.
func (c *Client) addCacheEvents(ctx context.Context, address string, report *state.LoadReport) {
	ep := c.endpoints.get(address)
	ep.mu.Lock()
	defer ep.mu.Unlock()
	if ep.cacheCursor.incarnation != report.Answer.Incarnation {
		ep.cacheCursor = cacheEventCursor{incarnation: report.Answer.Incarnation}
	}
	if ep.cacheCursor.unsupported {
		return
	}
	var events CacheEvents
	eventsURL := "http://" + address + "/cache-events?since=" + strconv.FormatUint(ep.cacheCursor.nextEvent, 10)
	if err := c.call(ctx, probeTimeout, http.MethodGet, eventsURL, nil, &events); err != nil {
		ep.cacheCursor.unsupported = errors.Is(err, errNotFound)
		return
	}
	// The first report of an incarnation starts from nothing known, which is a
	// gap for hints kept from before.
	report.CacheEventsMissed = !ep.cacheCursor.synced || events.Incarnation != ep.cacheCursor.incarnation || events.From != ep.cacheCursor.nextEvent
	report.CachedPrefixes, report.EvictedPrefixes = events.Cached, events.Evicted
	ep.cacheCursor.synced, ep.cacheCursor.nextEvent = true, events.Next
}
