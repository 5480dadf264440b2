package state

// NodeID identifies an entry daemon. It is set in the daemon's settings.
type NodeID string

// HostID identifies a host of the platform.
type HostID string

// GroupID identifies a replica group.
type GroupID string

// TargetID identifies a destination of requests: a replica group, or one replica
// of a plain service as "service/replica".
type TargetID string

// AccountID identifies a client account.
type AccountID string

// DataCentre is the name of a data centre.
type DataCentre string

// DomainID identifies a fabric domain, a set of hosts with a fast network between
// them.
type DomainID string

// RequestID identifies one request of a caller. It is unguessable.
type RequestID string

// OpID identifies one write, so that its outcome can be read back from the store
// after a lost answer.
type OpID string

// Incarnation is a process generation number that grows with each start.
type Incarnation uint64

// FencingToken is a number that grows with each change of an assignment or a lease.
// Writes and orders with a lower token than the highest one seen are refused.
type FencingToken uint64

// Version is the version of the configuration. It only grows.
type Version uint64
