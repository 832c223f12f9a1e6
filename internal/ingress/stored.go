package ingress

import (
	"context"

	"github.com/lovagedyke/lovagedyke/internal/job"
	"github.com/lovagedyke/lovagedyke/internal/record"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

// storedState reads a job's state from its rows. A refused job is not known.
func (i *Ingress) storedState(ctx context.Context, id job.ID) (state job.State, known bool, err error) {
	rows, err := i.config.Store.Get(ctx, record.JobKey(id), record.CancelKey(id), record.ProgressKey(id))
	if err != nil {
		return "", false, err
	}
	if rows[0].Version == table.Absent || job.IsRefusal(rows[0].Value) {
		return "", false, nil
	}
	state = job.Queued
	if rows[2].Version != table.Absent {
		if state, err = job.DecodeState(rows[2].Value); err != nil {
			i.config.Journal.Info("progress row cannot be decoded", "request-id", id, "version", rows[2].Version, "error", err.Error())
			return "", false, err
		}
	}
	if rows[1].Version != table.Absent && !state.Final() {
		state = job.Cancelled
	}
	return state, true, nil
}
