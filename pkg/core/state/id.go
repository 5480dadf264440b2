package state

// NodeID names an entry daemon. It comes from its settings.
type NodeID string

// HostID names a host of the platform.
type HostID string

// GroupID names a declared replica group.
type GroupID string

// TargetID names a destination of requests: a replica group, or one replica of
// a plain service as "service/replica".
type TargetID string

// AccountID names a client account.
type AccountID string

// DataCentre names a data centre.
type DataCentre string

// DomainID names a fabric domain.
type DomainID string

// RequestID names one request of a caller. It is unguessable.
type RequestID string

// OpID names one write, so that its outcome can be read back after a lost
// answer.
type OpID string

// Incarnation numbers the lives of a process. It grows with each start.
type Incarnation uint64

// FencingToken is a fencing number. A write or an order with a lower number than the
// last one seen is refused.
type FencingToken uint64

// Version numbers the configuration. It only grows.
type Version uint64
