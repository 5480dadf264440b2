package gateway

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

const (
	maxRequestIDBytes = 64
	// maxIdempotencyKeyBytes bounds an Idempotency-Key, which becomes part of a row key.
	maxIdempotencyKeyBytes = 128
	// maxRequestTimeout is the largest X-Deadline-Ms.
	maxRequestTimeout = time.Hour
	// maxPathDecodings bounds how often isAmbiguousPath decodes a path.
	maxPathDecodings = 3
)

func invalidRequestError(code, message, param string) *apierror.Error {
	e := apierror.New(apierror.KindInvalid, code, message, apierror.NotRun)
	e.Param = param
	return e
}

// checkHeaderAndPath checks the limits that apply to every request.
func checkHeaderAndPath(r *http.Request) *apierror.Error {
	if headerSize(r.Header) > maxHeaderBytes {
		return apierror.New(apierror.KindTooLarge, "header_too_large", "the request header exceeds 16 KiB; send a smaller header", apierror.NotRun)
	}
	if isAmbiguousPath(r.URL.EscapedPath()) {
		return invalidRequestError("invalid_path", "the path has an empty, dot or encoded slash element; send a plain path", "path")
	}
	return nil
}

// headerSize returns the total size of the names and values of a header in bytes.
func headerSize(h http.Header) int {
	size := 0
	for name, values := range h {
		for _, v := range values {
			size += len(name) + len(v)
		}
	}
	return size
}

// isAmbiguousPath reports whether a path has an element that a target could resolve
// to another path, in any number of encodings: "." or "..", an empty element, a
// backslash or an encoded slash. Such a path could also bypass the at-most-once
// routes of a service.
func isAmbiguousPath(escaped string) bool {
	path := escaped
	for i := 0; ; i++ {
		if strings.Contains(path, "//") || strings.ContainsAny(path, "\\\x00") {
			return true
		}
		for element := range strings.SplitSeq(path, "/") {
			if element == "." || element == ".." {
				return true
			}
		}
		decoded, err := url.PathUnescape(path)
		if err != nil || decoded == path {
			return false
		}
		if i == maxPathDecodings || strings.Count(decoded, "/") != strings.Count(path, "/") {
			return true
		}
		path = decoded
	}
}

// requestOptions holds the values that a caller sets in the request header.
type requestOptions struct {
	id       state.RequestID
	priority state.Priority
	timeout  time.Duration
}

// parseRequestOptions reads the request options from a header and applies the
// defaults for those that are missing.
func parseRequestOptions(h http.Header) (requestOptions, *apierror.Error) {
	options := requestOptions{timeout: defaultTimeout, priority: state.PriorityNormal}
	if v := h.Get("X-Request-Id"); v != "" {
		if !isIdentifier(v, maxRequestIDBytes) {
			return options, invalidRequestError("invalid_request_id", "send an X-Request-Id of up to 64 letters, digits, '.', '_' or '-'", "X-Request-Id")
		}
		options.id = state.RequestID(v)
	} else {
		options.id = newRequestID()
	}
	if v := h.Get("X-Deadline-Ms"); v != "" {
		ms, err := strconv.ParseInt(v, 10, 64)
		if err != nil || ms < 1 || ms > maxRequestTimeout.Milliseconds() {
			return options, invalidRequestError("invalid_deadline", "send an X-Deadline-Ms from 1 to 3600000", "X-Deadline-Ms")
		}
		options.timeout = time.Duration(ms) * time.Millisecond
	}
	switch h.Get("X-Priority") {
	case "", "normal":
	case "interactive":
		options.priority = state.PriorityInteractive
	case "batch":
		options.priority = state.PriorityBatch
	default:
		return options, invalidRequestError("invalid_priority", "send an X-Priority of interactive, normal or batch", "X-Priority")
	}
	return options, nil
}

// isIdentifier reports whether s consists of 1 to limit letters, digits, '.', '_' or
// '-'.
func isIdentifier(s string, limit int) bool {
	if s == "" || len(s) > limit {
		return false
	}
	for _, c := range []byte(s) {
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9', c == '.', c == '_', c == '-':
		default:
			return false
		}
	}
	return true
}

// readIdempotencyKey returns the validated Idempotency-Key of a request.
func readIdempotencyKey(h http.Header) (string, *apierror.Error) {
	values := h.Values("Idempotency-Key")
	if len(values) == 0 || values[0] == "" {
		return "", invalidRequestError("missing_idempotency_key",
			"this request may not be repeated; send an Idempotency-Key that is new for each order", "Idempotency-Key")
	}
	key := values[0]
	if len(values) > 1 {
		return "", invalidRequestError("invalid_idempotency_key", "send one Idempotency-Key", "Idempotency-Key")
	}
	if len(key) > maxIdempotencyKeyBytes {
		return "", invalidRequestError("idempotency_key_too_long", "send an Idempotency-Key of at most 128 bytes", "Idempotency-Key")
	}
	for _, c := range []byte(key) {
		if c <= ' ' || c > '~' {
			return "", invalidRequestError("invalid_idempotency_key", "send an Idempotency-Key of visible ASCII characters", "Idempotency-Key")
		}
	}
	return key, nil
}
