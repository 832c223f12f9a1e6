package control

import (
	"context"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/fleet"
	"github.com/lovagedyke/lovagedyke/internal/job"
	"github.com/lovagedyke/lovagedyke/internal/record"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

// batchLoop writes the leader's rows and renews its claim.
func (r *reign) batchLoop(ctx context.Context) {
	renewed := time.Now()
	for {
		timer := time.NewTimer(max(0, renewEvery-time.Since(renewed)))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-r.dirty:
		case <-timer.C:
		}
		timer.Stop()
		due := time.Since(renewed) >= renewEvery
		if r.writeNext(ctx, due) && due {
			renewed = time.Now()
		}
		if !sleep(ctx, batchPause) {
			return
		}
	}
}

// writeNext writes the next batch, and the renewal if it is due. It reports
// whether the store has taken both.
func (r *reign) writeNext(ctx context.Context, renew bool) bool {
	var batch fleet.Batch
	var waves []fleet.WaveProgress
	hasNews := false
	r.locked(func() {
		batch, hasNews = r.leader.NextBatch()
		waves = r.leader.WaveProgress()
	})
	if !hasNews && len(waves) == 0 && !renew {
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
		txn.Writes = append(txn.Writes, table.Write{Key: record.RenewalKey, Value: record.Encode(r.claim)})
	}
	if !r.writer.commit(ctx, txn, len(txn.Writes) > 1 || !renew) {
		return false
	}
	r.tellWaves(ctx, waves)
	if hasNews {
		r.locked(func() { r.leader.MarkBatchWritten(batch, time.Now()) })
		r.wakeEndpoints()
		r.kick()
	}
	return true
}

// tellWaves writes the rows in which operators read the waves' states.
func (r *reign) tellWaves(ctx context.Context, waves []fleet.WaveProgress) {
	for _, wave := range waves {
		txn := table.Txn{Writes: []table.Write{{
			Key: r.config.WaveStatus.Key(wave.Number), Value: r.config.WaveStatus.Encode(wave.Number, wave.Complete),
		}}}
		if !wave.Complete {
			// Written once: done late, it must not replace the wave's end.
			txn.Conditions = []table.Condition{{Key: txn.Writes[0].Key, Version: table.Absent}}
		}
		for ctx.Err() == nil {
			if err := r.config.Store.Commit(ctx, txn); err == nil || table.IsConflict(err) {
				break
			}
			if !sleep(ctx, batchRetry) {
				return
			}
		}
	}
}

// forgetLoop removes the rows of jobs that ended long ago.
func (r *reign) forgetLoop(ctx context.Context) {
	for sleep(ctx, forgetEvery) {
		var ids []job.ID
		r.locked(func() { ids = r.leader.ExpiredJobs(time.Now(), forgetMost) })
		if len(ids) > 0 && r.removeRows(ctx, ids) {
			r.locked(func() { r.leader.ForgetJobs(ids) })
		}
	}
}

// removeRows removes jobs before their progress: progress without a job means
// nothing, but a job without its progress would run again.
func (r *reign) removeRows(ctx context.Context, ids []job.ID) bool {
	byShard := map[int][]table.Write{}
	var progress table.Txn
	for _, id := range ids {
		shard := record.ShardOf(id)
		byShard[shard] = append(byShard[shard],
			table.Write{Key: record.JobKey(id), Delete: true}, table.Write{Key: record.CancelKey(id), Delete: true})
		progress.Writes = append(progress.Writes, table.Write{Key: record.ProgressKey(id), Delete: true})
	}
	for _, writes := range byShard {
		if err := r.config.Store.Commit(ctx, table.Txn{Writes: writes}); err != nil {
			r.config.Journal.Info("old rows not removed", "rows", len(writes), "error", err.Error())
			return false
		}
	}
	return r.writer.commit(ctx, progress, false)
}
