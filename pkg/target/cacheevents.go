package target

import (
	"context"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// CacheEvents is the answer to GET /cache-events?since=N. It lists the changes of
// the prefix cache of an engine, from event number From up to but not including
// Next.
type CacheEvents struct {
	Incarnation state.Incarnation `json:"incarnation"`
	// From is greater than the requested number if the engine no longer holds the
	// events in between.
	From    uint64   `json:"from"`
	Next    uint64   `json:"next"`
	Cached  []uint64 `json:"cached,omitempty"`
	Evicted []uint64 `json:"evicted,omitempty"`
}

// addCacheEvents adds the cache events since the last report to a load report.
// Cache events are only hints, so an error leaves the report without them.
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
	if err := c.call(ctx, c.control, probeTimeout, http.MethodGet, eventsURL, nil, &events); err != nil {
		ep.cacheCursor.unsupported = errors.Is(err, errNotFound)
		return
	}
	// The first events of an incarnation do not continue the previous ones, so
	// hints from earlier reports are no longer valid.
	report.CacheEventsMissed = !ep.cacheCursor.synced || events.Incarnation != ep.cacheCursor.incarnation || events.From != ep.cacheCursor.nextEvent
	report.CachedPrefixes, report.EvictedPrefixes = events.Cached, events.Evicted
	ep.cacheCursor.synced, ep.cacheCursor.nextEvent = true, events.Next
}
