// Package table defines the interface of the platform's transactional table
// service.
//
// All state that must survive restarts or be agreed on between processes is stored
// in rows of this table. A row has a key, a value (JSON by convention) and a version
// that the store sets at each write. No two writes of a key get the same version.
//
// # Usage
//
// Read the rows that a decision depends on, then commit the writes on condition
// that those rows still have the versions that were read:
//
//	rows, err := store.Get(ctx, "pool/host-7")
//	err = store.Commit(ctx, table.Txn{
//		Conditions: []table.Condition{{Key: "pool/host-7", Version: rows[0].Version}},
//		Writes:     []table.Write{{Key: "pool/host-7", Value: next}},
//	})
//	switch {
//	case table.IsConflict(err): // a row has changed: read again
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

// ErrUnavailable means that the store did not execute the call: nothing was written.
var ErrUnavailable = errors.New("table is unavailable")

// ErrUnknown means that the answer was lost: the writes may have taken effect.
var ErrUnknown = errors.New("table answer was lost")

// ErrRefused means that the store does not take the transaction, however often it is tried: a
// row or the transaction is too large, or a key is not valid. Nothing was written.
var ErrRefused = errors.New("table does not take the transaction")

// Row is a row as read. A row that does not exist has version Absent and no value.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"version"`
}

// Condition holds if the row has version Version; Absent requires that the row does
// not exist.
type Condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Write sets the row's value, or deletes the row.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Txn is a transaction: its writes are applied atomically if all conditions hold.
type Txn struct {
	Conditions []Condition `json:"conditions,omitempty"`
	Writes     []Write     `json:"writes,omitempty"`
}

// Store is the table service. Get returns one row for each key, in the order of the
// keys; Scan returns the rows whose keys start with prefix, in key order. Both read
// a consistent snapshot. Errors: ErrUnavailable, ErrUnknown (Commit only), ErrRefused (Commit
// only), *ConflictError (Commit only).
type Store interface {
	Get(ctx context.Context, keys ...string) ([]Row, error)
	Scan(ctx context.Context, prefix string) ([]Row, error)
	Commit(ctx context.Context, txn Txn) error
}

// ConflictError reports the first condition that did not hold. Nothing was written.
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

// ErrHistoryLost means that the store no longer has the changes since a version:
// scan the rows again.
var ErrHistoryLost = errors.New("table no longer has the changes since the requested version")

// Change is a write or the removal of a row.
type Change struct {
	Row     Row
	Removed bool
}
