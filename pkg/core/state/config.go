package state

import "time"

// Head is the configuration in force at one version, stored in table row
// "config/head".
type Head struct {
	Version Version `cbor:"1,keyasint"`
	// Op identifies the write that created this version.
	Op OpID `cbor:"2,keyasint"`
	// Preset is the name of the preset in force.
	Preset string `cbor:"3,keyasint"`
	// DisabledDataCentres and DisabledTargets receive no new work. Both are sorted.
	DisabledDataCentres []DataCentre `cbor:"4,keyasint,omitempty"`
	DisabledTargets     []TargetID   `cbor:"5,keyasint,omitempty"`
	// Nodes is the registry of entry daemons, sorted by id.
	Nodes []NodeEntry `cbor:"6,keyasint,omitempty"`
	// DocumentVersion is the version at which the document last changed. The
	// document is stored in table row "config/doc/<version>".
	DocumentVersion Version `cbor:"7,keyasint"`
	// AddedNode and RemovedNode are the node that this version added to the registry
	// and the one that it removed. Together with Nodes they give the registry of the
	// previous version, which the acceptance of this version needs.
	AddedNode   NodeID     `cbor:"8,keyasint,omitempty"`
	RemovedNode *NodeEntry `cbor:"9,keyasint,omitempty"`
	// RemovedByOperator is set when an operator declared RemovedNode permanently
	// gone. Acceptance does not wait for such a node, which answers no messages.
	RemovedByOperator bool `cbor:"10,keyasint,omitempty"`
	// OperatorVersion is the version of the last change by an operator. Registry
	// changes do not update it.
	OperatorVersion Version `cbor:"11,keyasint,omitempty"`
}

// NodeEntry is one registered entry daemon.
type NodeEntry struct {
	ID          NodeID      `cbor:"1,keyasint"`
	DataCentre  DataCentre  `cbor:"2,keyasint"`
	Address     string      `cbor:"3,keyasint"`
	Incarnation Incarnation `cbor:"4,keyasint"`
	// ProcessorShare is the part of a processor core that the process may use.
	ProcessorShare float64 `cbor:"5,keyasint,omitempty"`
}

// Document holds the declarations of the operators.
type Document struct {
	Accounts    []AccountSpec    `cbor:"1,keyasint,omitempty"`
	DataCentres []DataCentreSpec `cbor:"2,keyasint,omitempty"`
	Models      []ModelSpec      `cbor:"3,keyasint,omitempty"`
	Groups      []GroupSpec      `cbor:"4,keyasint,omitempty"`
	Services    []ServiceSpec    `cbor:"5,keyasint,omitempty"`
	Presets     []PresetSpec     `cbor:"6,keyasint,omitempty"`
}

// AccountSpec declares a client account.
type AccountSpec struct {
	Name AccountID `cbor:"1,keyasint"`
	// KeyHash is the hex SHA-256 of the account's key.
	KeyHash string `cbor:"2,keyasint"`
	// Weight is the account's share relative to other accounts; at least 1.
	Weight int `cbor:"3,keyasint"`
	// Concurrency bounds the account's requests in flight over all nodes; 0 means
	// no bound.
	Concurrency int `cbor:"4,keyasint,omitempty"`
}

// DataCentreSpec declares a data centre.
type DataCentreSpec struct {
	Name   DataCentre `cbor:"1,keyasint"`
	Region string     `cbor:"2,keyasint,omitempty"`
	// WeightStoreRate is the throughput of the weight store to this data centre in
	// bytes per second; 0 disables the pacing of loads.
	WeightStoreRate int64 `cbor:"3,keyasint,omitempty"`
}

// ModelSpec declares a model with its versions and adapters.
type ModelSpec struct {
	Name     string   `cbor:"1,keyasint"`
	Versions []string `cbor:"2,keyasint,omitempty"`
	Adapters []string `cbor:"3,keyasint,omitempty"`
	// WeightBytes is the size of the weights that each member loads.
	WeightBytes int64 `cbor:"4,keyasint,omitempty"`
}

// GroupSpec declares a replica group.
type GroupSpec struct {
	Name       GroupID    `cbor:"1,keyasint"`
	Model      string     `cbor:"2,keyasint"`
	Version    string     `cbor:"3,keyasint,omitempty"`
	Adapters   []string   `cbor:"4,keyasint,omitempty"`
	Members    int        `cbor:"5,keyasint"`
	DataCentre DataCentre `cbor:"6,keyasint"`
	// ColdLimit and WarmLimit bound the requests in flight over all nodes while the
	// group is cold or warm.
	ColdLimit int `cbor:"7,keyasint"`
	WarmLimit int `cbor:"8,keyasint"`
	// Role is "serve" (default), "prefill" or "decode".
	Role string `cbor:"9,keyasint,omitempty"`
}

// ServiceSpec declares a plain service.
type ServiceSpec struct {
	Name             string            `cbor:"1,keyasint"`
	Replicas         []ServiceReplica  `cbor:"2,keyasint,omitempty"`
	AtMostOnceRoutes []ServiceRoute    `cbor:"3,keyasint,omitempty"`
	LookupPath       string            `cbor:"4,keyasint,omitempty"`
	ColdLimit        int               `cbor:"5,keyasint"`
	WarmLimit        int               `cbor:"6,keyasint"`
	Labels           map[string]string `cbor:"7,keyasint,omitempty"`
}

// ServiceReplica is one replica of a plain service.
type ServiceReplica struct {
	Name       string     `cbor:"1,keyasint"`
	Address    string     `cbor:"2,keyasint"`
	DataCentre DataCentre `cbor:"3,keyasint"`
}

// ServiceRoute names a method and a path prefix whose requests must run at most
// once.
type ServiceRoute struct {
	Method string `cbor:"1,keyasint"`
	Path   string `cbor:"2,keyasint"`
}

// PresetSpec declares a preset. Unset fields leave the declared values in force.
type PresetSpec struct {
	Name string `cbor:"1,keyasint"`
	// Weights and Concurrency override those of accounts, sorted by account.
	Weights     []AccountValue `cbor:"2,keyasint,omitempty"`
	Concurrency []AccountValue `cbor:"3,keyasint,omitempty"`
	// DisabledGroups take no new work while the preset is in force.
	DisabledGroups []GroupID `cbor:"4,keyasint,omitempty"`
	// MaxQueueTime bounds the time in the queue; 0 means the default of 30 s.
	MaxQueueTime time.Duration `cbor:"5,keyasint,omitempty"`
}

// AccountValue is a value of one account, such as a weight or a count.
type AccountValue struct {
	Account AccountID `cbor:"1,keyasint"`
	Value   int       `cbor:"2,keyasint"`
}

// AuditRecord describes one configuration change. It is written in the transaction
// of the change, in table row "audit/<version>".
type AuditRecord struct {
	Version  Version `cbor:"1,keyasint"`
	Operator string  `cbor:"2,keyasint"`
	Action   string  `cbor:"3,keyasint"`
	Before   string  `cbor:"4,keyasint"`
	After    string  `cbor:"5,keyasint"`
	// AtUnixMilli is the wall clock time of the node that received the command, in
	// milliseconds since the Unix epoch. It is 0 for registry changes, which nodes
	// make without an operator.
	AtUnixMilli int64 `cbor:"6,keyasint"`
	// Op identifies the write that made the change. After a lost answer it resolves
	// the outcome even when a later version has replaced the head.
	Op OpID `cbor:"7,keyasint,omitempty"`
}
