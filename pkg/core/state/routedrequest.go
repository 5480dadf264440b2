package state

import "time"

// PromptPartID identifies a part of prompts.
type PromptPartID uint64

// RoutedRequest holds the fields of a request whose route is selected by host name
// and path.
type RoutedRequest struct {
	HostName string
	Path     string
	// KeyHash is the SHA-256 digest of the API key; HasKey is false without a key.
	KeyHash [32]byte
	HasKey  bool
	// AttemptID is the caller's ID of this request.
	AttemptID string
	// Model is empty for a request to a plain service.
	Model        string
	PromptTokens int
	OutputTokens int
	// OutputHint is the caller's estimate of the output in tokens; 0 means none.
	OutputHint int
	// PromptParts are the parts of the prompt that other requests may share, in
	// their order. The part of the request itself is not among them.
	PromptParts []PromptPartID
	// PrefixTokens are the sizes of the first of PromptParts in tokens. They end before
	// the first malformed entry, after which no part has a known position in the prompt.
	PrefixTokens []int
	// Fingerprint is the same for repetitions of the request.
	Fingerprint Fingerprint
	// HeaderBytes and BodyBytes are the sizes of the request's header and body.
	HeaderBytes int
	BodyBytes   int
	// LastEventID is the ID of the last event that the caller received.
	LastEventID string
	// Timeout is how long the caller waits for the answer.
	Timeout time.Duration
}
