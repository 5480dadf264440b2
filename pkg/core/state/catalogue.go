package state

import "time"

// Catalogue is the configuration that the platform's operator writes.
type Catalogue struct {
	Version  uint64           `cbor:"1,keyasint"`
	Routes   []Route          `cbor:"2,keyasint,omitempty"`
	Services []ServiceProfile `cbor:"3,keyasint,omitempty"`
	Accounts []ManagedAccount `cbor:"4,keyasint,omitempty"`
	Limits   CallerLimits     `cbor:"5,keyasint"`
}

// CallerLimits bound what a caller may send.
type CallerLimits struct {
	HeaderBytes int           `cbor:"1,keyasint,omitempty"`
	BodyBytes   int           `cbor:"2,keyasint,omitempty"`
	HeaderTime  time.Duration `cbor:"3,keyasint,omitempty"`
	// IdleTime is how long a caller may keep a connection without use.
	IdleTime time.Duration `cbor:"4,keyasint,omitempty"`
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

// Repetition says whether a request may be sent again after it may have run.
type Repetition uint8

// Repetition of requests.
const (
	// RunOnce requests run at most once.
	RunOnce Repetition = iota
	// RunAgain requests are idempotent.
	RunAgain
	// RunResumed requests are streams that continue from an event.
	RunResumed
)

// Route says where the requests of one host name and path prefix go.
type Route struct {
	Name       string     `cbor:"1,keyasint"`
	HostName   string     `cbor:"2,keyasint"`
	PathPrefix string     `cbor:"3,keyasint"`
	Repetition Repetition `cbor:"4,keyasint"`
	Stream     bool       `cbor:"5,keyasint,omitempty"`
	// Timeout is when a request must have its final answer.
	Timeout time.Duration `cbor:"6,keyasint"`
	// Objective is the time to the answer, or to the first event of a stream,
	// within which it is of full worth; Pause the longest time between events.
	Objective time.Duration `cbor:"7,keyasint"`
	Pause     time.Duration `cbor:"8,keyasint,omitempty"`
	// Priority ranks requests; 0 is first.
	Priority    int            `cbor:"9,keyasint"`
	MaxAttempts int            `cbor:"10,keyasint"`
	Anonymous   bool           `cbor:"11,keyasint,omitempty"`
	Split       []ServiceShare `cbor:"12,keyasint"`
}

// ServiceShare is a service's part of a route's requests.
type ServiceShare struct {
	Service string `cbor:"1,keyasint"`
	Weight  int    `cbor:"2,keyasint"`
}

// ServiceProfile describes a service.
type ServiceProfile struct {
	Name string `cbor:"1,keyasint"`
	// ColdRate is how many requests a second a cold instance bears.
	ColdRate float64 `cbor:"2,keyasint,omitempty"`
	// Engine is nil for a plain service.
	Engine *EngineProfile `cbor:"3,keyasint,omitempty"`
}

// EngineProfile gives the times of a model engine.
type EngineProfile struct {
	// Slots is the number of requests that one group runs at once.
	Slots int `cbor:"1,keyasint"`
	// CacheTokens is the memory of one group in tokens.
	CacheTokens int `cbor:"2,keyasint"`
	// Stride is the number of steps in a pass, at whose end events leave.
	Stride int `cbor:"3,keyasint"`
	// Step and StepPerSequence make the time of one step.
	Step            time.Duration `cbor:"4,keyasint"`
	StepPerSequence time.Duration `cbor:"5,keyasint"`
	// ReadRate is the number of prompt tokens read in a second; Chunk the most
	// that one step reads.
	ReadRate float64        `cbor:"6,keyasint"`
	Chunk    int            `cbor:"7,keyasint"`
	Models   []ModelProfile `cbor:"8,keyasint,omitempty"`
	// LoadsPerSecond bounds the loads that start in a second over all hosts.
	LoadsPerSecond float64 `cbor:"9,keyasint"`
	LoadsAtOnce    int     `cbor:"10,keyasint"`
	// StagedKept is the number of staged models that a host keeps.
	StagedKept int           `cbor:"11,keyasint"`
	OpenTime   time.Duration `cbor:"12,keyasint"`
	// AnswerTokens is the usual length of an answer.
	AnswerTokens int `cbor:"13,keyasint,omitempty"`
}

// ModelProfile describes a model that replica groups serve.
type ModelProfile struct {
	Name string `cbor:"1,keyasint"`
	// Size is the number of member hosts of a group.
	Size int `cbor:"2,keyasint"`
	// Share is the model's part of the work at the start.
	Share float64 `cbor:"3,keyasint"`
	// Pace is a factor on all times of a group.
	Pace float64 `cbor:"4,keyasint"`
	// LoadTime brings the weights onto a host; WarmTime loads them from there.
	LoadTime time.Duration `cbor:"5,keyasint"`
	WarmTime time.Duration `cbor:"6,keyasint"`
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
