package control

import (
	"context"
	"maps"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/lovagedyke/lovagedyke/internal/fleet"
	"github.com/lovagedyke/lovagedyke/internal/job"
	"github.com/lovagedyke/lovagedyke/internal/record"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

// load reads the former leaders' rows, retrying until it succeeds or the term ends.
func (t *term) load() bool {
	for t.ctx.Err() == nil {
		started := time.Now()
		rows, err := t.readRows()
		if err == nil {
			t.initLeader(rows)
			metrics.GetOrCreateHistogram("leader_load_seconds").UpdateDuration(started)
			return true
		}
		t.config.Journal.Info("leader state not loaded from the store", "error", err.Error())
		if !sleep(t.ctx, loadRetryDelay) {
			return false
		}
	}
	return false
}

// initLeader initializes the leader's state from the loaded rows.
func (t *term) initLeader(rows loadedRows) {
	t.control.mu.Lock()
	current, waves := t.control.policy, maps.Clone(t.control.waves)
	t.control.mu.Unlock()
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if current != nil {
		t.leader.SetPolicy(current)
	}
	for _, wave := range waves {
		t.leader.UpdateWave(wave, now)
	}
	for number, wave := range rows.waves {
		t.leader.LoadWave(number, wave.Done, wave.Complete)
	}
	for host, change := range rows.changes {
		t.leader.LoadHostChange(host, change.At, now.Round(0), now)
	}
	t.leader.Load(rows.jobs, now, now)
	t.loaded = true
}

// loadedRows is the stored state that a new leader starts from.
type loadedRows struct {
	jobs    []fleet.StoredJob
	waves   map[int64]record.Wave
	changes map[fleet.HostID]record.HostChange
}

// readRows reads jobs, cancels, progress, waves and host changes.
func (t *term) readRows() (loadedRows, error) {
	cancelled := map[job.ID]bool{}
	stored := map[job.ID]*fleet.StoredJob{}
	for shard := range record.JobShards {
		if err := t.readShard(shard, stored, cancelled); err != nil {
			return loadedRows{}, err
		}
	}
	rows, err := t.config.Store.Scan(t.ctx, record.ProgressPrefix)
	if err != nil {
		return loadedRows{}, err
	}
	for _, row := range rows {
		t.decodeProgress(stored, row)
	}
	var out loadedRows
	for id, entry := range stored {
		entry.Cancelled = cancelled[id]
		out.jobs = append(out.jobs, *entry)
	}
	if out.waves, err = t.readWaves(); err != nil {
		return loadedRows{}, err
	}
	out.changes, err = t.readChanges()
	return out, err
}

// readChanges reads when a change of each host was last recorded.
func (t *term) readChanges() (map[fleet.HostID]record.HostChange, error) {
	rows, err := t.config.Store.Scan(t.ctx, record.HostChangePrefix)
	if err != nil {
		return nil, err
	}
	changes := map[fleet.HostID]record.HostChange{}
	for _, row := range rows {
		change, err := record.Decode[record.HostChange](row.Value)
		if err != nil {
			t.config.Journal.Info("host change row cannot be decoded", "key", row.Key, "version", row.Version, "error", err.Error())
			// Assume that the change has just been recorded.
			change.At = time.Now().Round(0)
		}
		changes[fleet.HostID(record.LastSegment(row.Key))] = change
	}
	return changes, nil
}

// readShard reads one shard of the jobs and cancels.
func (t *term) readShard(shard int, stored map[job.ID]*fleet.StoredJob, cancelled map[job.ID]bool) error {
	rows, err := t.config.Store.Scan(t.ctx, record.JobPrefix(shard))
	if err != nil {
		return err
	}
	for _, row := range rows {
		submission, err := job.DecodeSubmission(row.Value)
		if err != nil {
			t.config.Journal.Info("job row cannot be decoded", "key", row.Key, "version", row.Version, "error", err.Error())
			continue
		}
		stored[submission.ID] = &fleet.StoredJob{Submission: submission}
	}
	rows, err = t.config.Store.Scan(t.ctx, record.CancelPrefix(shard))
	for _, row := range rows {
		cancelled[job.ID(record.LastSegment(row.Key))] = true
	}
	return err
}

// decodeProgress decodes a progress row into the job that it belongs to.
func (t *term) decodeProgress(stored map[job.ID]*fleet.StoredJob, row table.Row) {
	entry := stored[job.ID(record.LastSegment(row.Key))]
	if entry == nil {
		return
	}
	progress := job.NewProgress()
	if err := progress.UnmarshalJSON(row.Value); err != nil {
		t.config.Journal.Info("progress row cannot be decoded", "key", row.Key, "version", row.Version, "error", err.Error())
		return
	}
	entry.Progress = progress
}

// readWaves reads the progress of each maintenance wave.
func (t *term) readWaves() (map[int64]record.Wave, error) {
	rows, err := t.config.Store.Scan(t.ctx, record.WavePrefix)
	if err != nil {
		return nil, err
	}
	waves := map[int64]record.Wave{}
	for _, row := range rows {
		wave, err := record.Decode[record.Wave](row.Value)
		number, ok := waveNumber(row.Key)
		if err != nil || !ok {
			t.config.Journal.Info("wave row cannot be decoded", "key", row.Key, "version", row.Version)
			continue
		}
		waves[number] = wave
	}
	return waves, nil
}

// waveNumber parses the wave's number from a key.
func waveNumber(key string) (int64, bool) {
	return parseNumber(strings.TrimPrefix(key, record.WavePrefix))
}

// lookupLoop reads the rows of jobs that endpoints report and the leader does not know.
func (t *term) lookupLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case id := <-t.lookups:
			stored, err := t.readJob(ctx, id)
			if err != nil {
				t.config.Journal.Info("job not looked up", "job", id, "error", err.Error())
				continue
			}
			now := time.Now()
			t.locked(func() { t.leader.HandleLookup(id, stored, now, now) })
			t.requestStep()
		}
	}
}

// readJob reads one job's rows. It returns nil if the job does not exist.
func (t *term) readJob(ctx context.Context, id job.ID) (*fleet.StoredJob, error) {
	rows, err := t.config.Store.Get(ctx, record.JobKey(id), record.CancelKey(id), record.ProgressKey(id))
	if err != nil {
		return nil, err
	}
	if rows[0].Version == table.Absent {
		return nil, nil
	}
	submission, err := job.DecodeSubmission(rows[0].Value)
	if err != nil {
		return nil, err
	}
	stored := map[job.ID]*fleet.StoredJob{id: {Submission: submission, Cancelled: rows[1].Version != table.Absent}}
	if rows[2].Version != table.Absent {
		t.decodeProgress(stored, rows[2])
	}
	return stored[id], nil
}
