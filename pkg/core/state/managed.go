package state

import "time"

// Managed is what a node knows where the platform holds the configuration and
// lists the targets, in place of declarations and probes of this system. Each
// part is written by the system that its comment names.
type Managed struct {
	// Catalogue is the configuration in force, nil until it is known. Written by
	// the inventory system.
	Catalogue *Catalogue
	// Evacuated holds the data centres that receive no new work. Written by the
	// inventory system.
	Evacuated map[DataCentre]bool
	// Instances holds the registered processes of all services. Written by the
	// inventory system.
	Instances *Table[HostID, Instance]
	// Nodes holds the registered entry daemons, this one included. Written by
	// the inventory system.
	Nodes *Table[NodeID, RegisteredNode]
	// Lease is the row of the formation lease. Written by the inventory system.
	Lease FormationLease
	// Tables dates what is known of each table of the platform. Written by the
	// inventory system.
	Tables [tableKinds]TableView
	// Stalled holds the targets whose streams have all fallen silent, with the
	// time since when, as this node sees them. Written by the dispatch system.
	Stalled map[HostID]time.Duration
	// PeerStalled holds the same as peers have reported it, by the time of the
	// report. Written by the inventory system.
	PeerStalled map[HostID]time.Duration
	// Silent holds the targets whose streams have fallen silent at every node that
	// has some there, with the time since when. Written by the inventory system.
	Silent map[HostID]time.Duration
	// Loads holds the counts of this node per target. Written by the dispatch
	// system.
	Loads map[HostID]*TargetLoad
	// PeerLoads holds the counts of each peer. Written by the inventory system.
	PeerLoads map[NodeID][]TargetLoad
	// Changed counts changes of what the dispatch system builds its targets from.
	Changed uint64
	// Following is whether this node follows the store's tables itself. Written by
	// the inventory system.
	Following bool
	// Heard dates the last bulletin of each linked peer. Written by the inventory
	// system.
	Heard map[NodeID]time.Duration
	// TrafficSeen is set once a request has arrived. Loads of weights are priced
	// and paced from then on. Written by the dispatch system.
	TrafficSeen bool
	// Demand is the work asked for per model in engine seconds per second, of
	// this node. Written by the dispatch system.
	Demand map[string]float64
	// PeerDemand holds the same of each peer.
	PeerDemand map[NodeID]map[string]float64
}

// NewManaged returns the state of a node that knows nothing yet.
func NewManaged() *Managed {
	m := &Managed{
		Evacuated: map[DataCentre]bool{}, Instances: NewTable[HostID, Instance](),
		Nodes: NewTable[NodeID, RegisteredNode](), Stalled: map[HostID]time.Duration{},
		PeerStalled: map[HostID]time.Duration{}, Silent: map[HostID]time.Duration{}, Loads: map[HostID]*TargetLoad{},
		PeerLoads: map[NodeID][]TargetLoad{}, Heard: map[NodeID]time.Duration{},
		Demand: map[string]float64{}, PeerDemand: map[NodeID]map[string]float64{},
	}
	for i := range m.Tables {
		m.Tables[i].SeenAt, m.Tables[i].FailedAt = -1, -1
	}
	return m
}

// TableKind names a table of the platform's store.
type TableKind uint8

// Tables of the platform's store.
const (
	// OperatorTable holds the configuration and the evacuated data centres.
	OperatorTable TableKind = iota
	// InstanceTable holds the registered processes of services.
	InstanceTable
	// NodeTable is this system's own: nodes and the formation lease.
	NodeTable
	tableKinds
)

// TableView dates what a node knows of a table.
type TableView struct {
	// Revision is that of the newest change seen.
	Revision uint64
	// Known is false until the whole table was read once.
	Known bool
	// SeenAt is the send time of the last call that the store answered; FailedAt
	// that of the last call that it did not. Negative means never.
	SeenAt   time.Duration
	FailedAt time.Duration
	// RelayedAt is when a peer last passed the table on.
	RelayedAt time.Duration
}

// Age returns the age of the last answer of the store, or a negative number
// where there is none or the last call failed.
func (v *TableView) Age(now time.Duration) time.Duration {
	if v.SeenAt < 0 || v.FailedAt > v.SeenAt {
		return -1
	}
	return now - v.SeenAt
}

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

// Instance is one registered process of a service: a host that can be a member
// of replica groups, or a replica of a plain service.
type Instance struct {
	ID         HostID     `cbor:"1,keyasint"`
	Service    string     `cbor:"2,keyasint"`
	Address    string     `cbor:"3,keyasint"`
	DataCentre DataCentre `cbor:"4,keyasint"`
	Domain     DomainID   `cbor:"5,keyasint,omitempty"`
	Slots      int        `cbor:"6,keyasint,omitempty"`
	Draining   bool       `cbor:"7,keyasint,omitempty"`
	// ColdFor is for how long the instance was still cold when it wrote.
	ColdFor time.Duration `cbor:"8,keyasint,omitempty"`
	// Born tells the lives of one id apart.
	Born int64 `cbor:"9,keyasint,omitempty"`
	// Staged lists the models whose weights are on the host.
	Staged []string `cbor:"10,keyasint,omitempty"`
	// Model is the model that the host has loaded.
	Model      string     `cbor:"11,keyasint,omitempty"`
	Membership Membership `cbor:"12,keyasint"`
	Revision   uint64     `cbor:"13,keyasint"`
	// SeenAt is when this node first saw this revision. It is not passed on.
	SeenAt time.Duration `cbor:"-"`
}

// MemberPhase is the phase of a host in its replica group.
type MemberPhase uint8

// Phases of a member.
const (
	MemberNone MemberPhase = iota
	MemberJoining
	MemberReady
	// MemberOpen, MemberClosing and MemberBroken are phases of a leader.
	MemberOpen
	MemberClosing
	MemberBroken
)

// Membership is a host's place in a replica group.
type Membership struct {
	Group GroupID     `cbor:"1,keyasint,omitempty"`
	Epoch uint64      `cbor:"2,keyasint,omitempty"`
	Rank  int         `cbor:"3,keyasint,omitempty"`
	Phase MemberPhase `cbor:"4,keyasint,omitempty"`
}

// RegisteredNode is an entry daemon as it registered itself.
type RegisteredNode struct {
	Entry    NodeEntry `cbor:"1,keyasint"`
	Revision uint64    `cbor:"2,keyasint"`
}

// FormationLease is the lease under which one node gives orders to hosts.
type FormationLease struct {
	Row      LeaseRow
	Revision uint64
	// SeenAt is when this node first saw the present renewal.
	SeenAt time.Duration
}

// Keys of rows as the core knows them.
const (
	// PrefixEvacuated is that of data centres without new work.
	PrefixEvacuated = "evacuated/"
	// PrefixNode and KeyFormationLease are in this system's own table.
	PrefixNode         = "node/"
	KeyFormationLease  = "lease/formation"
	FormationLeaseName = DataCentre("formation")
)

// TargetLoad is what one node has sent to a target and what has not ended.
type TargetLoad struct {
	Target HostID `cbor:"1,keyasint"`
	// Running counts streams that have begun; Waiting requests without a first
	// event; WaitingTokens the prompt tokens of the latter.
	Running       int `cbor:"2,keyasint,omitempty"`
	Waiting       int `cbor:"3,keyasint,omitempty"`
	WaitingTokens int `cbor:"4,keyasint,omitempty"`
}

// RowsSeen is what a call to the platform's store or a peer told about a table.
// Exactly one field of each row is set besides its key.
type RowsSeen struct {
	Table TableKind `cbor:"1,keyasint"`
	// Whole is set when Rows holds the whole table.
	Whole    bool      `cbor:"2,keyasint,omitempty"`
	Rows     []SeenRow `cbor:"3,keyasint,omitempty"`
	Revision uint64    `cbor:"4,keyasint"`
	// SentAt is the time at which the call was sent.
	SentAt time.Duration `cbor:"-"`
	// Failed is set when the store did not answer.
	Failed bool `cbor:"-"`
	// Since is the revision of the table before these rows, where a peer passes
	// them on. Who holds an older one lacks rows in between.
	Since uint64 `cbor:"5,keyasint,omitempty"`
}

// SeenRow is a decoded row of a table.
type SeenRow struct {
	Key      string `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"`
	// Removed is set for a row that was dropped, and for one that names nothing
	// that can be used.
	Removed   bool            `cbor:"3,keyasint,omitempty"`
	Catalogue *Catalogue      `cbor:"4,keyasint,omitempty"`
	Evacuated DataCentre      `cbor:"5,keyasint,omitempty"`
	Instance  *Instance       `cbor:"6,keyasint,omitempty"`
	Node      *RegisteredNode `cbor:"7,keyasint,omitempty"`
	Lease     *LeaseRow       `cbor:"8,keyasint,omitempty"`
}

// Bulletin is what nodes tell each other every BulletinPeriod.
type Bulletin struct {
	// Revisions are those of the tables that the sender holds, by kind.
	Revisions []uint64 `cbor:"1,keyasint,omitempty"`
	// Alive lists the nodes that the sender hears, at times.
	Alive []NodeID `cbor:"2,keyasint,omitempty"`
	// EvidenceAge is the age of the sender's last answer of the store; negative
	// when it has none.
	EvidenceAge time.Duration `cbor:"3,keyasint"`
	Loads       []TargetLoad  `cbor:"4,keyasint,omitempty"`
	// Stalled lists the targets whose streams have all fallen silent.
	Stalled []HostID      `cbor:"5,keyasint,omitempty"`
	Demand  []ModelDemand `cbor:"6,keyasint,omitempty"`
	Traffic bool          `cbor:"7,keyasint,omitempty"`
	// InstancesAge is the age of the sender's list of instances; negative when it
	// has none.
	InstancesAge time.Duration `cbor:"9,keyasint"`
	// Total is set when the counts are those of all nodes, the receiver included,
	// and not of the sender and its leaves.
	Total bool `cbor:"8,keyasint,omitempty"`
}

// ModelDemand is the work asked for of a model in engine seconds per second.
type ModelDemand struct {
	Model string  `cbor:"1,keyasint"`
	Work  float64 `cbor:"2,keyasint"`
}

// BulletinPeriod is the period of bulletins. A target's load is at most this
// much older at a peer than at its own node.
const BulletinPeriod = 100 * time.Millisecond

// RowsRequest asks a peer for a table as it holds it.
type RowsRequest struct {
	Table TableKind `cbor:"1,keyasint"`
}

// HostOperation is what a host is told to do.
type HostOperation uint8

// Host operations.
const (
	// HostJoin makes the host a member of a replica group.
	HostJoin HostOperation = iota
	// HostOpen lets the leader of a group serve.
	HostOpen
	// HostCloseQueue lets a leader finish its work and serve no more.
	HostCloseQueue
	// HostCloseNow cuts the work of a leader off.
	HostCloseNow
	// HostLeave takes the host out of its group.
	HostLeave
	// HostStage brings the weights of a model onto the host.
	HostStage
)

// HostOrder is an order to a host. It is refused by the host if its fence is
// lower than one seen there, or if the host has begun another order since.
type HostOrder struct {
	ID        uint64
	Host      HostID
	Address   string
	Operation HostOperation
	Group     GroupID
	Epoch     uint64
	Model     string
	Members   []HostID
	Fence     Fence
	// Sequence is the number of orders that the host must have begun so far.
	Sequence uint64
}

// OrderOutcome is what is known about an order.
type OrderOutcome uint8

// Order outcomes.
const (
	// OrderBegun means that the host has begun the order.
	OrderBegun OrderOutcome = iota
	// OrderHeld means that the ordered state held already.
	OrderHeld
	// OrderConflict means that it does not fit the state of the host.
	OrderConflict
	// OrderFenced means that the host has seen a higher fence.
	OrderFenced
	// OrderInvalid means that the host knows no such order or is another one.
	OrderInvalid
	// OrderUnreached means that no connection was made: nothing was sent.
	OrderUnreached
	// OrderUnknown means that no answer came. The order may be carried out later.
	OrderUnknown
)

// HostOrderResult answers a HostOrder.
type HostOrderResult struct {
	ID      uint64
	Host    HostID
	Outcome OrderOutcome
}

// FetchHostReport asks a host how it is.
type FetchHostReport struct {
	Host    HostID
	Address string
	SentAt  time.Duration
}

// HostReport answers a FetchHostReport.
type HostReport struct {
	Host   HostID
	SentAt time.Duration
	// OK is false when no answer came. Refused is then set when the host refused
	// the connection, as one without a listener does, and Replaced when another
	// process answers at its address.
	OK       bool
	Refused  bool
	Replaced bool
	// Sequence is the number of orders that the host has begun in this life.
	Sequence   uint64
	Born       int64
	Pace       float64
	Membership Membership
}

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
	// LastEvent is the id of the last event that the caller has.
	LastEvent string
	// Deadline is how long the caller waits.
	Deadline time.Duration
}

// FollowTables says whether this node follows the store's tables itself.
type FollowTables struct {
	// On is for the configuration and the nodes, Instances for the instances.
	On        bool
	Instances bool
	// Urgent is set for the node that forms groups, which acts on each change.
	Urgent bool
}

func (FollowTables) output()    {}
func (RowsSeen) input()         {}
func (HostOrderResult) input()  {}
func (HostReport) input()       {}
func (HostOrder) output()       {}
func (FetchHostReport) output() {}
