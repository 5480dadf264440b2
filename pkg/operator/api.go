// Package operator implements the server and the client of an entry daemon's
// operator API.
package operator

import (
	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/declaration"
	"github.com/apricotgrade/apricotgrade/pkg/inifile"
)

// Paths of the operator API. pathOut and pathIn disable and enable a data centre
// or a target.
const (
	pathStatus       = "/operator/status"
	pathAudit        = "/operator/audit"
	pathDeclarations = "/operator/declarations"
	pathOrders       = "/operator/orders/"
	pathPlan         = "/operator/plan"
	pathApply        = "/operator/apply"
	pathPreset       = "/operator/preset"
	pathOut          = "/operator/out"
	pathIn           = "/operator/in"
	pathForget       = "/operator/forget"
	pathQuarantine   = "/operator/quarantine"
	pathLift         = "/operator/lift"
)

// maxBodyBytes bounds the body of an operator's request. Declarations of 600 groups
// take about 100 KiB.
const maxBodyBytes = 4 << 20

// ChangeRequest is the body of a request that plans or makes a change. Each
// endpoint uses only some of the fields.
type ChangeRequest struct {
	// BaseVersion is the configuration version that the change was planned against;
	// the change is refused when another version is in force. 0 allows any version.
	BaseVersion uint64 `json:"base,omitempty"`
	// Declarations is the text of the new declarations, for plan and apply.
	Declarations string `json:"declarations,omitempty"`
	// Preset is the name of the preset to put in force.
	Preset string `json:"preset,omitempty"`
	// Either DataCentre or Target is set for out and in.
	DataCentre string `json:"data_centre,omitempty"`
	Target     string `json:"target,omitempty"`
	// Node is the node that forget removes from the registry.
	Node string `json:"node,omitempty"`
	// Trait is the name of the trait whose quarantine lift ends.
	Trait string `json:"trait,omitempty"`
}

// ChangeReply is the answer to a committed change.
type ChangeReply struct {
	// Version is the configuration version that the change created.
	Version uint64 `json:"version"`
	// Accepted is set when the version is already in force everywhere.
	Accepted bool `json:"accepted"`
	// UnconfirmedNodes lists the nodes that have not reported the version yet.
	UnconfirmedNodes []string `json:"missing"`
}

// Plan lists the changes that applying declarations would make.
type Plan struct {
	// BaseVersion is the configuration version that the plan compares with.
	BaseVersion uint64              `json:"base"`
	Changes     declaration.Changes `json:"changes"`
}

// Declarations holds the declarations in force, as text.
type Declarations struct {
	Version uint64 `json:"version"`
	Text    string `json:"text"`
}

// AuditEntry records one change of the configuration.
type AuditEntry struct {
	Version  uint64 `json:"version"`
	Operator string `json:"operator"`
	Action   string `json:"action"`
	Before   string `json:"before"`
	After    string `json:"after"`
	// Time is the wall-clock time at the node that received the change, in RFC 3339.
	// It is empty for the registration of a node.
	Time string `json:"time,omitempty"`
}

// Audit holds entries of the audit trail, latest version last.
type Audit struct {
	Entries []AuditEntry `json:"entries"`
}

// Quarantines holds the traits in quarantine at the node that answers, sorted by kind and ID.
type Quarantines struct {
	Entries []Quarantine `json:"entries"`
}

// Quarantine is a trait whose requests are refused.
type Quarantine struct {
	// Trait is the name of the trait: part/ID or request/ID, with the ID in hexadecimal.
	Trait string `json:"trait"`
	// Hosts lists the hosts that ended with requests with the trait. It is empty until the
	// holder of the formation lease has stored the evidence.
	Hosts []string `json:"hosts"`
	// NextTrialMS is the time until the nodes try such a request again, in milliseconds; 0
	// means that they do so in turn.
	NextTrialMS int64 `json:"next_trial_ms"`
	// LastArrivalMS is the time since such a request last arrived at the node that answers, in
	// milliseconds; -1 means that none has.
	LastArrivalMS int64 `json:"last_arrival_ms"`
}

// RequestOutcome is the recorded outcome of a non-idempotent request.
type RequestOutcome struct {
	Account        string `json:"account"`
	IdempotencyKey string `json:"key"`
	// State is in_flight, not_run, done or unknown.
	State string `json:"state"`
	// Outcome is empty while the request is in flight.
	Outcome   apierror.Outcome `json:"outcome,omitempty"`
	Service   string           `json:"service,omitempty"`
	RequestID string           `json:"request"`
	// Node is the entry daemon that holds the claim on the idempotency key, or held it
	// when the outcome was recorded.
	Node string `json:"node"`
	// Status and Answer are the HTTP status and the body of the stored answer. They
	// are set when State is done.
	Status int    `json:"status,omitempty"`
	Answer string `json:"answer,omitempty"`
}

// ErrorBody is the body of every answer whose status is not 200.
type ErrorBody struct {
	Error *apierror.Error `json:"error"`
	// Problems lists all faults of the declarations in the request.
	Problems inifile.Problems `json:"problems,omitempty"`
}
