package control

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/job"
	"github.com/lovagedyke/lovagedyke/internal/record"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

// maxCleanupRefusals is the number of refusals per cleanup. A short overload leaves
// thousands, each a few bytes.
const maxCleanupRefusals = 200

// refusals holds the refusal rows that this leader has read, to delete them in time.
type refusals struct {
	mu   sync.Mutex
	rows map[job.ID]refusalRow
}

// refusalRow is a refusal's row as it was read.
type refusalRow struct {
	version uint64
	// seenAt is when this leader read it: clocks of processes are not compared.
	seenAt time.Time
}

// note notes a refusal's row.
func (r *refusals) note(id job.ID, version uint64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rows == nil {
		r.rows = map[job.ID]refusalRow{}
	}
	if r.rows[id].version != version {
		r.rows[id] = refusalRow{version: version, seenAt: now}
	}
}

// forget removes a refusal that the store no longer has with this version. A newer one of the job
// stays: it may have been noted in the meantime.
func (r *refusals) forget(id job.ID, version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rows[id].version == version {
		delete(r.rows, id)
	}
}

// expired returns, by shard, at most limit refusals that were seen before a time.
func (r *refusals) expired(before time.Time, limit int) map[int]map[job.ID]uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	byShard := map[int]map[job.ID]uint64{}
	for id, row := range r.rows {
		if limit == 0 {
			break
		}
		if !row.seenAt.Before(before) {
			continue
		}
		shard := record.ShardOf(id)
		if byShard[shard] == nil {
			byShard[shard] = map[job.ID]uint64{}
		}
		byShard[shard][id] = row.version
		limit--
	}
	return byShard
}

// deleteRefusals deletes the rows of refusals that were seen before a time, on the
// condition that no job has replaced them.
func (t *term) deleteRefusals(ctx context.Context, before time.Time) {
	for _, versions := range t.refusals.expired(before, maxCleanupRefusals) {
		for len(versions) > 0 && ctx.Err() == nil {
			if !t.deleteSomeRefusals(ctx, versions) {
				return
			}
		}
	}
}

// deleteSomeRefusals deletes refusals of one shard in one transaction, and removes them
// from versions. It reports whether the store has answered.
func (t *term) deleteSomeRefusals(ctx context.Context, versions map[job.ID]uint64) bool {
	var txn table.Txn
	var ids []job.ID
	for id, version := range versions {
		if len(ids) == maxCleanupJobs {
			break
		}
		ids = append(ids, id)
		txn.Conditions = append(txn.Conditions, table.Condition{Key: record.JobKey(id), Version: version})
		txn.Writes = append(txn.Writes, table.Write{Key: record.JobKey(id), Delete: true})
	}
	err := t.config.Store.Commit(ctx, txn)
	var conflict *table.ConflictError
	if errors.As(err, &conflict) {
		// The job has returned, or the row is gone.
		ids = []job.ID{job.ID(record.LastSegment(conflict.Key))}
	} else if err != nil {
		t.config.Journal.Info("rows of refusals not deleted", "rows", len(ids), "error", err.Error())
		return false
	}
	for _, id := range ids {
		t.refusals.forget(id, versions[id])
		delete(versions, id)
	}
	return true
}
