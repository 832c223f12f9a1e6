// Package pool keeps each host in exactly one pool, also while it moves or is
// maintained.
//
// A host's assignment is one row of the table, which names one pool and has an
// epoch that grows with every change. A host changes its pool only after every
// entry has confirmed the epoch of its drain with nothing in flight there, or
// is proven gone and its longest run is over; the change is a commit on
// condition of the row's version, so of two managers one wins.
//
// # Usage
//
// The functions are pure: read the row, compute the next assignment, commit it
// on condition of the version that was read.
//
//	next, err := pool.Drain(current, pool.Move, "bait")
//	...
//	if pool.Quiet(current, members, confirmations) {
//		next, err = pool.Settle(current)
//	}
//
// A Planner decides which moves to start. It is stepped with what was observed:
//
//	planner := pool.NewPlanner(pool.PlannerConfig{Spare: "spare", Weights: weights})
//	plan := planner.Step(now, pool.View{Pools: pools, Hosts: hosts, Observed: at, MoveTime: p90})
//	for _, move := range plan.Moves {
//		// read the row of move.Host, compute pool.Drain, commit
//	}
package pool

import (
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/table"
)

// KeyPrefix starts the key of every assignment row.
const KeyPrefix = "pool/host/"

// Key returns the key of the host's row.
func Key(host string) string { return KeyPrefix + host }

// Phase is where an assignment stands.
type Phase string

// Phases of an assignment.
const (
	// Serving hosts take work of their pool.
	Serving Phase = "serving"
	// Draining hosts take no new work; what runs there ends undisturbed.
	Draining Phase = "draining"
	// Drained hosts run nothing: the platform may reboot them.
	Drained Phase = "drained"
)

// Purpose is why a host drains.
type Purpose string

// Purposes of a drain.
const (
	Move        Purpose = "move"
	Maintenance Purpose = "maintenance"
)

// Assignment is the value of a host's row.
type Assignment struct {
	Host  string `json:"host"`
	Pool  string `json:"pool"`
	Epoch uint64 `json:"epoch"`
	Phase Phase  `json:"phase"`
	// Purpose and Target are set unless the host serves; Target is the pool
	// that it serves next.
	Purpose Purpose `json:"purpose,omitempty"`
	Target  string  `json:"target,omitempty"`
}

// PhaseError means that an assignment does not allow a step.
type PhaseError struct {
	Host  string
	Step  string
	Phase Phase
}

// Error implements error.
func (e *PhaseError) Error() string {
	return fmt.Sprintf("host %q is %s and does not allow the step %q", e.Host, e.Phase, e.Step)
}

// Assign returns the first assignment of a host that has no row.
func Assign(host, pool string) Assignment {
	return Assignment{Host: host, Pool: pool, Epoch: 1, Phase: Serving}
}

// Drain returns the assignment of a host that takes no new work from now on.
func Drain(a Assignment, purpose Purpose, target string) (Assignment, error) {
	if a.Phase != Serving {
		return a, &PhaseError{Host: a.Host, Step: "drain", Phase: a.Phase}
	}
	if purpose == Maintenance {
		target = a.Pool
	}
	return Assignment{
		Host: a.Host, Pool: a.Pool, Epoch: a.Epoch + 1,
		Phase: Draining, Purpose: purpose, Target: target,
	}, nil
}

// Settle returns the assignment of a draining host that runs nothing any more:
// a moving host serves its target pool, one in maintenance is Drained.
func CompleteDrain(a Assignment) (Assignment, error) {
	if a.Phase != Draining {
		return a, &PhaseError{Host: a.Host, Step: "settle", Phase: a.Phase}
	}
	if a.Purpose == Move {
		return Assignment{Host: a.Host, Pool: a.Target, Epoch: a.Epoch + 1, Phase: Serving}, nil
	}
	a.Epoch++
	a.Phase = Drained
	return a, nil
}

// Return returns the assignment of a host that serves its pool again, after
// maintenance or because its drain was called off.
func Return(a Assignment) (Assignment, error) {
	if a.Phase == Serving {
		return a, &PhaseError{Host: a.Host, Step: "return", Phase: a.Phase}
	}
	return Assignment{Host: a.Host, Pool: a.Pool, Epoch: a.Epoch + 1, Phase: Serving}, nil
}

// Decode reads a row's value.
func Decode(row table.Row) (Assignment, error) {
	var a Assignment
	if err := json.Unmarshal(row.Value, &a); err != nil {
		return a, errors.Wrapf(err, "decode row %q", row.Key)
	}
	return a, nil
}

// Change returns the transaction that replaces the row as read by next.
func UpdateTxn(row table.Row, next Assignment) (table.Txn, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return table.Txn{}, errors.Wrapf(err, "encode row %q", row.Key)
	}
	return table.Txn{
		Conditions: []table.Condition{{Key: row.Key, Version: row.Version}},
		Writes:     []table.Write{{Key: row.Key, Value: value}},
	}, nil
}
