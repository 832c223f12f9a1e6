// Package table is the port to the platform's transactional table service.
//
// Everything that must last or be agreed between processes is a row of this
// table. A row has a key, a value (JSON by convention) and a version that the
// store sets at each write; a version is never used twice for the same key.
//
// # Usage
//
// Read the rows a decision rests on, then commit the writes on condition that
// those rows still have the versions that were read:
//
//	rows, err := store.Get(ctx, "pool/host-7")
//	err = store.Commit(ctx, table.Txn{
//		Conditions: []table.Condition{{Key: "pool/host-7", Version: rows[0].Version}},
//		Writes:     []table.Write{{Key: "pool/host-7", Value: next}},
//	})
//	switch {
//	case table.IsConflict(err): // another writer came first: read again
//	case table.IsUnknown(err):  // may have taken effect: read to find out
//	case err != nil:            // did not take effect
//	}
package table

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"
)

// Absent is the version of a key that has no row.
const Absent uint64 = 0

// ErrUnavailable means that the store did not take the call: nothing was written.
var ErrUnavailable = errors.New("table is unavailable")

// ErrUnknown means that the answer was lost: the writes may have taken effect.
var ErrUnknown = errors.New("table answer was lost")

// Row is one row as read. A missing row has version Absent and no value.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"version"`
}

// Condition holds when the row's version is Version; Absent means no row.
type Condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Write replaces the row's value, or removes the row.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Txn is applied whole or not at all.
type Txn struct {
	Conditions []Condition `json:"conditions,omitempty"`
	Writes     []Write     `json:"writes,omitempty"`
}

// Store is the table service. Get returns one row for each key, in order;
// Scan returns the rows whose keys start with prefix, in key order. Both see
// one consistent state. Errors: ErrUnavailable, ErrUnknown (Commit only),
// *ConflictError (Commit only).
type Store interface {
	Get(ctx context.Context, keys ...string) ([]Row, error)
	Scan(ctx context.Context, prefix string) ([]Row, error)
	Commit(ctx context.Context, txn Txn) error
}

// ConflictError names the first condition that did not hold. Nothing was written.
type ConflictError struct {
	Key  string
	Want uint64
	Got  uint64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("row %q is at version %d, not %d", e.Key, e.Got, e.Want)
}

// IsConflict reports whether a condition of the transaction did not hold.
func IsConflict(err error) bool {
	var conflict *ConflictError
	return errors.As(err, &conflict)
}

// IsUnknown reports whether the transaction may have taken effect.
func IsUnknown(err error) bool {
	return errors.Is(err, ErrUnknown)
}

// ErrHistoryLost means that the changes since a version are no longer known:
// read the rows anew.
var ErrHistoryLost = errors.New("table no longer has these changes")

// Change is a row that was written, or removed.
type Change struct {
	Row     Row
	Removed bool
}
