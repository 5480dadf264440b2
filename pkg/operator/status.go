package operator

// Status is the state of the system as one entry daemon sees it. Ages are in
// milliseconds before the time of the answer; -1 means never.
type Status struct {
	// Node is the entry daemon that answers.
	Node SelfStatus `json:"node"`
	// Version is the configuration version of the node. Accepted is the latest
	// version known to be in force everywhere. DocumentVersion is the version that
	// last changed the declarations.
	Version         uint64 `json:"version"`
	Accepted        uint64 `json:"accepted"`
	DocumentVersion uint64 `json:"document_version"`
	Preset          string `json:"preset"`

	Nodes       []NodeStatus       `json:"nodes"`
	DataCentres []DataCentreStatus `json:"data_centres"`
	// DisabledTargets lists the targets that operators took out of service.
	DisabledTargets []string        `json:"targets_out"`
	Groups          []GroupStatus   `json:"groups"`
	Hosts           []HostStatus    `json:"hosts"`
	Targets         []TargetStatus  `json:"targets"`
	Accounts        []AccountStatus `json:"accounts"`
	Leases          []LeaseStatus   `json:"leases"`
	// Stranded lists the healthy hosts that belong to no serving or healthy group.
	Stranded []string `json:"stranded"`
}

// SelfStatus is the state of the answering entry daemon.
type SelfStatus struct {
	ID          string `json:"id"`
	DataCentre  string `json:"data_centre"`
	Incarnation uint64 `json:"incarnation"`
	// ConfigLoaded is set once the node has a configuration. Fresh is set while the
	// configuration is recent enough to send new work.
	ConfigLoaded bool `json:"known"`
	Fresh        bool `json:"fresh"`
	Ready        bool `json:"ready"`
	Draining     bool `json:"draining"`
	// EvidenceAgeMS is the age of the latest evidence that no newer configuration
	// version had been accepted.
	EvidenceAgeMS int64 `json:"evidence_age_ms"`
	OpenRequests  int   `json:"open_requests"`
}

// NodeStatus is a registered entry daemon as the answering one sees it. The
// answering node is in the list too and counts as linked.
type NodeStatus struct {
	ID         string `json:"id"`
	DataCentre string `json:"data_centre"`
	Address    string `json:"address"`
	// Linked is set while the answering node has a link to it.
	Linked bool `json:"linked"`
	// Version is the configuration version that the node last reported, VersionAgeMS
	// the age of that report.
	Version      uint64 `json:"version"`
	VersionAgeMS int64  `json:"version_age_ms"`
	Leaving      bool   `json:"leaving"`
}

// DataCentreStatus is a declared data centre.
type DataCentreStatus struct {
	Name     string `json:"name"`
	Region   string `json:"region,omitempty"`
	Disabled bool   `json:"out"`
	// Hosts counts the hosts there that the platform lists.
	Hosts int `json:"hosts"`
}

// GroupStatus is a declared replica group.
type GroupStatus struct {
	Name       string   `json:"name"`
	Model      string   `json:"model"`
	Version    string   `json:"version,omitempty"`
	Adapters   []string `json:"adapters,omitempty"`
	DataCentre string   `json:"data_centre"`
	Domain     string   `json:"domain,omitempty"`
	// Phase is pending, loading, serving or dissolved.
	Phase string `json:"phase"`
	// Healthy is the last report of the group's watchers: set when all members answered
	// and had loaded together. HealthyAgeMS is the age of the oldest probe behind the
	// last healthy report.
	Healthy      bool  `json:"whole"`
	HealthyAgeMS int64 `json:"whole_age_ms"`
	// Straggler is set when a member is much slower than the others.
	Straggler bool `json:"straggler"`
	// Disabled is set when the preset in force gives the group no new work.
	Disabled        bool     `json:"idle"`
	DeclaredMembers int      `json:"wanted"`
	Members         []string `json:"members"`
	DeadMembers     []string `json:"dead,omitempty"`
	FencingToken    uint64   `json:"fence"`
}

// HostStatus is the state of a host of the platform.
type HostStatus struct {
	ID         string `json:"id"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	Domain     string `json:"domain"`
	// Healthy is set while the host is listed, is not leaving and answers probes.
	Healthy bool   `json:"healthy"`
	Listed  bool   `json:"listed"`
	Leaving bool   `json:"leaving"`
	Group   string `json:"group,omitempty"`
	// Phase is the phase that the host's engine last reported.
	Phase      string `json:"phase"`
	ProbeAgeMS int64  `json:"probe_age_ms"`
}

// TargetStatus is the state of a target.
type TargetStatus struct {
	ID         string `json:"id"`
	DataCentre string `json:"data_centre"`
	// Limit bounds the requests in flight from all nodes. Share is the answering
	// node's part of it.
	Limit int `json:"limit"`
	Share int `json:"share"`
	// InFlight counts the requests of the answering node, PeersInFlight those that
	// its peers report.
	InFlight      int  `json:"in_flight"`
	PeersInFlight int  `json:"peers_in_flight"`
	Cold          bool `json:"cold"`
	Suspect       bool `json:"suspect"`
	Disabled      bool `json:"out"`
}

// AccountStatus is a client account with the limits in force.
type AccountStatus struct {
	Name          string `json:"name"`
	Weight        int    `json:"weight"`
	Concurrency   int    `json:"concurrency"`
	InFlight      int    `json:"in_flight"`
	PeersInFlight int    `json:"peers_in_flight"`
	Queued        int    `json:"queued"`
}

// LeaseStatus is the state of the placement lease of a data centre.
type LeaseStatus struct {
	DataCentre   string `json:"data_centre"`
	Holder       string `json:"holder"`
	FencingToken uint64 `json:"fence"`
	// HeldBySelf is set while the answering node holds the lease.
	HeldBySelf bool `json:"held"`
}

// NodesBehind returns the registered nodes that have not reported the given version
// or a later one.
func (s Status) NodesBehind(version uint64) []NodeStatus {
	var behind []NodeStatus
	for _, n := range s.Nodes {
		if n.Version < version {
			behind = append(behind, n)
		}
	}
	return behind
}
