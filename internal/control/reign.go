package control

import (
	"context"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/lovagedyke/lovagedyke/internal/fleet"
	"github.com/lovagedyke/lovagedyke/internal/job"
	"github.com/lovagedyke/lovagedyke/internal/loops"
	"github.com/lovagedyke/lovagedyke/internal/policy"
	"github.com/lovagedyke/lovagedyke/internal/record"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

const (
	// stepEvery is the longest time between two steps, for what depends on time alone.
	stepEvery = 100 * time.Millisecond
	// stepPause gathers events that arrive together into one step.
	stepPause = 8 * time.Millisecond
	// batchPause is the shortest time between two batches, since each call to the store is charged.
	batchPause = 30 * time.Millisecond
	// batchRetry is the time before a batch that was not written is tried again.
	batchRetry = 100 * time.Millisecond
	// renewEvery is the time between two renewals of the claim.
	renewEvery = time.Second
	// loadRetry is the time before the rows are read again after a failure.
	loadRetry = 150 * time.Millisecond
	// pendingLookups is how many jobs wait to be looked up, and lookupReaders how
	// many are read at a time.
	pendingLookups = 256
	lookupReaders  = 4
	// forgetEvery is the time between two removals of old rows, and forgetMost
	// how many jobs one removes: a transaction has 100 entries.
	forgetEvery = 5 * time.Second
	forgetMost  = 40
)

// reign is one leadership.
type reign struct {
	control *Control
	config  Config
	ctx     context.Context
	claim   record.Claim
	writer  *writer
	group   *loops.Group

	mu        sync.Mutex
	leader    *fleet.Leader
	loaded    bool
	endpoints map[fleet.EndpointID]*endpointWorker
	// kicks wakes the step loop, dirty the batch loop.
	kicks, dirty chan struct{}
	orders       chan hostOrder
	asks         chan fleet.Ask
	lookups      chan job.ID
}

func newReign(ctx context.Context, c *Control, claim record.Claim, version uint64) *reign {
	r := &reign{
		control: c, config: c.config, ctx: ctx, claim: claim,
		leader: fleet.New(fleet.Config{
			Token: claim.Token, Now: time.Now(), Bounds: c.config.Bounds, Journal: c.config.Journal,
		}),
		endpoints: map[fleet.EndpointID]*endpointWorker{},
		kicks:     make(chan struct{}, 1), dirty: make(chan struct{}, 1),
		orders: make(chan hostOrder, hostOrders), asks: make(chan fleet.Ask, pendingAsks),
		lookups: make(chan job.ID, pendingLookups),
	}
	r.writer = newWriter(writerConfig{
		Store: c.config.Store, Journal: c.config.Journal, Token: claim.Token, ClaimVersion: version,
		Confirmed: func(sentAt time.Time) { r.locked(func() { r.leader.Confirm(sentAt) }) },
		Lost:      func() { c.config.Lost(claim.Token, "the claim has changed") },
	})
	return r
}

// run leads until the leadership's context ends.
func (r *reign) run() {
	if !r.load() {
		return
	}
	r.group = loops.New(r.ctx)
	r.group.Go(r.endpointFeed)
	r.group.Go(func(ctx context.Context) { r.rowFeed(ctx, record.JobTable, r.jobRow) })
	r.group.Go(func(ctx context.Context) { r.rowFeed(ctx, record.CancelTable, r.cancelRow) })
	r.group.Go(r.batchLoop)
	r.group.Go(r.stepLoop)
	r.group.Go(r.hostFeed)
	r.group.Go(r.hostLoop)
	r.group.Go(r.forgetLoop)
	for range lookupReaders {
		r.group.Go(r.lookupLoop)
	}
	if r.config.Advice != nil {
		for range adviceCallers {
			r.group.Go(r.adviceLoop)
		}
	}
	r.group.Wait()
}

// locked runs f under the leader's lock, which it gives back also when f finds
// a broken invariant: the process has to be able to end.
func (r *reign) locked(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

// kick asks for a step.
func (r *reign) kick() {
	signal(r.kicks)
	signal(r.dirty)
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// sleep waits; it reports whether ctx still lives.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

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
		r.config.Journal.Note("rows not loaded", "error", err.Error())
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
		r.leader.WaveListed(wave, now)
	}
	for number, wave := range rows.waves {
		r.leader.WaveLoaded(number, wave.Done, wave.Complete)
	}
	for host, change := range rows.changes {
		r.leader.ChangeLoaded(host, change.At, now.Round(0), now)
	}
	r.leader.Load(rows.jobs, now, now)
	r.loaded = true
}

func (r *reign) isLoaded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.loaded
}

// loadedRows is what the store holds when a leadership begins.
type loadedRows struct {
	jobs    []fleet.Stored
	waves   map[int64]record.Wave
	changes map[fleet.HostID]record.Change
}

// readRows reads jobs, cancels, progress, waves and changes of hosts.
func (r *reign) readRows() (loadedRows, error) {
	cancelled := map[job.ID]bool{}
	stored := map[job.ID]*fleet.Stored{}
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
func (r *reign) readChanges() (map[fleet.HostID]record.Change, error) {
	rows, err := r.config.Store.Scan(r.ctx, record.ChangePrefix)
	if err != nil {
		return nil, err
	}
	changes := map[fleet.HostID]record.Change{}
	for _, row := range rows {
		change, err := record.Decode[record.Change](row.Value)
		if err != nil {
			r.config.Journal.Note("change not readable", "key", row.Key, "version", row.Version, "error", err.Error())
			// As if it had been just now.
			change.At = time.Now().Round(0)
		}
		changes[fleet.HostID(record.IDOf(row.Key))] = change
	}
	return changes, nil
}

// readShard reads one part of the jobs and cancels.
func (r *reign) readShard(shard int, stored map[job.ID]*fleet.Stored, cancelled map[job.ID]bool) error {
	rows, err := r.config.Store.Scan(r.ctx, record.JobPrefix(shard))
	if err != nil {
		return err
	}
	for _, row := range rows {
		submission, err := job.DecodeSubmission(row.Value)
		if err != nil {
			r.config.Journal.Note("job not readable", "key", row.Key, "version", row.Version, "error", err.Error())
			continue
		}
		stored[submission.ID] = &fleet.Stored{Submission: submission}
	}
	rows, err = r.config.Store.Scan(r.ctx, record.CancelPrefix(shard))
	for _, row := range rows {
		cancelled[job.ID(record.IDOf(row.Key))] = true
	}
	return err
}

// addProgress decodes a progress row.
func (r *reign) addProgress(stored map[job.ID]*fleet.Stored, row table.Row) {
	entry := stored[job.ID(record.IDOf(row.Key))]
	if entry == nil {
		return
	}
	progress := job.NewProgress()
	if err := progress.UnmarshalJSON(row.Value); err != nil {
		r.config.Journal.Note("progress not readable", "key", row.Key, "version", row.Version, "error", err.Error())
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
			r.config.Journal.Note("wave not readable", "key", row.Key, "version", row.Version)
			continue
		}
		waves[number] = wave
	}
	return waves, nil
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
				r.config.Journal.Note("job not looked up", "job", id, "error", err.Error())
				continue
			}
			now := time.Now()
			r.locked(func() { r.leader.Found(id, stored, now, now) })
			r.kick()
		}
	}
}

// readJob reads one job's rows, or nil if it has none.
func (r *reign) readJob(ctx context.Context, id job.ID) (*fleet.Stored, error) {
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
	stored := map[job.ID]*fleet.Stored{id: {Submission: submission, Cancelled: rows[1].Version != table.Absent}}
	if rows[2].Version != table.Absent {
		r.addProgress(stored, rows[2])
	}
	return stored[id], nil
}

// setPolicy puts a configuration in force.
func (r *reign) setPolicy(current *policy.Policy) {
	r.locked(func() { r.leader.SetPolicy(current) })
	r.kick()
}

// setWave takes a wave.
func (r *reign) setWave(wave fleet.WaveRow) {
	r.locked(func() { r.leader.WaveListed(wave, time.Now()) })
	r.kick()
}

// accept takes a job that the store holds.
func (r *reign) accept(submission *job.Submission) {
	now := time.Now()
	r.locked(func() { r.leader.Accepted(submission, now, now) })
	r.kick()
}

// cancelled takes a cancel that the store holds.
func (r *reign) cancelled(id job.ID) {
	r.locked(func() { r.leader.Cancelled(id, time.Now()) })
	r.kick()
}

// jobRow takes a job's row from the feed.
func (r *reign) jobRow(change table.Change) {
	if change.Removed {
		return
	}
	submission, err := job.DecodeSubmission(change.Row.Value)
	if err != nil {
		r.config.Journal.Note("job not readable", "key", change.Row.Key, "version", change.Row.Version, "error", err.Error())
		return
	}
	r.accept(submission)
}

// cancelRow takes a cancel's row from the feed.
func (r *reign) cancelRow(change table.Change) {
	if !change.Removed {
		r.cancelled(job.ID(record.IDOf(change.Row.Key)))
	}
}

// stepLoop lets the leader decide, and sends its orders.
func (r *reign) stepLoop(ctx context.Context) {
	for {
		timer := time.NewTimer(stepEvery)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-r.kicks:
		case <-timer.C:
		}
		timer.Stop()
		r.step()
		if !sleep(ctx, stepPause) {
			return
		}
	}
}

// step decides once.
func (r *reign) step() {
	started := time.Now()
	followed := r.config.Followed()
	r.locked(func() {
		r.leader.Confirm(followed)
		r.sendAll(r.leader.Step(started, started))
	})
	metrics.GetOrCreateHistogram("leader_step_seconds").UpdateDuration(started)
}

// sendAll queues orders; r.mu is held.
func (r *reign) sendAll(orders fleet.Orders) {
	r.syncWorkers()
	workers := r.endpoints
	for _, start := range orders.Starts {
		r.send(workers[start.Endpoint], order{start: &start})
	}
	for _, stop := range orders.Stops {
		r.send(workers[stop.Endpoint], order{stop: &stop})
	}
	for _, pace := range orders.Paces {
		r.send(workers[pace.Endpoint], order{pace: &pace})
	}
	for _, id := range orders.Lookups {
		select {
		case r.lookups <- id:
		default:
			// It is asked for again.
		}
	}
	for _, ask := range orders.Asks {
		r.sendAsk(ask)
	}
	for _, move := range orders.Moves {
		r.sendHost(hostOrder{move: &move})
	}
	for _, upkeep := range orders.Upkeeps {
		r.sendHost(hostOrder{upkeep: &upkeep})
	}
}

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
	var waves []fleet.WaveNews
	hasNews := false
	r.locked(func() {
		batch, hasNews = r.leader.NextBatch()
		waves = r.leader.WaveNews()
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
		r.locked(func() { r.leader.BatchWritten(batch, time.Now()) })
		r.wakeEndpoints()
		r.kick()
	}
	return true
}

// tellWaves writes the rows in which operators read the waves' states.
func (r *reign) tellWaves(ctx context.Context, waves []fleet.WaveNews) {
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
		r.locked(func() { ids = r.leader.Forgettable(time.Now(), forgetMost) })
		if len(ids) > 0 && r.removeRows(ctx, ids) {
			r.locked(func() { r.leader.Forget(ids) })
		}
	}
}

// removeRows removes jobs before their progress: progress without a job means
// nothing, but a job without its progress would run again.
func (r *reign) removeRows(ctx context.Context, ids []job.ID) bool {
	byShard := map[int][]table.Write{}
	var progress table.Txn
	for _, id := range ids {
		shard := record.Shard(id)
		byShard[shard] = append(byShard[shard],
			table.Write{Key: record.JobKey(id), Delete: true}, table.Write{Key: record.CancelKey(id), Delete: true})
		progress.Writes = append(progress.Writes, table.Write{Key: record.ProgressKey(id), Delete: true})
	}
	for _, writes := range byShard {
		if err := r.config.Store.Commit(ctx, table.Txn{Writes: writes}); err != nil {
			r.config.Journal.Note("old rows not removed", "rows", len(writes), "error", err.Error())
			return false
		}
	}
	return r.writer.commit(ctx, progress, false)
}

// waveNumber returns the wave that a key names.
func waveNumber(key string) (int64, bool) {
	return parseNumber(strings.TrimPrefix(key, record.WavePrefix))
}
