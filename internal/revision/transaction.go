package revision

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/table"
)

const (
	// rememberedOperations bounds the operation ids in their row.
	rememberedOperations = 256
	// commitAttempts bounds how often a transaction starts over.
	commitAttempts = 16
)

// ErrContended means that other operators committed first each time.
var ErrContended = errors.New("configuration changes too quickly")

// ErrFenced means that a guard condition did not hold: the committing process
// is no longer a member of the roster.
var ErrFenced = errors.New("this manager is no longer a member of the roster")

// RaceError means that the expected revision was not the newest one. Nothing
// was written.
type StaleRevisionError struct {
	Expected, Found uint64
}

// Error implements error.
func (e *StaleRevisionError) Error() string {
	return fmt.Sprintf("configuration is at revision %d, not at %d", e.Found, e.Expected)
}

// ReusedError means that an operation id was used before for another change.
type ReusedError struct {
	ID       string
	Revision uint64
}

// Error implements error.
func (e *ReusedError) Error() string {
	return fmt.Sprintf("operation %q was used for another change, at revision %d", e.ID, e.Revision)
}

// Operation identifies a change, so that it can be repeated after a lost answer.
type Operation struct {
	// ID is the operator's. Without one a lost answer cannot be settled.
	ID string
	// Digest identifies the change itself; a repeat must bring the same.
	Digest string
	// Expected is the revision that the operator saw, or nil for any.
	Expected *uint64
	// Guard must hold at the commit: the row of the committing manager in the
	// roster, so that a manager declared gone commits nothing afterwards.
	Guard []table.Condition
}

// Edit returns the desired state. It must not change the maps of current, and
// must return the same for the same input.
type Edit func(current State) (State, error)

// head is the value of the head row, which every process polls: the operations
// stand in a row of their own to keep it small.
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

// history is the value of the operations' row, the newest first.
type history []doneOperation

type doneOperation struct {
	ID       string `json:"id"`
	Digest   string `json:"digest,omitempty"`
	Revision uint64 `json:"revision"`
}

// find returns the earlier result of an operation.
func (h history) find(op Operation) (doneOperation, bool) {
	for _, done := range h {
		if op.ID != "" && done.ID == op.ID {
			return done, true
		}
	}
	return doneOperation{}, false
}

// with returns the history after the operation.
func (h history) with(op Operation, number uint64) history {
	if op.ID == "" {
		return h
	}
	next := append(history{{ID: op.ID, Digest: op.Digest, Revision: number}}, h...)
	return next[:min(len(next), rememberedOperations)]
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

// loaded is everything below Prefix.
type loaded struct {
	state State
	head  head
	done  history
}

func load(ctx context.Context, store table.Store) (loaded, error) {
	rows, err := store.Scan(ctx, Prefix)
	if err != nil {
		return loaded{}, err
	}
	config := loaded{state: Empty()}
	var writes []table.Write
	for _, row := range rows {
		switch row.Key {
		case headKey:
			config.head, err = decodeHead(row)
		case operationsKey:
			err = decodeRow(row, &config.done)
		default:
			writes = append(writes, table.Write{Key: row.Key, Value: row.Value})
		}
		if err != nil {
			return loaded{}, err
		}
	}
	if err := config.state.applyRows(writes); err != nil {
		return loaded{}, err
	}
	config.state.Revision = config.head.Revision
	return config, nil
}

// Transaction commits one change. A repeated operation returns the revision of
// its first run, in a change that is Empty. Errors: *RaceError, *ReusedError,
// ErrContended, ErrFenced, the edit's and the store's; when table.IsUnknown
// holds, the change may have taken effect and the same operation should be
// repeated.
func Transaction(ctx context.Context, store table.Store, op Operation, edit Edit) (Change, error) {
	uncertain := false
	for range commitAttempts {
		change, err := attempt(ctx, store, op, edit)
		switch {
		case err == nil:
			return change, nil
		case table.IsUnknown(err) && op.ID == "":
			return Change{}, err
		case table.IsUnknown(err):
			// The next attempt finds the operation in its row, or takes
			// the head's version, after which the lost one cannot commit.
			uncertain = true
		case isGuardConflict(err, op.Guard):
			return Change{}, errors.Wrap(ErrFenced, err.Error())
		case table.IsConflict(err):
		case uncertain && isStoreError(err):
			return Change{}, errors.Wrap(table.ErrUnknown, err.Error())
		default:
			return Change{}, err
		}
		if err := ctx.Err(); err != nil {
			return Change{}, settleError(uncertain, err)
		}
	}
	return Change{}, settleError(uncertain, ErrContended)
}

func settleError(uncertain bool, err error) error {
	if uncertain {
		return errors.Wrap(table.ErrUnknown, err.Error())
	}
	return err
}

// isStoreError reports whether err leaves open what an earlier commit did.
func isStoreError(err error) bool {
	var race *StaleRevisionError
	var reused *ReusedError
	return !errors.As(err, &race) && !errors.As(err, &reused)
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
	if done, repeated := config.done.find(op); repeated {
		return repeat(op, done)
	}
	state := config.state
	if op.Expected != nil && *op.Expected != state.Revision {
		return Change{}, &StaleRevisionError{Expected: *op.Expected, Found: state.Revision}
	}
	desired, err := edit(state)
	if err != nil {
		return Change{}, err
	}
	change, err := between(state, desired)
	if err != nil || change.Empty() {
		return change, err
	}
	writes, err := bookkeeping(change.Revision, config.done.with(op, change.Revision))
	if err != nil {
		return Change{}, err
	}
	return change, store.Commit(ctx, table.Txn{
		Conditions: append([]table.Condition{{Key: headKey, Version: config.head.version}}, op.Guard...),
		Writes:     append(writes, change.Rows...),
	})
}

// bookkeeping returns the writes of the head and the operations.
func bookkeeping(number uint64, done history) ([]table.Write, error) {
	headValue, err := json.Marshal(head{Revision: number})
	if err != nil {
		return nil, err
	}
	doneValue, err := json.Marshal(done)
	if err != nil {
		return nil, err
	}
	return []table.Write{{Key: headKey, Value: headValue}, {Key: operationsKey, Value: doneValue}}, nil
}

func repeat(op Operation, done doneOperation) (Change, error) {
	if done.Digest != op.Digest {
		return Change{}, &ReusedError{ID: op.ID, Revision: done.Revision}
	}
	return Change{Base: done.Revision, Revision: done.Revision}, nil
}

// Settle returns the newest revision after making sure that no commit sent
// before can take effect any more: it rewrites the head row, on whose version
// every commit is conditional. A manager calls it after a Transaction whose
// outcome stayed unknown.
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
