package revision

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/table"
)

const (
	// maxStoredOperations bounds the operation IDs in their row.
	maxStoredOperations = 256
	// maxCommitAttempts bounds the attempts of a transaction.
	maxCommitAttempts = 16
)

// ErrContended means that other commits came first in every attempt.
var ErrContended = errors.New("configuration changes too quickly")

// ErrFenced means that a guard condition did not hold: the committing process
// is no longer a member of the roster.
var ErrFenced = errors.New("this manager is no longer a member of the roster")

// StaleRevisionError means that the expected revision was not the newest one.
// Nothing was written.
type StaleRevisionError struct {
	Expected, Found uint64
}

// Error implements error.
func (e *StaleRevisionError) Error() string {
	return fmt.Sprintf("configuration is at revision %d, not at %d", e.Found, e.Expected)
}

// ReusedError means that an operation ID was used before for another change.
type ReusedError struct {
	ID       string
	Revision uint64
}

// Error implements error.
func (e *ReusedError) Error() string {
	return fmt.Sprintf("operation %q was used for another change, at revision %d", e.ID, e.Revision)
}

// Operation identifies a change, so that it can be repeated after a lost reply.
type Operation struct {
	// ID is chosen by the operator. Without one, the outcome can't be resolved
	// after a lost reply.
	ID string
	// Digest identifies the change itself. A repeated operation must have the
	// same digest.
	Digest string
	// Expected is the revision that the operator's change is based on, or nil
	// for any.
	Expected *uint64
	// Guard holds further conditions of the commit: the roster row of the
	// committing manager, so that a manager declared gone can't commit.
	Guard []table.Condition
}

// Edit returns the desired state. It must not change the maps of current, and
// must be deterministic.
type Edit func(current State) (State, error)

// head is the value of the head row, which every process polls. The operations
// are in a row of their own to keep the head small.
type head struct {
	Revision uint64 `json:"revision"`
	version  uint64
}

func decodeHead(row table.Row) (head, error) {
	h := head{version: row.Version}
	return h, decodeRow(row, &h)
}

func decodeRow(row table.Row, into any) error {
	if row.Version == table.Absent {
		return nil
	}
	if err := json.Unmarshal(row.Value, into); err != nil {
		return fmt.Errorf("row %q is malformed: %w", row.Key, err)
	}
	return nil
}

// operationHistory is the value of the operations' row, the newest first.
type operationHistory []completedOperation

type completedOperation struct {
	ID       string `json:"id"`
	Digest   string `json:"digest,omitempty"`
	Revision uint64 `json:"revision"`
}

// find returns the completed operation with the ID of op, if there is one.
func (h operationHistory) find(op Operation) (completedOperation, bool) {
	for _, completed := range h {
		if op.ID != "" && completed.ID == op.ID {
			return completed, true
		}
	}
	return completedOperation{}, false
}

// with returns the history with the operation added.
func (h operationHistory) with(op Operation, revision uint64) operationHistory {
	if op.ID == "" {
		return h
	}
	next := append(operationHistory{{ID: op.ID, Digest: op.Digest, Revision: revision}}, h...)
	return next[:min(len(next), maxStoredOperations)]
}

// Head returns the newest committed revision.
func Head(ctx context.Context, store table.Store) (uint64, error) {
	rows, err := store.Get(ctx, headKey)
	if err != nil {
		return 0, err
	}
	h, err := decodeHead(rows[0])
	return h.Revision, err
}

// Load reads the newest state by one consistent scan.
func Load(ctx context.Context, store table.Store) (State, error) {
	config, err := load(ctx, store)
	return config.state, err
}

// storedConfig holds all rows below Prefix.
type storedConfig struct {
	state   State
	head    head
	history operationHistory
}

func load(ctx context.Context, store table.Store) (storedConfig, error) {
	rows, err := store.Scan(ctx, Prefix)
	if err != nil {
		return storedConfig{}, err
	}
	config := storedConfig{state: Empty()}
	var writes []table.Write
	for _, row := range rows {
		switch row.Key {
		case headKey:
			config.head, err = decodeHead(row)
		case operationsKey:
			err = decodeRow(row, &config.history)
		default:
			writes = append(writes, table.Write{Key: row.Key, Value: row.Value})
		}
		if err != nil {
			return storedConfig{}, err
		}
	}
	if err := config.state.applyRows(writes); err != nil {
		return storedConfig{}, err
	}
	config.state.Revision = config.head.Revision
	return config, nil
}

// Transaction commits one change. A repeated operation returns an Empty change
// with the revision of its first commit. Errors are *StaleRevisionError,
// *ReusedError, ErrContended, ErrFenced, and those of the edit and the store.
// If table.IsUnknown holds, the change may have taken effect and the same
// operation should be repeated.
func Transaction(ctx context.Context, store table.Store, op Operation, edit Edit) (Change, error) {
	outcomeUnknown := false
	for range maxCommitAttempts {
		change, err := attempt(ctx, store, op, edit)
		switch {
		case err == nil:
			return change, nil
		case table.IsUnknown(err) && op.ID == "":
			return Change{}, err
		case table.IsUnknown(err):
			// The next attempt finds the operation in its row, or commits
			// on the head's version, so that the lost commit can't succeed
			// later.
			outcomeUnknown = true
		case isGuardConflict(err, op.Guard):
			return Change{}, errors.Wrap(ErrFenced, err.Error())
		case table.IsConflict(err):
		case outcomeUnknown && isStoreError(err):
			return Change{}, errors.Wrap(table.ErrUnknown, err.Error())
		default:
			return Change{}, err
		}
		if err := ctx.Err(); err != nil {
			return Change{}, outcomeError(outcomeUnknown, err)
		}
	}
	return Change{}, outcomeError(outcomeUnknown, ErrContended)
}

// outcomeError marks err as an unknown outcome if an earlier commit of the
// transaction may have taken effect.
func outcomeError(outcomeUnknown bool, err error) error {
	if outcomeUnknown {
		return errors.Wrap(table.ErrUnknown, err.Error())
	}
	return err
}

// isStoreError reports whether err leaves the outcome of an earlier commit
// unknown. *StaleRevisionError and *ReusedError do not: the operation history was
// read before them and lacks the commit.
func isStoreError(err error) bool {
	var stale *StaleRevisionError
	var reused *ReusedError
	return !errors.As(err, &stale) && !errors.As(err, &reused)
}

func isGuardConflict(err error, guard []table.Condition) bool {
	var conflict *table.ConflictError
	if !errors.As(err, &conflict) {
		return false
	}
	for _, cond := range guard {
		if cond.Key == conflict.Key {
			return true
		}
	}
	return false
}

func attempt(ctx context.Context, store table.Store, op Operation, edit Edit) (Change, error) {
	config, err := load(ctx, store)
	if err != nil {
		return Change{}, err
	}
	if completed, repeated := config.history.find(op); repeated {
		return repeatedResult(op, completed)
	}
	state := config.state
	if op.Expected != nil && *op.Expected != state.Revision {
		return Change{}, &StaleRevisionError{Expected: *op.Expected, Found: state.Revision}
	}
	desired, err := edit(state)
	if err != nil {
		return Change{}, err
	}
	change, err := diff(state, desired)
	if err != nil || change.Empty() {
		return change, err
	}
	writes, err := metadataWrites(change.Revision, config.history.with(op, change.Revision))
	if err != nil {
		return Change{}, err
	}
	return change, store.Commit(ctx, table.Txn{
		Conditions: append([]table.Condition{{Key: headKey, Version: config.head.version}}, op.Guard...),
		Writes:     append(writes, change.Rows...),
	})
}

// metadataWrites returns the writes of the head row and the operations' row.
func metadataWrites(revision uint64, history operationHistory) ([]table.Write, error) {
	headValue, err := json.Marshal(head{Revision: revision})
	if err != nil {
		return nil, err
	}
	historyValue, err := json.Marshal(history)
	if err != nil {
		return nil, err
	}
	return []table.Write{{Key: headKey, Value: headValue}, {Key: operationsKey, Value: historyValue}}, nil
}

func repeatedResult(op Operation, completed completedOperation) (Change, error) {
	if completed.Digest != op.Digest {
		return Change{}, &ReusedError{ID: op.ID, Revision: completed.Revision}
	}
	return Change{Base: completed.Revision, Revision: completed.Revision}, nil
}

// Resolve returns the newest revision after ensuring that no commit sent before
// can still take effect: it rewrites the head row, on whose version every
// commit is conditional. A manager calls it after a Transaction whose outcome
// is unknown.
func Resolve(ctx context.Context, store table.Store) (uint64, error) {
	rows, err := store.Get(ctx, headKey)
	if err != nil {
		return 0, err
	}
	h, err := decodeHead(rows[0])
	if err != nil {
		return 0, err
	}
	value, err := json.Marshal(h)
	if err != nil {
		return 0, err
	}
	err = store.Commit(ctx, table.Txn{
		Conditions: []table.Condition{{Key: headKey, Version: h.version}},
		Writes:     []table.Write{{Key: headKey, Value: value}},
	})
	return h.Revision, err
}
