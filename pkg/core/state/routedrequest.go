package state

import "time"

// RoutedRequest is what a request says where its host name and path choose the
// route.
type RoutedRequest struct {
	HostName string
	Path     string
	// KeyHash is the digest of the key; HasKey is false without one.
	KeyHash [32]byte
	HasKey  bool
	// AttemptID is the id that the caller gave this request.
	AttemptID string
	// Model is empty for a request to a plain service.
	Model        string
	PromptTokens int
	OutputTokens int
	// OutputHint is the caller's estimate of the output in tokens; 0 is none.
	OutputHint int
	// HeaderBytes and BodyBytes are the sizes of the request.
	HeaderBytes int
	BodyBytes   int
	// LastEventID is the id of the last event that the caller has.
	LastEventID string
	// Timeout is how long the caller waits.
	Timeout time.Duration
}
