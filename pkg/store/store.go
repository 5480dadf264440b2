// Package store provides access to the services of the platform: the table service,
// the object store and the list of hosts.
package store

import (
	"context"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// TransactionResult is the result of a table transaction.
type TransactionResult struct {
	Result state.StoreResult
	// Rows are the current rows of the condition keys after a conflict, and the
	// written rows after success.
	Rows []state.StoreRow
}

// Tables is the platform's transactional table service. An error that wraps
// ErrUnavailable means that the call had no effect; any other error leaves its
// effect unknown.
type Tables interface {
	// Transact writes all rows atomically if all conditions hold.
	Transact(ctx context.Context, tx state.Transaction) (TransactionResult, error)
	// Read returns the existing rows among the keys.
	Read(ctx context.Context, keys []string) ([]state.StoreRow, error)
	// Scan returns the rows whose keys start with prefix, in key order.
	Scan(ctx context.Context, prefix string) ([]state.StoreRow, error)
}

// Objects is the platform's object store.
type Objects interface {
	Put(ctx context.Context, key string, value []byte) error
	// Get returns nil without an error for an absent object.
	Get(ctx context.Context, key string) ([]byte, error)
}

// Hosts is the platform's list of hosts, which lags behind the real state.
type Hosts interface {
	List(ctx context.Context) ([]state.ListedHost, error)
}

// Platform combines the services of the platform that a node uses.
type Platform interface {
	Tables
	Objects
	Hosts
}
