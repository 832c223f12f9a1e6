package control

import (
	"context"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/fleet"
	"github.com/lovagedyke/lovagedyke/internal/job"
	"github.com/lovagedyke/lovagedyke/internal/loops"
	"github.com/lovagedyke/lovagedyke/internal/record"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

// batchLoop writes batches of the leader's changed rows and renews its claim.
func (t *term) batchLoop(ctx context.Context) {
	// The first renewal, which says that the leader reads its rows, is due at once.
	var renewedAt time.Time
	for {
		timer := time.NewTimer(max(0, renewInterval-time.Since(renewedAt)))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-t.wakeBatch:
		case <-timer.C:
		}
		timer.Stop()
		isDue := time.Since(renewedAt) >= renewInterval
		if t.writeNext(ctx, isDue) && isDue {
			renewedAt = time.Now()
		}
		hasMore := false
		t.locked(partBatches, func() { hasMore = t.leader.HasFullBatch() })
		if hasMore {
			// At the peak of a large fleet a pause would hold up the acknowledgements, and
			// with them the reports, of all endpoints.
			signal(t.wakeBatch)
			continue
		}
		if !loops.Sleep(ctx, minBatchPause) {
			return
		}
	}
}

// writeNext commits the next batch, together with the claim's renewal if renew
// is set. It reports whether the store has committed them.
func (t *term) writeNext(ctx context.Context, renew bool) bool {
	var batch fleet.Batch
	var waves []fleet.WaveProgress
	hasBatch := false
	t.locked(partBatches, func() {
		batch, hasBatch = t.leader.NextBatch()
		waves = t.leader.WaveProgress()
	})
	if !hasBatch && len(waves) == 0 && !renew {
		return true
	}
	var txn table.Txn
	for id, value := range batch.Rows {
		txn.Writes = append(txn.Writes, table.Write{Key: record.ProgressKey(id), Value: value})
	}
	for _, wave := range waves {
		row := record.Wave{Done: wave.Done, Complete: wave.Complete}
		txn.Writes = append(txn.Writes, table.Write{Key: record.WaveKey(wave.Number), Value: record.Encode(row)})
	}
	if renew {
		renewal := record.Renewal{Token: t.claim.Token, Loading: !t.isLoaded()}
		txn.Writes = append(txn.Writes, table.Write{Key: record.RenewalKey, Value: record.Encode(renewal)})
	}
	if !t.writer.commit(ctx, txn, len(txn.Writes) > 1 || !renew) {
		return false
	}
	t.writeWaveStatus(ctx, waves)
	if hasBatch {
		t.locked(partBatches, func() { t.wakeSessions(t.leader.MarkBatchWritten(batch, time.Now())) })
		t.requestStep()
	}
	return true
}

// writeWaveStatus writes the rows in which operators read the state of
// maintenance waves.
func (t *term) writeWaveStatus(ctx context.Context, waves []fleet.WaveProgress) {
	for _, wave := range waves {
		txn := table.Txn{Writes: []table.Write{{
			Key: t.config.WaveStatus.Key(wave.Number), Value: t.config.WaveStatus.Encode(wave.Number, wave.Complete),
		}}}
		if !wave.Complete {
			// Written only if absent: a delayed commit must not overwrite the
			// row of a completed wave.
			txn.Conditions = []table.Condition{{Key: txn.Writes[0].Key, Version: table.Absent}}
		}
		for ctx.Err() == nil {
			if err := t.config.Store.Commit(ctx, txn); err == nil || table.IsConflict(err) {
				break
			}
			if !loops.Sleep(ctx, commitRetryDelay) {
				return
			}
		}
	}
}

// cleanupLoop deletes the rows of jobs and refusals whose retention has expired.
func (t *term) cleanupLoop(ctx context.Context) {
	for loops.Sleep(ctx, cleanupInterval) {
		var ids []job.ID
		t.locked(partBatches, func() { ids = t.leader.ExpiredJobs(time.Now(), maxCleanupJobs) })
		if len(ids) > 0 && t.deleteRows(ctx, ids) {
			t.locked(partBatches, func() { t.leader.ForgetJobs(ids) })
		}
		t.deleteRefusals(ctx, time.Now().Add(-t.config.Bounds.StatusRetention))
	}
}

// deleteRows deletes jobs before their progress: progress without a job is
// ignored, but a job without its progress would run again.
func (t *term) deleteRows(ctx context.Context, ids []job.ID) bool {
	byShard := map[int][]table.Write{}
	var progress table.Txn
	for _, id := range ids {
		shard := record.ShardOf(id)
		byShard[shard] = append(byShard[shard],
			table.Write{Key: record.JobKey(id), Delete: true}, table.Write{Key: record.CancelKey(id), Delete: true})
		progress.Writes = append(progress.Writes, table.Write{Key: record.ProgressKey(id), Delete: true})
	}
	for _, writes := range byShard {
		if err := t.config.Store.Commit(ctx, table.Txn{Writes: writes}); err != nil {
			t.config.Journal.Info("rows of finished jobs not deleted", "rows", len(writes), "error", err.Error())
			return false
		}
	}
	return t.writer.commit(ctx, progress, false)
}
