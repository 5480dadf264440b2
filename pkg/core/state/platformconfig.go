package state

import "time"

// PlatformConfig is the configuration that the operator of the platform writes.
type PlatformConfig struct {
	Version  uint64           `cbor:"1,keyasint"`
	Routes   []Route          `cbor:"2,keyasint,omitempty"`
	Services []ServiceProfile `cbor:"3,keyasint,omitempty"`
	Accounts []ManagedAccount `cbor:"4,keyasint,omitempty"`
	Limits   CallerLimits     `cbor:"5,keyasint"`
	// HasAccounts is set if the configuration has a list of accounts, even an empty one.
	HasAccounts bool `cbor:"6,keyasint,omitempty"`
}

// RequiresKey reports whether requests need a valid key, except on anonymous routes. That
// depends on the accounts and not on their keys: without any key nobody is served. Peers of
// an earlier release do not send HasAccounts.
func (c *PlatformConfig) RequiresKey() bool { return c.HasAccounts || len(c.Accounts) > 0 }

// CallerLimits bounds the requests and connections of callers.
type CallerLimits struct {
	MaxHeaderBytes int           `cbor:"1,keyasint,omitempty"`
	MaxBodyBytes   int           `cbor:"2,keyasint,omitempty"`
	HeaderTimeout  time.Duration `cbor:"3,keyasint,omitempty"`
	// IdleTimeout is how long a caller's connection may stay unused.
	IdleTimeout time.Duration `cbor:"4,keyasint,omitempty"`
}

// ManagedAccount is a client account with the keys that identify it.
type ManagedAccount struct {
	Name AccountID `cbor:"1,keyasint"`
	// KeyHashes are the SHA-256 digests of the account's API keys.
	KeyHashes [][32]byte `cbor:"2,keyasint,omitempty"`
	// Priority ranks the account's requests; 0 is the highest. A negative value
	// selects the priority of the route.
	Priority int `cbor:"3,keyasint"`
}

// RetryClass determines whether a request may be sent again after an attempt that
// may have run it.
type RetryClass uint8

// Retry classes of routes.
const (
	// NonIdempotent requests must run at most once.
	NonIdempotent RetryClass = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Resumable requests are streams that can be continued after a given event.
	Resumable
)

// Route maps the requests of one host name and path prefix to services.
type Route struct {
	Name       string     `cbor:"1,keyasint"`
	HostName   string     `cbor:"2,keyasint"`
	PathPrefix string     `cbor:"3,keyasint"`
	RetryClass RetryClass `cbor:"4,keyasint"`
	Stream     bool       `cbor:"5,keyasint,omitempty"`
	// Timeout bounds the time from the arrival of a request to its final answer.
	Timeout time.Duration `cbor:"6,keyasint"`
	// LatencyObjective is the target for the time to the answer, or to the first
	// event of a stream. MaxEventGap is the longest time allowed between events.
	LatencyObjective time.Duration `cbor:"7,keyasint"`
	MaxEventGap      time.Duration `cbor:"8,keyasint,omitempty"`
	// Priority ranks requests; 0 is the highest.
	Priority       int            `cbor:"9,keyasint"`
	MaxAttempts    int            `cbor:"10,keyasint"`
	AllowAnonymous bool           `cbor:"11,keyasint,omitempty"`
	TrafficSplit   []ServiceShare `cbor:"12,keyasint"`
}

// ServiceShare is the weight of a service in the traffic split of a route.
type ServiceShare struct {
	Service string `cbor:"1,keyasint"`
	Weight  int    `cbor:"2,keyasint"`
}

// ServiceProfile describes a service.
type ServiceProfile struct {
	Name string `cbor:"1,keyasint"`
	// ColdRequestRate is the capacity of a cold instance in requests per second.
	ColdRequestRate float64 `cbor:"2,keyasint,omitempty"`
	// Engine is nil for a plain service.
	Engine *EngineProfile `cbor:"3,keyasint,omitempty"`
}

// EngineProfile describes the capacity and the timing of a model engine.
type EngineProfile struct {
	// Slots is the number of requests that one group runs concurrently.
	Slots int `cbor:"1,keyasint"`
	// KVCacheTokens is the KV cache capacity of one group in tokens.
	KVCacheTokens int `cbor:"2,keyasint"`
	// StepsPerPass is the number of steps in a pass. Events are sent at the end of
	// a pass.
	StepsPerPass int `cbor:"3,keyasint"`
	// The time of one step is StepTime plus StepTimePerSequence for each running
	// sequence.
	StepTime            time.Duration `cbor:"4,keyasint"`
	StepTimePerSequence time.Duration `cbor:"5,keyasint"`
	// PrefillRate is the number of prompt tokens read per second;
	// PrefillChunkTokens is the most that one step reads.
	PrefillRate        float64        `cbor:"6,keyasint"`
	PrefillChunkTokens int            `cbor:"7,keyasint"`
	Models             []ModelProfile `cbor:"8,keyasint,omitempty"`
	// MaxLoadsPerSecond bounds the model loads that start per second over all hosts;
	// MaxConcurrentLoads bounds those in progress.
	MaxLoadsPerSecond  float64 `cbor:"9,keyasint"`
	MaxConcurrentLoads int     `cbor:"10,keyasint"`
	// MaxStagedModels is the number of staged models that a host keeps.
	MaxStagedModels int           `cbor:"11,keyasint"`
	GroupOpenTime   time.Duration `cbor:"12,keyasint"`
	// TypicalAnswerTokens is the usual length of an answer in tokens.
	TypicalAnswerTokens int `cbor:"13,keyasint,omitempty"`
}

// ModelProfile describes a model that replica groups serve.
type ModelProfile struct {
	Name string `cbor:"1,keyasint"`
	// GroupSize is the number of member hosts of a group.
	GroupSize int `cbor:"2,keyasint"`
	// InitialShare is the model's share of the work before any demand is measured.
	InitialShare float64 `cbor:"3,keyasint"`
	// TimeFactor scales the step and prefill times of a group.
	TimeFactor float64 `cbor:"4,keyasint"`
	// FullLoadTime is the time to load weights that are not on the host;
	// StagedLoadTime is the time to load weights that are staged there.
	FullLoadTime   time.Duration `cbor:"5,keyasint"`
	StagedLoadTime time.Duration `cbor:"6,keyasint"`
}

// Model returns the profile of a model, or nil.
func (e *EngineProfile) Model(name string) *ModelProfile {
	for i := range e.Models {
		if e.Models[i].Name == name {
			return &e.Models[i]
		}
	}
	return nil
}
