package revision

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/table"
)

const (
	// rememberedOperations bounds the operation ids in the head row.
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
type RaceError struct {
	Expected, Found uint64
}

// Error implements error.
func (e *RaceError) Error() string {
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

// head is the value of the head row.
type head struct {
	Revision   uint64      `json:"revision"`
	Operations []operation `json:"operations,omitempty"`
	version    uint64
}

type operation struct {
	ID       string `json:"id"`
	Digest   string `json:"digest,omitempty"`
	Revision uint64 `json:"revision"`
}

func decodeHead(row table.Row) (head, error) {
	h := head{version: row.Version}
	if row.Version == table.Absent {
		return h, nil
	}
	if err := json.Unmarshal(row.Value, &h); err != nil {
		return h, fmt.Errorf("row %q is malformed: %w", headKey, err)
	}
	return h, nil
}

// find returns the earlier result of an operation.
func (h head) find(op Operation) (operation, bool) {
	for _, done := range h.Operations {
		if op.ID != "" && done.ID == op.ID {
			return done, true
		}
	}
	return operation{}, false
}

// after returns the head row's write for the operation's change.
func (h head) after(op Operation, change Change) (table.Write, error) {
	next := head{Revision: change.Revision, Operations: h.Operations}
	if op.ID != "" {
		done := operation{ID: op.ID, Digest: op.Digest, Revision: change.Revision}
		next.Operations = append([]operation{done}, h.Operations...)
	}
	if len(next.Operations) > rememberedOperations {
		next.Operations = next.Operations[:rememberedOperations]
	}
	value, err := json.Marshal(next)
	return table.Write{Key: headKey, Value: value}, err
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
	state, _, err := load(ctx, store)
	return state, err
}

func load(ctx context.Context, store table.Store) (State, head, error) {
	rows, err := store.Scan(ctx, Prefix)
	if err != nil {
		return State{}, head{}, err
	}
	state, h := Empty(), head{}
	for _, row := range rows {
		if row.Key == headKey {
			h, err = decodeHead(row)
		} else {
			err = state.applyRow(table.Write{Key: row.Key, Value: row.Value})
		}
		if err != nil {
			return State{}, head{}, err
		}
	}
	state.Revision = h.Revision
	return state, h, nil
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
			// The next attempt finds the operation in the head row, or takes
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
	var race *RaceError
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
	state, h, err := load(ctx, store)
	if err != nil {
		return Change{}, err
	}
	if done, repeated := h.find(op); repeated {
		return repeat(op, done)
	}
	if op.Expected != nil && *op.Expected != state.Revision {
		return Change{}, &RaceError{Expected: *op.Expected, Found: state.Revision}
	}
	desired, err := edit(state)
	if err != nil {
		return Change{}, err
	}
	change, err := between(state, desired)
	if err != nil || change.Empty() {
		return change, err
	}
	write, err := h.after(op, change)
	if err != nil {
		return Change{}, err
	}
	return change, store.Commit(ctx, table.Txn{
		Conditions: append([]table.Condition{{Key: headKey, Version: h.version}}, op.Guard...),
		Writes:     append([]table.Write{write}, change.Rows...),
	})
}

func repeat(op Operation, done operation) (Change, error) {
	if done.Digest != op.Digest {
		return Change{}, &ReusedError{ID: op.ID, Revision: done.Revision}
	}
	return Change{Base: done.Revision, Revision: done.Revision}, nil
}

// Settle returns the newest revision after making sure that no commit sent
// before can take effect any more: it rewrites the head row, on whose version
// every commit is conditional. A manager calls it after a Transaction whose
// outcome stayed unknown.
func Settle(ctx context.Context, store table.Store) (uint64, error) {
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
