// Package pool assigns each host to exactly one pool, including while the host
// moves between pools or is under maintenance.
//
// A host's assignment is one row of the table. The row names one pool and has
// an epoch that increases with every change. A host changes its pool only after
// every entry has confirmed the epoch of the drain with nothing in flight on the
// host, or is known to have ended and the longest run time has passed since.
// The change is committed on condition of the row's version, so when two
// managers change a row concurrently only one of them succeeds.
//
// # Usage
//
// The functions on assignments are pure: read the row, compute the next
// assignment, and commit it on condition of the version that was read.
//
//	next, err := pool.Drain(current, pool.Move, "bait")
//	...
//	if drains.IsDrained(now, current, senders, gone, longestRun) {
//		next, err = pool.CompleteDrain(current)
//	}
//
// A Planner decides which moves to start. Each step takes the newest
// observations:
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

// KeyPrefix is the prefix of the keys of assignment rows.
const KeyPrefix = "pool/host/"

// Key returns the key of a host's assignment row.
func Key(host string) string { return KeyPrefix + host }

// Phase is the state of an assignment.
type Phase string

// Phases of an assignment.
const (
	// Serving hosts accept work of their pool.
	Serving Phase = "serving"
	// Draining hosts accept no new work; running work may finish.
	Draining Phase = "draining"
	// Drained hosts run nothing, so the platform may reboot them.
	Drained Phase = "drained"
)

// Purpose is the reason for a drain.
type Purpose string

// Purposes of a drain.
const (
	Move        Purpose = "move"
	Maintenance Purpose = "maintenance"
)

// Assignment is the value of a host's assignment row.
type Assignment struct {
	Host  string `json:"host"`
	Pool  string `json:"pool"`
	Epoch uint64 `json:"epoch"`
	Phase Phase  `json:"phase"`
	// Purpose and Target are set unless the phase is Serving. Target is the
	// pool that the host serves after the drain.
	Purpose Purpose `json:"purpose,omitempty"`
	Target  string  `json:"target,omitempty"`
}

// PhaseError reports a step that the assignment's phase does not allow.
type PhaseError struct {
	Host  string
	Step  string
	Phase Phase
}

// Error implements error.
func (e *PhaseError) Error() string {
	return fmt.Sprintf("host %q is %s and does not allow the step %q", e.Host, e.Phase, e.Step)
}

// EvacuatedError reports a move of a host of an evacuated data centre into a pool
// that needs capacity.
type EvacuatedError struct {
	Host, DataCentre, Target string
}

// Error implements error.
func (e *EvacuatedError) Error() string {
	return fmt.Sprintf("host %q cannot serve pool %q: its data centre %q is being evacuated", e.Host, e.Target, e.DataCentre)
}

// Assign returns the initial assignment of a host that has no row yet.
func Assign(host, pool string) Assignment {
	return Assignment{Host: host, Pool: pool, Epoch: 1, Phase: Serving}
}

// Drain returns the assignment that starts draining a serving host. Target is
// ignored for maintenance, after which the host stays in its pool.
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

// CompleteDrain returns the assignment of a draining host that no longer runs
// anything: a moving host serves its target pool, a host under maintenance is
// Drained.
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
// maintenance or because its drain was cancelled.
func Return(a Assignment) (Assignment, error) {
	if a.Phase == Serving {
		return a, &PhaseError{Host: a.Host, Step: "return", Phase: a.Phase}
	}
	return Assignment{Host: a.Host, Pool: a.Pool, Epoch: a.Epoch + 1, Phase: Serving}, nil
}

// Decode decodes the assignment in a row.
func Decode(row table.Row) (Assignment, error) {
	var a Assignment
	if err := json.Unmarshal(row.Value, &a); err != nil {
		return a, errors.Wrapf(err, "decode row %q", row.Key)
	}
	return a, nil
}

// UpdateTxn returns the transaction that stores next in the row, on condition
// that the row still has the version that was read.
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
