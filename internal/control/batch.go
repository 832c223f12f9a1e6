package control

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

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

// maxWavesPerTxn is the number of waves written in one transaction.
const maxWavesPerTxn = 4

// writeNext commits the next batch, together with the claim's renewal if renew
// is set. It reports whether the store has committed them.
func (t *term) writeNext(ctx context.Context, renew bool) bool {
	next := pendingRows{renew: renew}
	var oversized []fleet.OversizedRow
	t.locked(partBatches, func() {
		t.leader.SetRowFormat(t.config.RowFormat())
		next.batch, _ = t.leader.NextBatch()
		next.waves = t.leader.WaveProgress(maxWavesPerTxn)
		oversized = t.leader.TakeOversizedRows()
		metrics.GetOrCreateGauge("leader_rows_refused", nil).Set(float64(t.leader.RefusedRows()))
	})
	for _, row := range oversized {
		t.reportRefusedRow(record.ProgressKey(row.Job), row.Size, "the row is larger than the store takes")
	}
	if next.isEmpty() {
		return true
	}
	return t.write(ctx, next)
}

// pendingRows are rows that the leader writes in one transaction.
type pendingRows struct {
	batch fleet.Batch
	waves []fleet.WaveProgress
	renew bool
}

// isEmpty reports whether there is nothing to write.
func (p pendingRows) isEmpty() bool {
	return len(p.batch.Rows) == 0 && len(p.waves) == 0 && !p.renew
}

// split returns the parts into which refused rows are divided to find those that the store does
// not take, or nil for a single row.
func (p pendingRows) split() []pendingRows {
	var parts []pendingRows
	if p.renew {
		parts = append(parts, pendingRows{renew: true})
	}
	for _, wave := range p.waves {
		parts = append(parts, pendingRows{waves: []fleet.WaveProgress{wave}})
	}
	switch {
	case len(p.batch.Rows) > 1:
		first, second := p.batch.Split()
		parts = append(parts, pendingRows{batch: first}, pendingRows{batch: second})
	case len(p.batch.Rows) == 1:
		parts = append(parts, pendingRows{batch: p.batch})
	}
	if len(parts) == 1 {
		return nil
	}
	return parts
}

// transaction returns the writes.
func (p pendingRows) transaction(token uint64, isLoading bool, format job.RowFormat) table.Txn {
	var txn table.Txn
	for id, value := range p.batch.Rows {
		txn.Writes = append(txn.Writes, table.Write{Key: record.ProgressKey(id), Value: value})
	}
	for _, wave := range p.waves {
		row := record.Wave{Done: wave.Done, Complete: wave.Complete}
		txn.Writes = append(txn.Writes, table.Write{Key: record.WaveKey(wave.Number), Value: record.EncodeWave(row, format)})
	}
	if p.renew {
		renewal := record.Renewal{Token: token, Loading: isLoading}
		txn.Writes = append(txn.Writes, table.Write{Key: record.RenewalKey, Value: record.Encode(renewal)})
	}
	return txn
}

// write commits rows and reports whether the store has committed them, apart from those that it
// does not take.
func (t *term) write(ctx context.Context, rows pendingRows) bool {
	txn := rows.transaction(t.claim.Token, !t.isLoaded(), t.config.RowFormat())
	hasRows := len(rows.batch.Rows) > 0 || len(rows.waves) > 0
	switch t.writer.commit(ctx, txn, hasRows) {
	case committed:
	case refused:
		return t.writeApart(ctx, rows, txn)
	default:
		return false
	}
	t.writeWaveStatus(ctx, rows.waves)
	if len(rows.batch.Rows) > 0 {
		t.locked(partBatches, func() { t.wakeSessions(t.leader.MarkBatchWritten(rows.batch, time.Now())) })
		t.requestStep()
	}
	return true
}

// writeApart writes refused rows in smaller transactions, so that one row holds up no other. A row
// that the store does not take by itself is left out.
func (t *term) writeApart(ctx context.Context, rows pendingRows, txn table.Txn) bool {
	parts := rows.split()
	for _, part := range parts {
		if !t.write(ctx, part) {
			return false
		}
	}
	if len(parts) > 0 {
		return true
	}
	for _, write := range txn.Writes {
		t.reportRefusedRow(write.Key, len(write.Value), "the store does not take the row")
	}
	t.locked(partBatches, func() { t.leader.RefuseBatch(rows.batch) })
	return !rows.renew
}

// reportRefusedRow reports a row that the store does not take.
func (t *term) reportRefusedRow(key string, size int, cause string) {
	tableName, _, _ := strings.Cut(key, "/")
	metrics.GetOrCreateCounter(fmt.Sprintf("leader_row_refusals_total{table=%q}", tableName)).Inc()
	t.config.Journal.Error("row not written", "table", tableName, "key", record.LastSegment(key), "bytes", size, "cause", cause)
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
	return t.writer.commit(ctx, progress, false) == committed
}
