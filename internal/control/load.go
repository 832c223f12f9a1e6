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

// load reads all rows of before, until it works or the leadership ends.
func (r *reign) load() bool {
	for r.ctx.Err() == nil {
		started := time.Now()
		rows, err := r.readRows()
		if err == nil {
			r.begin(rows)
			metrics.GetOrCreateHistogram("leader_load_seconds").UpdateDuration(started)
			return true
		}
		r.config.Journal.Info("rows not loaded", "error", err.Error())
		if !sleep(r.ctx, loadRetry) {
			return false
		}
	}
	return false
}

// begin starts the leader's state from the rows.
func (r *reign) begin(rows loadedRows) {
	r.control.mu.Lock()
	current, waves := r.control.policy, maps.Clone(r.control.waves)
	r.control.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if current != nil {
		r.leader.SetPolicy(current)
	}
	for _, wave := range waves {
		r.leader.UpdateWave(wave, now)
	}
	for number, wave := range rows.waves {
		r.leader.LoadWave(number, wave.Done, wave.Complete)
	}
	for host, change := range rows.changes {
		r.leader.LoadHostChange(host, change.At, now.Round(0), now)
	}
	r.leader.Load(rows.jobs, now, now)
	r.loaded = true
}

// loadedRows is what the store holds when a leadership begins.
type loadedRows struct {
	jobs    []fleet.StoredJob
	waves   map[int64]record.Wave
	changes map[fleet.HostID]record.HostChange
}

// readRows reads jobs, cancels, progress, waves and changes of hosts.
func (r *reign) readRows() (loadedRows, error) {
	cancelled := map[job.ID]bool{}
	stored := map[job.ID]*fleet.StoredJob{}
	for shard := range record.JobShards {
		if err := r.readShard(shard, stored, cancelled); err != nil {
			return loadedRows{}, err
		}
	}
	rows, err := r.config.Store.Scan(r.ctx, record.ProgressPrefix)
	if err != nil {
		return loadedRows{}, err
	}
	for _, row := range rows {
		r.addProgress(stored, row)
	}
	var out loadedRows
	for id, entry := range stored {
		entry.Cancelled = cancelled[id]
		out.jobs = append(out.jobs, *entry)
	}
	if out.waves, err = r.readWaves(); err != nil {
		return loadedRows{}, err
	}
	out.changes, err = r.readChanges()
	return out, err
}

// readChanges reads when each host was last about to be changed.
func (r *reign) readChanges() (map[fleet.HostID]record.HostChange, error) {
	rows, err := r.config.Store.Scan(r.ctx, record.HostChangePrefix)
	if err != nil {
		return nil, err
	}
	changes := map[fleet.HostID]record.HostChange{}
	for _, row := range rows {
		change, err := record.Decode[record.HostChange](row.Value)
		if err != nil {
			r.config.Journal.Info("change not readable", "key", row.Key, "version", row.Version, "error", err.Error())
			// As if it had been just now.
			change.At = time.Now().Round(0)
		}
		changes[fleet.HostID(record.LastSegment(row.Key))] = change
	}
	return changes, nil
}

// readShard reads one part of the jobs and cancels.
func (r *reign) readShard(shard int, stored map[job.ID]*fleet.StoredJob, cancelled map[job.ID]bool) error {
	rows, err := r.config.Store.Scan(r.ctx, record.JobPrefix(shard))
	if err != nil {
		return err
	}
	for _, row := range rows {
		submission, err := job.DecodeSubmission(row.Value)
		if err != nil {
			r.config.Journal.Info("job not readable", "key", row.Key, "version", row.Version, "error", err.Error())
			continue
		}
		stored[submission.ID] = &fleet.StoredJob{Submission: submission}
	}
	rows, err = r.config.Store.Scan(r.ctx, record.CancelPrefix(shard))
	for _, row := range rows {
		cancelled[job.ID(record.LastSegment(row.Key))] = true
	}
	return err
}

// addProgress decodes a progress row.
func (r *reign) addProgress(stored map[job.ID]*fleet.StoredJob, row table.Row) {
	entry := stored[job.ID(record.LastSegment(row.Key))]
	if entry == nil {
		return
	}
	progress := job.NewProgress()
	if err := progress.UnmarshalJSON(row.Value); err != nil {
		r.config.Journal.Info("progress not readable", "key", row.Key, "version", row.Version, "error", err.Error())
		return
	}
	entry.Progress = progress
}

// readWaves reads what has been done of each wave.
func (r *reign) readWaves() (map[int64]record.Wave, error) {
	rows, err := r.config.Store.Scan(r.ctx, record.WavePrefix)
	if err != nil {
		return nil, err
	}
	waves := map[int64]record.Wave{}
	for _, row := range rows {
		wave, err := record.Decode[record.Wave](row.Value)
		number, ok := waveNumber(row.Key)
		if err != nil || !ok {
			r.config.Journal.Info("wave not readable", "key", row.Key, "version", row.Version)
			continue
		}
		waves[number] = wave
	}
	return waves, nil
}

// waveNumber returns the wave that a key names.
func waveNumber(key string) (int64, bool) {
	return parseNumber(strings.TrimPrefix(key, record.WavePrefix))
}

// lookupLoop reads the rows of jobs that endpoints know and the leader does not.
func (r *reign) lookupLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case id := <-r.lookups:
			stored, err := r.readJob(ctx, id)
			if err != nil {
				r.config.Journal.Info("job not looked up", "job", id, "error", err.Error())
				continue
			}
			now := time.Now()
			r.locked(func() { r.leader.HandleLookup(id, stored, now, now) })
			r.kick()
		}
	}
}

// readJob reads one job's rows, or nil if it has none.
func (r *reign) readJob(ctx context.Context, id job.ID) (*fleet.StoredJob, error) {
	rows, err := r.config.Store.Get(ctx, record.JobKey(id), record.CancelKey(id), record.ProgressKey(id))
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
		r.addProgress(stored, rows[2])
	}
	return stored[id], nil
}
