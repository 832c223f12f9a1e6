package control

import (
	"context"
	"maps"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/evacuation"
	"github.com/lovagedyke/lovagedyke/internal/fleet"
	"github.com/lovagedyke/lovagedyke/internal/job"
	"github.com/lovagedyke/lovagedyke/internal/loops"
	"github.com/lovagedyke/lovagedyke/internal/record"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

// load reads the former leaders' rows, retrying until it succeeds or the term ends.
// It returns, by table, the version from which to follow the rows that were read.
func (t *term) load() (map[string]uint64, bool) {
	for t.ctx.Err() == nil {
		started := time.Now()
		rows, err := t.readRows()
		if err == nil {
			t.initLeader(rows)
			metrics.GetOrCreateHistogram("leader_load_seconds").UpdateDuration(started)
			return rows.versions, true
		}
		t.config.Journal.Info("leader state not loaded from the store", "error", err.Error())
		if !loops.Sleep(t.ctx, loadRetryDelay) {
			return nil, false
		}
	}
	return nil, false
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
	t.applyEvacuations(now)
	for _, wave := range waves {
		t.leader.UpdateWave(wave, now)
	}
	for number, wave := range rows.waves {
		t.leader.LoadWave(number, wave.Done, wave.Complete)
	}
	for host, change := range rows.changes {
		t.leader.LoadHostChange(host, change.At, now.Round(0), now)
		if change.Wave != 0 {
			t.leader.LoadMaintenance(host, change.Wave, change.At, now.Round(0), now)
		}
	}
	t.leader.Load(rows.jobs, now, now)
	for _, id := range rows.earlyCancels {
		t.leader.CancelJob(id, now)
	}
	t.recordHostSizes()
	t.loaded.Store(true)
}

// loadedRows is the stored state that a new leader starts from.
type loadedRows struct {
	jobs []fleet.StoredJob
	// earlyCancels lists the cancelled jobs whose own rows were written after their
	// shard had been read: the feed of jobs brings them.
	earlyCancels []job.ID
	waves        map[int64]record.Wave
	changes      map[fleet.HostID]record.HostChange
	// versions holds, by table, a version such that all later changes of its rows can
	// be followed from there.
	versions map[string]uint64
}

// readRows reads jobs, cancels, progress, waves and host changes, and brings the set of evacuated
// data centres up to date.
func (t *term) readRows() (loadedRows, error) {
	stored := map[job.ID]*fleet.StoredJob{}
	jobRows, jobVersion, err := t.loadShards(record.JobTable)
	if err != nil {
		return loadedRows{}, err
	}
	for _, row := range jobRows {
		if job.IsRefusal(row.Value) {
			t.refusals.note(job.ID(record.LastSegment(row.Key)), row.Version, time.Now())
			continue
		}
		submission, err := job.DecodeSubmission(row.Value)
		if err != nil {
			t.config.Journal.Info("job row cannot be decoded", "key", row.Key, "version", row.Version, "error", err.Error())
			continue
		}
		stored[submission.ID] = &fleet.StoredJob{Submission: submission}
	}
	cancelRows, cancelVersion, err := t.loadShards(record.CancelTable)
	if err != nil {
		return loadedRows{}, err
	}
	var out loadedRows
	for _, row := range cancelRows {
		id := job.ID(record.LastSegment(row.Key))
		if entry := stored[id]; entry != nil {
			entry.Cancelled = true
		} else {
			out.earlyCancels = append(out.earlyCancels, id)
		}
	}
	rows, err := t.config.Store.Scan(t.ctx, record.ProgressPrefix)
	if err != nil {
		return loadedRows{}, err
	}
	for _, row := range rows {
		t.decodeProgress(stored, row)
	}
	t.config.Journal.Info("rows read", "jobs", len(jobRows), "job-bytes", byteCount(jobRows),
		"cancels", len(cancelRows), "progress", len(rows), "progress-bytes", byteCount(rows))
	out.versions = map[string]uint64{record.JobTable: jobVersion, record.CancelTable: cancelVersion}
	for _, entry := range stored {
		out.jobs = append(out.jobs, *entry)
	}
	if out.waves, err = t.readWaves(); err != nil {
		return loadedRows{}, err
	}
	if out.changes, err = t.readChanges(); err != nil {
		return loadedRows{}, err
	}
	return out, t.readEvacuations()
}

// readEvacuations reads the operators' evacuation requests, through a peer if this process does
// not reach the store, and passes them to the holder.
func (t *term) readEvacuations() error {
	if t.config.EvacuationRows == nil {
		return nil
	}
	prefix := t.config.EvacuationRows.Prefix()
	rows, version, err := t.config.Feed.ScanAt(t.ctx, prefix)
	if err == nil {
		t.config.Evacuations.Update(t.config.EvacuationRows.Decode(rows, version), evacuation.SourceStore)
		return nil
	}
	if !errors.Is(err, table.ErrUnavailable) {
		return err
	}
	if rows, err = t.config.Store.Scan(t.ctx, prefix); err != nil {
		return err
	}
	// The version of a relayed read is not known. It is at least that of the newest row, and a
	// newer set of the holder has all these rows or knows of their removal.
	for _, row := range rows {
		version = max(version, row.Version)
	}
	t.config.Evacuations.Update(t.config.EvacuationRows.Decode(rows, version), evacuation.SourcePeerStore)
	return nil
}

// loadShards reads all shards of the jobs or of the cancels, through peers if this
// process does not reach the store; the version is then 0, not known.
func (t *term) loadShards(tableName string) ([]table.Row, uint64, error) {
	rows, version, err := t.readShards(t.ctx, tableName)
	if !errors.Is(err, table.ErrUnavailable) {
		return rows, version, err
	}
	rows = nil
	for shard := range record.JobShards {
		shardRows, err := t.config.Store.Scan(t.ctx, shardPrefix(tableName, shard))
		if err != nil {
			return nil, 0, err
		}
		rows = append(rows, shardRows...)
	}
	return rows, 0, nil
}

// shardPrefix returns the prefix of a shard's rows in the jobs or the cancels.
func shardPrefix(tableName string, shard int) string {
	if tableName == record.CancelTable {
		return record.CancelPrefix(shard)
	}
	return record.JobPrefix(shard)
}

// byteCount returns the size of the rows' values.
func byteCount(rows []table.Row) int {
	sum := 0
	for _, row := range rows {
		sum += len(row.Value)
	}
	return sum
}

// readShards reads all shards of the jobs or of the cancels, and returns the version
// to follow from: that of the first shard read, so that no change is missed in between.
func (t *term) readShards(ctx context.Context, tableName string) ([]table.Row, uint64, error) {
	var all []table.Row
	first := uint64(0)
	for shard := range record.JobShards {
		rows, version, err := t.config.Feed.ScanAt(ctx, shardPrefix(tableName, shard))
		if err != nil {
			return nil, 0, err
		}
		if first == 0 {
			first = version
		}
		all = append(all, rows...)
	}
	return all, first, nil
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

// decodeProgress decodes a progress row into the job that it belongs to.
func (t *term) decodeProgress(stored map[job.ID]*fleet.StoredJob, row table.Row) {
	entry := stored[job.ID(record.LastSegment(row.Key))]
	if entry == nil {
		return
	}
	progress, err := job.DecodeProgress(entry.Submission, row.Value)
	if err != nil {
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
		wave, err := record.DecodeWave(row.Value)
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
			t.locked(partJobs, func() { t.leader.HandleLookup(id, stored, now, now) })
			t.requestStep()
		}
	}
}

// readJob reads one job's rows. It returns nil if the job does not exist, or was refused.
func (t *term) readJob(ctx context.Context, id job.ID) (*fleet.StoredJob, error) {
	rows, err := t.config.Store.Get(ctx, record.JobKey(id), record.CancelKey(id), record.ProgressKey(id))
	if err != nil {
		return nil, err
	}
	if rows[0].Version == table.Absent || job.IsRefusal(rows[0].Value) {
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
