package charge

import (
	"time"

	"github.com/lovagedyke/lovagedyke/internal/roster"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

// Defaults of Config.
const (
	defaultMaxRecords    = 50_000
	defaultMaxBatch      = 64
	defaultRetryInterval = 500 * time.Millisecond
	defaultHoldTime      = 5 * time.Second
)

// Config configures a Recorder. Only Self is required.
type Config struct {
	Self roster.Identity
	// MaxRecords bounds the number of own records and, separately, of those
	// held for peers.
	MaxRecords int
	// MaxBatch bounds the records in one transaction or message.
	MaxBatch int
	// RetryInterval is the time between attempts while the table is down, and
	// before an unconfirmed mirror message is resent.
	RetryInterval time.Duration
	// BatchInterval is the minimum time between two batches that are not full.
	// It bounds the load on the table; 0 writes at once.
	BatchInterval time.Duration
	// HoldTime is how long a record held for a peer waits for the peer to write
	// it.
	HoldTime time.Duration
}

// withDefaults fills in the fields that are not set.
func (c Config) withDefaults() Config {
	if c.MaxRecords == 0 {
		c.MaxRecords = defaultMaxRecords
	}
	if c.MaxBatch == 0 {
		c.MaxBatch = defaultMaxBatch
	}
	if c.RetryInterval == 0 {
		c.RetryInterval = defaultRetryInterval
	}
	if c.HoldTime == 0 {
		c.HoldTime = defaultHoldTime
	}
	return c
}

// Effect is one of Commit, Mirror, Confirm, Forget.
type Effect interface{ effect() }

// Commit requests a table transaction. Its result is passed to
// HandleTableResult once.
type Commit struct {
	Call uint64
	Txn  table.Txn
}

// Mirror asks the peer to hold records.
type Mirror struct {
	To      roster.Member   `json:"to"`
	From    roster.Identity `json:"from"`
	Records []Record        `json:"entries"`
}

// Confirm lists the records of a Mirror that the peer holds.
type Confirm struct {
	To   roster.Identity `json:"to"`
	From roster.Identity `json:"from"`
	Held []Record        `json:"held"`
}

// Forget notifies the peer that these records are in the table.
type Forget struct {
	To      roster.Identity `json:"to"`
	Records []Record        `json:"entries"`
}

func (Commit) effect()  {}
func (Mirror) effect()  {}
func (Confirm) effect() {}
func (Forget) effect()  {}

// item is a record that may be missing in the table.
type item struct {
	record Record
	// due is when this process writes a record that it holds for a peer.
	due time.Time
	// sentAt is when the last Mirror message was sent, and peer who confirmed
	// one.
	sentAt     time.Time
	mirrored   bool
	peer       roster.Identity
	held       bool
	committing bool
	queued     bool
}

// Recorder buffers the charges of one entry and those that it holds for peers.
type Recorder struct {
	config       Config
	peer         roster.Member
	sequence     uint64
	items        map[RunID]*item
	queue        []*item
	own          int
	held         int
	dropped      uint64
	tableUp      bool
	retryAt      time.Time
	nextBatchAt  time.Time
	call         uint64
	batch        []*item
	batchRecords []Record
	effects      []Effect
}

// New returns an empty Recorder.
func New(config Config) *Recorder {
	return &Recorder{config: config.withDefaults(), items: make(map[RunID]*item), tableUp: true}
}

// NewRunID returns the ID for the next attempt.
func (r *Recorder) NewRunID() RunID {
	r.sequence++
	return RunID{Entry: r.config.Self, Sequence: r.sequence}
}

// RecordCharge charges a run whose complete response arrived and was passed to
// the caller or stored with its claim.
func (r *Recorder) RecordCharge(now time.Time, charge Charge) []Effect {
	return r.bufferOwn(now, Record{Charge: charge})
}

// RecordUnproven lists a run for the operator. It does nothing for a run that
// is already charged.
func (r *Recorder) RecordUnproven(now time.Time, charge Charge, reason Reason) []Effect {
	return r.bufferOwn(now, Record{Charge: charge, Reason: reason})
}

// bufferOwn buffers a record of this process.
func (r *Recorder) bufferOwn(now time.Time, record Record) []Effect {
	if !r.buffer(now, record, false) {
		r.dropped++
	}
	if !r.tableUp {
		r.mirror(now)
	}
	return r.flush(now)
}

// buffer adds a record, or returns false if the buffer is full. A charge
// replaces the unproven record of the same run, never the other way round.
func (r *Recorder) buffer(now time.Time, record Record, held bool) bool {
	it := r.items[record.Charge.Run]
	if it == nil {
		it = r.newItem(record, held)
		if it == nil {
			return false
		}
		if held {
			it.due = now.Add(r.config.HoldTime)
		}
	}
	if it.record.Reason != "" && record.Reason == "" {
		it.record = record
		it.mirrored = false
		it.sentAt = time.Time{}
	}
	r.enqueue(it)
	return true
}

// newItem adds an item for the record, or returns nil if the buffer is full.
func (r *Recorder) newItem(record Record, held bool) *item {
	count := &r.own
	if held {
		count = &r.held
	}
	if *count >= r.config.MaxRecords {
		return nil
	}
	*count++
	it := &item{record: record, held: held}
	r.items[record.Charge.Run] = it
	return it
}

// enqueue queues the item for the next batch that isn't full.
func (r *Recorder) enqueue(it *item) {
	if it.queued || it.committing {
		return
	}
	it.queued = true
	r.queue = append(r.queue, it)
}

// remove drops an item that is in the table.
func (r *Recorder) remove(it *item) {
	run := it.record.Charge.Run
	if r.items[run] != it {
		return
	}
	delete(r.items, run)
	if it.held {
		r.held--
		return
	}
	r.own--
}

// ApplyRoster chooses the peer that mirrors from the roster. A new peer is sent
// all records again.
func (r *Recorder) ApplyRoster(now time.Time, members roster.Roster) []Effect {
	primary, secondary := members.Pair(Prefix + r.config.Self.Name)
	peer := primary
	if primary.Name == r.config.Self.Name {
		peer = secondary
	}
	if peer == r.peer {
		return r.flush(now)
	}
	r.peer = peer
	for _, it := range r.items {
		it.mirrored = false
		it.sentAt = time.Time{}
	}
	if !r.tableUp {
		r.mirror(now)
	}
	return r.flush(now)
}

// Tick retries the table, resends mirror messages and writes held records that
// are due.
func (r *Recorder) Tick(now time.Time) []Effect {
	if !r.tableUp && !now.Before(r.retryAt) {
		r.tableUp = true
		r.mirror(now)
	}
	return r.flush(now)
}

// Drained reports whether all buffered records are in the table.
func (r *Recorder) Drained() bool {
	return len(r.items) == 0
}

// HandleTableResult handles the result of a Commit.
func (r *Recorder) HandleTableResult(now time.Time, call uint64, err error) []Effect {
	if call != r.call || r.batch == nil {
		return r.flush(now)
	}
	batch, batchRecords := r.batch, r.batchRecords
	r.batch, r.batchRecords = nil, nil
	for _, it := range batch {
		it.committing = false
	}
	if err != nil {
		r.retryBatch(now, batch)
		return r.flush(now)
	}
	written := make(map[roster.Identity][]Record)
	for i, it := range batch {
		if it.record.Reason != batchRecords[i].Reason {
			r.enqueue(it)
			continue
		}
		if it.mirrored {
			written[it.peer] = append(written[it.peer], it.record)
		}
		r.remove(it)
	}
	if records := written[r.peer.Identity]; len(records) > 0 {
		r.emit(Forget{To: r.peer.Identity, Records: records})
	}
	return r.flush(now)
}

// retryBatch requeues a batch. It is written again whether or not it took
// effect.
func (r *Recorder) retryBatch(now time.Time, batch []*item) {
	for _, it := range batch {
		r.enqueue(it)
	}
	r.tableUp = false
	r.retryAt = now.Add(r.config.RetryInterval)
	r.mirror(now)
}

// commitBatch starts a batch if none is in flight.
func (r *Recorder) commitBatch(now time.Time) {
	if r.batch != nil || !r.tableUp {
		return
	}
	if len(r.queue) < r.config.MaxBatch && now.Before(r.nextBatchAt) {
		return
	}
	var later []*item
	txn := table.Txn{}
	for _, it := range r.queue {
		if r.items[it.record.Charge.Run] != it {
			continue
		}
		if len(r.batch) == r.config.MaxBatch || now.Before(it.due) {
			later = append(later, it)
			continue
		}
		it.queued = false
		it.committing = true
		r.batch = append(r.batch, it)
		r.batchRecords = append(r.batchRecords, it.record)
		txn.Writes = append(txn.Writes, it.record.rowWrites()...)
	}
	r.queue = later
	if r.batch == nil {
		return
	}
	r.nextBatchAt = now.Add(r.config.BatchInterval)
	r.call++
	r.emit(Commit{Call: r.call, Txn: txn})
}

// emit adds an effect to those of the current call.
func (r *Recorder) emit(effect Effect) {
	r.effects = append(r.effects, effect)
}

// flush starts a batch if one is due and returns the effects.
func (r *Recorder) flush(now time.Time) []Effect {
	r.commitBatch(now)
	effects := r.effects
	r.effects = nil
	return effects
}
