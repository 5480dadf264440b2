// Package memory implements the platform's services in memory, for tests, stand-ins
// and the development mode.
package memory

import (
	"context"
	"slices"
	"sort"
	"strings"
	"sync"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/store"
)

// Store is an in-memory table service, object store and list of hosts. It is safe
// for concurrent use.
type Store struct {
	mu       sync.Mutex
	revision uint64
	rows     map[string]state.StoreRow
	objects  map[string][]byte
	hosts    []state.ListedHost
}

var _ store.Platform = (*Store)(nil)

// New returns an empty store.
func New() *Store {
	return &Store{rows: map[string]state.StoreRow{}, objects: map[string][]byte{}}
}

// SetHosts replaces the list of hosts.
func (s *Store) SetHosts(hosts []state.ListedHost) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = slices.Clone(hosts)
}

// Transact implements store.Tables.
func (s *Store) Transact(_ context.Context, tx state.Transaction) (store.TransactionResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if conflict := s.hasConflict(tx.Conditions); conflict {
		return store.TransactionResult{Result: state.StoreConflict, Rows: s.conditionRows(tx.Conditions)}, nil
	}
	written := make([]state.StoreRow, 0, len(tx.Writes))
	for _, w := range tx.Writes {
		s.revision++
		if w.Value == nil {
			delete(s.rows, w.Key)
			continue
		}
		row := state.StoreRow{Key: w.Key, Revision: s.revision, Value: slices.Clone(w.Value)}
		s.rows[w.Key] = row
		written = append(written, row)
	}
	return store.TransactionResult{Result: state.StoreOK, Rows: written}, nil
}

func (s *Store) hasConflict(conditions []state.Condition) bool {
	for _, c := range conditions {
		if s.rows[c.Key].Revision != c.Revision {
			return true
		}
	}
	return false
}

func (s *Store) conditionRows(conditions []state.Condition) []state.StoreRow {
	var rows []state.StoreRow
	for _, c := range conditions {
		if row, ok := s.rows[c.Key]; ok {
			rows = append(rows, row)
		}
	}
	return rows
}

// Read implements store.Tables.
func (s *Store) Read(_ context.Context, keys []string) ([]state.StoreRow, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []state.StoreRow
	for _, k := range keys {
		if row, ok := s.rows[k]; ok {
			rows = append(rows, row)
		}
	}
	return rows, nil
}

// Scan implements store.Tables.
func (s *Store) Scan(_ context.Context, prefix string) ([]state.StoreRow, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []state.StoreRow
	for k, row := range s.rows {
		if strings.HasPrefix(k, prefix) {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows, nil
}

// Put implements store.Objects.
func (s *Store) Put(_ context.Context, key string, value []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects[key] = slices.Clone(value)
	return nil
}

// Get implements store.Objects.
func (s *Store) Get(_ context.Context, key string) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.objects[key]), nil
}

// List implements store.Hosts.
func (s *Store) List(context.Context) ([]state.ListedHost, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.hosts), nil
}
