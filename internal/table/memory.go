package table

import (
	"context"
	"sort"
	"strings"
	"sync"
)

// Faults selects the faults that a Memory injects.
type Faults struct {
	// Down makes every call fail with ErrUnavailable.
	Down bool
	// LoseAnswers makes Commit apply the transaction and then return ErrUnknown.
	LoseAnswers bool
}

// Memory is an in-memory Store for the platform stand-in and for tests.
type Memory struct {
	mu      sync.Mutex
	rows    map[string]Row
	version uint64
	faults  Faults
}

// NewMemory returns an empty store without faults.
func NewMemory() *Memory {
	return &Memory{rows: make(map[string]Row)}
}

// SetFaults replaces the injected faults.
func (m *Memory) SetFaults(faults Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = faults
}

// Get implements Store.
func (m *Memory) Get(_ context.Context, keys ...string) ([]Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.faults.Down {
		return nil, ErrUnavailable
	}
	rows := make([]Row, len(keys))
	for i, key := range keys {
		rows[i] = m.row(key)
	}
	return rows, nil
}

// Scan implements Store.
func (m *Memory) Scan(_ context.Context, prefix string) ([]Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.faults.Down {
		return nil, ErrUnavailable
	}
	var rows []Row
	for key, row := range m.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows, nil
}

// Commit implements Store.
func (m *Memory) Commit(_ context.Context, txn Txn) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.faults.Down {
		return ErrUnavailable
	}
	for _, cond := range txn.Conditions {
		if got := m.row(cond.Key).Version; got != cond.Version {
			return &ConflictError{Key: cond.Key, Want: cond.Version, Got: got}
		}
	}
	m.version++
	for _, write := range txn.Writes {
		if write.Delete {
			delete(m.rows, write.Key)
			continue
		}
		m.rows[write.Key] = Row{Key: write.Key, Value: write.Value, Version: m.version}
	}
	if m.faults.LoseAnswers {
		return ErrUnknown
	}
	return nil
}

// row returns the row of key. The caller holds m.mu.
func (m *Memory) row(key string) Row {
	if row, ok := m.rows[key]; ok {
		return row
	}
	return Row{Key: key}
}
