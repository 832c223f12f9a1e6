package charge

import (
	"time"

	"github.com/lovagedyke/lovagedyke/internal/roster"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

// Defaults of Config.
const (
	defaultMaxEntries    = 50_000
	defaultMaxBatch      = 64
	defaultRetryInterval = 500 * time.Millisecond
	defaultHoldTime      = 5 * time.Second
)

// Config sets up a Book. Only Self is required.
type Config struct {
	Self roster.Identity
	// MaxEntries bounds the own entries and, apart, those held for peers.
	MaxRecords int
	// MaxBatch bounds the entries of one transaction or message.
	MaxBatch int
	// RetryInterval is the time between attempts on a table that is down, and
	// before an unconfirmed mirror message is sent again.
	RetryInterval time.Duration
	// BatchInterval is the least time between two batches that are not full,
	// which bounds the load on the table; 0 writes at once.
	BatchInterval time.Duration
	// HoldTime is how long a held entry waits for its owner to write it.
	HoldTime time.Duration
}

// withDefaults fills in the fields that are not set.
func (c Config) withDefaults() Config {
	if c.MaxRecords == 0 {
		c.MaxRecords = defaultMaxEntries
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

// Commit asks for a table transaction; it gets one TableAnswer.
type Commit struct {
	Call uint64
	Txn  table.Txn
}

// Mirror asks the peer to hold entries.
type Mirror struct {
	To      roster.Member   `json:"to"`
	From    roster.Identity `json:"from"`
	Records []Record        `json:"entries"`
}

// Confirm tells which entries of a Mirror are held.
type Confirm struct {
	To   roster.Identity `json:"to"`
	From roster.Identity `json:"from"`
	Held []Record        `json:"held"`
}

// Forget tells the peer that the table has these entries.
type Forget struct {
	To      roster.Identity `json:"to"`
	Records []Record        `json:"entries"`
}

func (Commit) effect()  {}
func (Mirror) effect()  {}
func (Confirm) effect() {}
func (Forget) effect()  {}

// item is an entry that the table may lack.
type item struct {
	entry Record
	// due is when a held entry is written here.
	due time.Time
	// sentAt and peer tell of the last Mirror message.
	sentAt   time.Time
	mirrored bool
	peer     roster.Identity
	held     bool
	busy     bool
	queued   bool
}

// Book buffers the charges of one entry and those it holds for peers.
type Recorder struct {
	config   Config
	peer     roster.Member
	sequence uint64
	items    map[RunID]*item
	queue    []*item
	own      int
	held     int
	dropped  uint64
	tableUp  bool
	retryAt  time.Time
	batchAt  time.Time
	call     uint64
	batch    []*item
	written  []Record
	out      []Effect
}

// New returns an empty Book.
func New(config Config) *Recorder {
	return &Recorder{config: config.withDefaults(), items: make(map[RunID]*item), tableUp: true}
}

// Run returns the id for the next attempt.
func (b *Recorder) NewRunID() RunID {
	b.sequence++
	return RunID{Entry: b.config.Self, Sequence: b.sequence}
}

// Answered charges a run whose whole answer arrived and went to the caller, or
// settled its claim.
func (b *Recorder) RecordCharge(now time.Time, charge Charge) []Effect {
	return b.record(now, Record{Charge: charge})
}

// Unproven lists a run for the operator. It changes nothing for a run that is
// charged already.
func (b *Recorder) RecordUnproven(now time.Time, charge Charge, reason Reason) []Effect {
	return b.record(now, Record{Charge: charge, Reason: reason})
}

// record buffers an entry of this process.
func (b *Recorder) record(now time.Time, entry Record) []Effect {
	if !b.put(now, entry, false) {
		b.dropped++
	}
	if !b.tableUp {
		b.mirror(now)
	}
	return b.flush(now)
}

// put buffers an entry; false if there is no room. A charge replaces the same
// run's unproven entry, never the other way round.
func (b *Recorder) put(now time.Time, entry Record, held bool) bool {
	it := b.items[entry.Charge.Run]
	if it == nil {
		it = b.create(entry, held)
		if it == nil {
			return false
		}
		if held {
			it.due = now.Add(b.config.HoldTime)
		}
	}
	if it.entry.Reason != "" && entry.Reason == "" {
		it.entry = entry
		it.mirrored = false
		it.sentAt = time.Time{}
	}
	b.enqueue(it)
	return true
}

// create returns a new item, or nil if the buffer is full.
func (b *Recorder) create(entry Record, held bool) *item {
	count := &b.own
	if held {
		count = &b.held
	}
	if *count >= b.config.MaxRecords {
		return nil
	}
	*count++
	it := &item{entry: entry, held: held}
	b.items[entry.Charge.Run] = it
	return it
}

// enqueue has the item written with the next batch that has room.
func (b *Recorder) enqueue(it *item) {
	if it.queued || it.busy {
		return
	}
	it.queued = true
	b.queue = append(b.queue, it)
}

// forget drops an item that the table has.
func (b *Recorder) forget(it *item) {
	run := it.entry.Charge.Run
	if b.items[run] != it {
		return
	}
	delete(b.items, run)
	if it.held {
		b.held--
		return
	}
	b.own--
}

// RosterChange chooses the peer that mirrors. Entries go to the new one again.
func (b *Recorder) ApplyRoster(now time.Time, r roster.Roster) []Effect {
	home, second := r.Pair(Prefix + b.config.Self.Name)
	peer := home
	if home.Name == b.config.Self.Name {
		peer = second
	}
	if peer == b.peer {
		return b.flush(now)
	}
	b.peer = peer
	for _, it := range b.items {
		it.mirrored = false
		it.sentAt = time.Time{}
	}
	if !b.tableUp {
		b.mirror(now)
	}
	return b.flush(now)
}

// Tick retries the table, repeats mirror messages and writes held entries.
func (b *Recorder) Tick(now time.Time) []Effect {
	if !b.tableUp && !now.Before(b.retryAt) {
		b.tableUp = true
		b.mirror(now)
	}
	return b.flush(now)
}

// Drained reports whether the table has everything that is buffered here.
func (b *Recorder) Drained() bool {
	return len(b.items) == 0
}

// TableAnswer takes the result of a Commit.
func (b *Recorder) HandleTableResult(now time.Time, call uint64, err error) []Effect {
	if call != b.call || b.batch == nil {
		return b.flush(now)
	}
	batch, written := b.batch, b.written
	b.batch, b.written = nil, nil
	for _, it := range batch {
		it.busy = false
	}
	if err != nil {
		b.failed(now, batch)
		return b.flush(now)
	}
	forget := make(map[roster.Identity][]Record)
	for i, it := range batch {
		if it.entry.Reason != written[i].Reason {
			b.enqueue(it)
			continue
		}
		if it.mirrored {
			forget[it.peer] = append(forget[it.peer], it.entry)
		}
		b.forget(it)
	}
	if entries := forget[b.peer.Identity]; len(entries) > 0 {
		b.emit(Forget{To: b.peer.Identity, Records: entries})
	}
	return b.flush(now)
}

// failed puts a batch back. It is written again whether or not it took effect.
func (b *Recorder) failed(now time.Time, batch []*item) {
	for _, it := range batch {
		b.enqueue(it)
	}
	b.tableUp = false
	b.retryAt = now.Add(b.config.RetryInterval)
	b.mirror(now)
}

// commit starts a batch if none is under way.
func (b *Recorder) commit(now time.Time) {
	if b.batch != nil || !b.tableUp {
		return
	}
	if len(b.queue) < b.config.MaxBatch && now.Before(b.batchAt) {
		return
	}
	var later []*item
	txn := table.Txn{}
	for _, it := range b.queue {
		if b.items[it.entry.Charge.Run] != it {
			continue
		}
		if len(b.batch) == b.config.MaxBatch || now.Before(it.due) {
			later = append(later, it)
			continue
		}
		it.queued = false
		it.busy = true
		b.batch = append(b.batch, it)
		b.written = append(b.written, it.entry)
		txn.Writes = append(txn.Writes, it.entry.writes()...)
	}
	b.queue = later
	if b.batch == nil {
		return
	}
	b.batchAt = now.Add(b.config.BatchInterval)
	b.call++
	b.emit(Commit{Call: b.call, Txn: txn})
}

// emit adds an effect to those of the present call.
func (b *Recorder) emit(effect Effect) {
	b.out = append(b.out, effect)
}

// flush starts the commit that is due and returns the effects.
func (b *Recorder) flush(now time.Time) []Effect {
	b.commit(now)
	out := b.out
	b.out = nil
	return out
}
