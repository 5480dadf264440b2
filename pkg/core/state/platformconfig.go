package state

import "time"

// PlatformConfig is the configuration that the platform's operator writes.
type PlatformConfig struct {
	Version  uint64           `cbor:"1,keyasint"`
	Routes   []Route          `cbor:"2,keyasint,omitempty"`
	Services []ServiceProfile `cbor:"3,keyasint,omitempty"`
	Accounts []ManagedAccount `cbor:"4,keyasint,omitempty"`
	Limits   CallerLimits     `cbor:"5,keyasint"`
}

// CallerLimits bound what a caller may send.
type CallerLimits struct {
	MaxHeaderBytes int           `cbor:"1,keyasint,omitempty"`
	MaxBodyBytes   int           `cbor:"2,keyasint,omitempty"`
	HeaderTimeout  time.Duration `cbor:"3,keyasint,omitempty"`
	// IdleTimeout is how long a caller may keep a connection without use.
	IdleTimeout time.Duration `cbor:"4,keyasint,omitempty"`
}

// ManagedAccount is a client account with the keys that identify it.
type ManagedAccount struct {
	Name AccountID `cbor:"1,keyasint"`
	// KeyHashes are SHA-256 digests of the account's keys.
	KeyHashes [][32]byte `cbor:"2,keyasint,omitempty"`
	// Priority ranks the account's requests; 0 is first. Negative leaves the
	// rank to the route.
	Priority int `cbor:"3,keyasint"`
}

// RetryClass says whether a request may be sent again after it may have run.
type RetryClass uint8

// Repetition of requests.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent RetryClass = iota
	// Idempotent requests are idempotent.
	Idempotent
	// Resumable requests are streams that continue from an event.
	Resumable
)

// Route says where the requests of one host name and path prefix go.
type Route struct {
	Name       string     `cbor:"1,keyasint"`
	HostName   string     `cbor:"2,keyasint"`
	PathPrefix string     `cbor:"3,keyasint"`
	RetryClass RetryClass `cbor:"4,keyasint"`
	Stream     bool       `cbor:"5,keyasint,omitempty"`
	// Timeout is when a request must have its final answer.
	Timeout time.Duration `cbor:"6,keyasint"`
	// LatencyObjective is the time to the answer, or to the first event of a stream,
	// within which it is of full worth; Pause the longest time between events.
	LatencyObjective time.Duration `cbor:"7,keyasint"`
	MaxEventGap      time.Duration `cbor:"8,keyasint,omitempty"`
	// Priority ranks requests; 0 is first.
	Priority       int            `cbor:"9,keyasint"`
	MaxAttempts    int            `cbor:"10,keyasint"`
	AllowAnonymous bool           `cbor:"11,keyasint,omitempty"`
	TrafficSplit   []ServiceShare `cbor:"12,keyasint"`
}

// ServiceShare is a service's part of a route's requests.
type ServiceShare struct {
	Service string `cbor:"1,keyasint"`
	Weight  int    `cbor:"2,keyasint"`
}

// ServiceProfile describes a service.
type ServiceProfile struct {
	Name string `cbor:"1,keyasint"`
	// ColdRequestRate is how many requests a second a cold instance bears.
	ColdRequestRate float64 `cbor:"2,keyasint,omitempty"`
	// Engine is nil for a plain service.
	Engine *EngineProfile `cbor:"3,keyasint,omitempty"`
}

// EngineProfile gives the times of a model engine.
type EngineProfile struct {
	// Slots is the number of requests that one group runs at once.
	Slots int `cbor:"1,keyasint"`
	// KVCacheTokens is the memory of one group in tokens.
	KVCacheTokens int `cbor:"2,keyasint"`
	// StepsPerPass is the number of steps in a pass, at whose end events leave.
	StepsPerPass int `cbor:"3,keyasint"`
	// StepTime and StepPerSequence make the time of one step.
	StepTime            time.Duration `cbor:"4,keyasint"`
	StepTimePerSequence time.Duration `cbor:"5,keyasint"`
	// PrefillRate is the number of prompt tokens read in a second; Chunk the most
	// that one step reads.
	PrefillRate        float64        `cbor:"6,keyasint"`
	PrefillChunkTokens int            `cbor:"7,keyasint"`
	Models             []ModelProfile `cbor:"8,keyasint,omitempty"`
	// MaxLoadsPerSecond bounds the loads that start in a second over all hosts.
	MaxLoadsPerSecond  float64 `cbor:"9,keyasint"`
	MaxConcurrentLoads int     `cbor:"10,keyasint"`
	// MaxStagedModels is the number of staged models that a host keeps.
	MaxStagedModels int           `cbor:"11,keyasint"`
	GroupOpenTime   time.Duration `cbor:"12,keyasint"`
	// TypicalAnswerTokens is the usual length of an answer.
	TypicalAnswerTokens int `cbor:"13,keyasint,omitempty"`
}

// ModelProfile describes a model that replica groups serve.
type ModelProfile struct {
	Name string `cbor:"1,keyasint"`
	// GroupSize is the number of member hosts of a group.
	GroupSize int `cbor:"2,keyasint"`
	// InitialShare is the model's part of the work at the start.
	InitialShare float64 `cbor:"3,keyasint"`
	// TimeFactor is a factor on all times of a group.
	TimeFactor float64 `cbor:"4,keyasint"`
	// FullLoadTime brings the weights onto a host; WarmTime loads them from there.
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
