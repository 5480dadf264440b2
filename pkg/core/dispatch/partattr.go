package dispatch

import (
	"log/slog"
	"strconv"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// maxLoggedParts bounds the parts of a prompt in one event.
const maxLoggedParts = 64

// fingerprint returns the number that the repetitions of a request have in common.
func fingerprint(req *state.Request) string {
	for _, trait := range req.Traits {
		if trait.Kind == state.RequestTrait {
			return trait.String()
		}
	}
	return ""
}

// appendParts adds the shared parts of the prompt to the attributes of a failed attempt
// whose connection was lost after the head of its answer and before its first event.
func appendParts(attrs []slog.Attr, routed *state.RoutedRequest, ev state.AttemptEvent) []slog.Attr {
	if len(routed.PromptParts) == 0 || !ev.LostBeforeFirstEvent() {
		return attrs
	}
	logged := routed.PromptParts[:min(len(routed.PromptParts), maxLoggedParts)]
	// A part has at most 16 digits.
	text := make([]byte, 0, 17*len(logged))
	for i, part := range logged {
		if i > 0 {
			text = append(text, ',')
		}
		text = strconv.AppendUint(text, uint64(part), 16)
	}
	return append(attrs, slog.String("parts", string(text)), slog.Int("part_count", len(routed.PromptParts)))
}
