package runner

import (
	"encoding/json"
	"strings"

	"github.com/lovagedyke/lovagedyke/internal/charge"
	"github.com/lovagedyke/lovagedyke/internal/roster"
	"github.com/lovagedyke/lovagedyke/internal/table"
	"github.com/lovagedyke/lovagedyke/internal/task"
)

// taskRowPrefix starts the keys of all tasks' rows.
const taskRowPrefix = "task/"

// withCharges adds the charge of each task that the transaction ends as done:
// charge and end are written together or not at all. Writing it again writes
// the same row.
func withCharges(txn table.Txn) table.Txn {
	var charges []table.Write
	for _, write := range txn.Writes {
		if write.Delete || !strings.HasPrefix(write.Key, taskRowPrefix) {
			continue
		}
		var record task.Record
		if json.Unmarshal(write.Value, &record) != nil || record.State != task.Done {
			continue
		}
		charges = append(charges, chargeOf(record))
	}
	if len(charges) == 0 {
		return txn
	}
	txn.Writes = append(append([]table.Write{}, txn.Writes...), charges...)
	return txn
}

// chargeOf returns the charge of a task that is done: its last attempt is the
// run whose result was taken.
func chargeOf(record task.Record) table.Write {
	run := RunID(record.Queue, record.ID, record.Attempts)
	value, err := json.Marshal(charge.Charge{
		Run: run, Team: record.Team, Service: record.Queue, Started: record.Submitted,
		Duration: record.Changed.Sub(record.Submitted), Outcome: charge.OutcomeSucceeded,
	})
	if err != nil {
		panic(err)
	}
	return table.Write{Key: charge.Prefix + run.String(), Value: value}
}

// RunID names an attempt at a task on charges.
func RunID(queue, id string, attempt int) charge.RunID {
	return charge.RunID{Entry: roster.Identity{Name: queue + "-" + id}, Sequence: uint64(attempt)}
}
