package runner

import (
	"encoding/json"
	"strings"

	"github.com/lovagedyke/lovagedyke/internal/charge"
	"github.com/lovagedyke/lovagedyke/internal/roster"
	"github.com/lovagedyke/lovagedyke/internal/table"
	"github.com/lovagedyke/lovagedyke/internal/task"
)

// taskRowPrefix is the key prefix of all task rows.
const taskRowPrefix = "task/"

// withCharges adds a charge for each task that the transaction marks as done, so
// that both are written atomically. A retry writes the same charge row.
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
		charges = append(charges, chargeWrite(record))
	}
	if len(charges) == 0 {
		return txn
	}
	txn.Writes = append(append([]table.Write{}, txn.Writes...), charges...)
	return txn
}

// chargeWrite returns the write of the charge for a task that is done. The charge
// names the last attempt, which produced the result.
func chargeWrite(record task.Record) table.Write {
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

// RunID returns the run ID under which an attempt of a task is charged.
func RunID(queue, id string, attempt int) charge.RunID {
	return charge.RunID{Entry: roster.Identity{Name: queue + "-" + id}, Sequence: uint64(attempt)}
}
