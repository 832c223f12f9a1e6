package claim

import (
	"time"

	"github.com/lovagedyke/lovagedyke/internal/roster"
)

// Defaults of Config.
const (
	defaultRetention      = time.Hour
	defaultMaxClockSkew   = 10 * time.Second
	defaultConfirmTimeout = 500 * time.Millisecond
	defaultTableTimeout   = 300 * time.Millisecond
	defaultProbeInterval  = 500 * time.Millisecond
	defaultMaxEntries     = 50_000
	defaultMaxBatch       = 64
	defaultMaxScans       = 8
)

// Config configures a Replica. Only Self is required.
type Config struct {
	Self roster.Identity
	// Retention is how long a claim is kept to answer repeated requests.
	Retention time.Duration
	// MaxClockSkew is the maximum difference between a caller's clock and this
	// process's.
	MaxClockSkew time.Duration
	// ConfirmTimeout is how long to wait for the secondary's confirmation.
	ConfirmTimeout time.Duration
	// TableTimeout is how long a claim waits for the table before the secondary is
	// asked.
	TableTimeout time.Duration
	// ProbeInterval is the time between table probes, bucket loads and
	// acknowledgements.
	ProbeInterval time.Duration
	// MaxEntries is the maximum number of claims held in memory.
	MaxEntries int
	// MaxBatch is the maximum number of claims in one transaction.
	MaxBatch int
	// ClaimInterval is the minimum time between two transactions that are not
	// full, FinishInterval between two without a pending claim. They limit the
	// load on the table. 0 means no delay.
	ClaimInterval, FinishInterval time.Duration
	// MaxScans is the maximum number of buckets loaded concurrently.
	MaxScans int
}

// withDefaults replaces zero values by the defaults.
func (c Config) withDefaults() Config {
	c.Retention = orDefault(c.Retention, defaultRetention)
	c.MaxClockSkew = orDefault(c.MaxClockSkew, defaultMaxClockSkew)
	c.ConfirmTimeout = orDefault(c.ConfirmTimeout, defaultConfirmTimeout)
	c.TableTimeout = orDefault(c.TableTimeout, defaultTableTimeout)
	c.ProbeInterval = orDefault(c.ProbeInterval, defaultProbeInterval)
	c.MaxEntries = orDefault(c.MaxEntries, defaultMaxEntries)
	c.MaxBatch = orDefault(c.MaxBatch, defaultMaxBatch)
	c.MaxScans = orDefault(c.MaxScans, defaultMaxScans)
	return c
}

// orDefault returns value, or fallback if value is zero.
func orDefault[T time.Duration | int](value, fallback T) T {
	if value == 0 {
		return fallback
	}
	return value
}

// Replica manages the claims on the IDs for which this process is the primary or
// the secondary replica.
type Replica struct {
	config           Config
	roster           roster.Roster
	rosterRowVersion uint64
	// rosterStale is set once a commit has failed because the roster row changed.
	rosterStale  bool
	acks         roster.Acks
	ackedVersion uint64
	tableUp      bool
	buckets      []*bucket
	entryCount   int
	writeQueue   []*entry
	openCalls    map[uint64]call
	lastCall     uint64
	batch        *tableBatch
	lastBatchAt  time.Time
	activeScans  int
	// These are set while a table probe, the write of this process's
	// acknowledgement and the read of the others' acknowledgements are in flight.
	probing, acking, readingAcks bool
	nextPoll                     time.Time
	nextExpiry                   time.Time
	effects                      []Effect
}

// New returns a Replica that refuses every claim until it has a roster.
func New(config Config) *Replica {
	r := &Replica{
		config:    config.withDefaults(),
		acks:      make(roster.Acks),
		openCalls: make(map[uint64]call),
		tableUp:   true,
	}
	for number := range Buckets {
		r.buckets = append(r.buckets, newBucket(number))
	}
	return r
}

// Request requests permission to dispatch an attempt. It is answered by an Answer
// effect, either at once or after a table call or a confirmation.
func (r *Replica) Request(now time.Time, request Request) []Effect {
	r.handleRequest(now, request)
	return r.flush(now)
}

// handleRequest answers a Request, or makes a pending claim for it.
func (r *Replica) handleRequest(now time.Time, request Request) {
	b := r.buckets[request.ID.Bucket()]
	answer := Answer{Token: request.Token, Record: Record{ID: request.ID}}
	if request.Version > r.roster.Version {
		r.emit(StaleRoster{})
	}
	self := r.config.Self
	if b.primary.Identity != self || request.Token.Primary != self || request.Version > r.roster.Version {
		answer.Outcome = OutcomeMoved
		r.sendAnswer(answer)
		return
	}
	e := b.entries[request.ID]
	if e != nil && r.answerRepeat(now, e, request) {
		return
	}
	if reason := r.refusalReason(now, b, request.ID); reason != ReasonNone {
		r.refuse(now, b, answer, reason)
		return
	}
	if e == nil {
		e = r.createEntry(b, request.ID)
	}
	if e == nil {
		r.refuse(now, b, answer, ReasonFull)
		return
	}
	e.pending = &pendingClaim{createdAt: now, record: Record{
		ID:         request.ID,
		Digest:     request.Digest,
		Token:      request.Token,
		Generation: e.record.Generation + 1,
		State:      StateClaimed,
		ClaimedAt:  now,
		RunsUntil:  now.Add(request.RunLimit),
		Expires:    now.Add(r.config.Retention),
	}}
	r.enqueue(e)
	if !r.tableUp {
		r.askSecondary(now, e)
	}
}

// answerRepeat answers a request from the entry. It returns false if a new attempt
// may be claimed.
func (r *Replica) answerRepeat(now time.Time, e *entry, request Request) bool {
	answer := Answer{Token: request.Token, Record: e.record}
	if p := e.pending; p != nil {
		if p.record.Token == request.Token {
			return true
		}
		answer.Record = p.record
		answer.Outcome = OutcomeRunning
		answer.RetryAt = now.Add(r.config.ConfirmTimeout)
		if p.record.Digest != request.Digest {
			answer.Outcome = OutcomeConflict
		}
		r.sendAnswer(answer)
		return true
	}
	if e.record.claimable(now) {
		return false
	}
	r.sendAnswer(r.completeAnswer(now, answer, request.Digest))
	return true
}

// completeAnswer sets the outcome of an answer whose record holds an attempt.
func (r *Replica) completeAnswer(now time.Time, answer Answer, digest string) Answer {
	record := answer.Record
	switch {
	case record.Digest != digest && record.Digest != "":
		answer.Outcome = OutcomeConflict
	case record.State == StateRan:
		answer.Outcome = OutcomeRan
	case record.State == StateClaimed && record.Token == answer.Token:
		answer.Outcome = OutcomeGranted
	case record.State == StateClaimed && r.mayReport(now, record):
		answer.Outcome = OutcomeRunning
		answer.RetryAt = record.RunsUntil
	default:
		answer.Outcome = OutcomeUnknown
		answer.RetryAt = record.Expires
	}
	return answer
}

// mayReport reports whether the claimant may still report an outcome.
func (r *Replica) mayReport(now time.Time, record Record) bool {
	return now.Before(record.RunsUntil) && r.roster.Contains(record.Token.Claimant)
}

// refusalReason returns why the ID must not be claimed now, or ReasonNone.
func (r *Replica) refusalReason(now time.Time, b *bucket, id ID) Reason {
	switch b.keyState {
	case roster.Pending:
		return ReasonNotSynced
	case roster.Lost:
		if now.Before(b.lostAt.Add(r.config.Retention)) && !createdAfter(id.Key, b.lostAt, now, r.config.MaxClockSkew) {
			return ReasonReplicasLost
		}
	}
	return ReasonNone
}

// refuse answers that the claim was refused. Only a primary that knows every claim
// on its IDs can answer that no attempt ran.
func (r *Replica) refuse(now time.Time, b *bucket, answer Answer, reason Reason) {
	answer.Reason = reason
	answer.RetryAt = now.Add(r.config.ProbeInterval)
	answer.Outcome = OutcomeUnknown
	switch {
	case reason == ReasonReplicasLost:
		answer.RetryAt = b.lostAt.Add(r.config.Retention)
	case b.loaded && b.keyState != roster.Pending && answer.Record.claimable(now):
		answer.Outcome = OutcomeNotRun
	}
	r.sendAnswer(answer)
}

// Release withdraws an attempt: the claimant will never dispatch for the token.
// The claimant repeats it until it has reached the primary.
func (r *Replica) Release(now time.Time, id ID, token Token) []Effect {
	b := r.buckets[id.Bucket()]
	e := b.entries[id]
	if e == nil {
		return r.flush(now)
	}
	if e.pending != nil && e.pending.record.Token == token {
		r.withdraw(e)
		return r.flush(now)
	}
	if e.record.Token == token && e.record.State == StateClaimed {
		r.setState(e, StateNotRun, nil)
	}
	return r.flush(now)
}

// Finish records the outcome of a granted attempt: StateRan with its result, or
// StateUnknown. The record must be the one from the grant. Finish returns false if
// this process is not the ID's primary or its memory is full.
func (r *Replica) Finish(now time.Time, record Record, state State, result *Result) (recorded bool, effects []Effect) {
	b := r.buckets[record.ID.Bucket()]
	if b.primary.Identity != r.config.Self {
		return false, r.flush(now)
	}
	e := b.entries[record.ID]
	if e == nil {
		e = r.createEntry(b, record.ID)
	}
	if e == nil {
		return false, r.flush(now)
	}
	record.State = state
	record.Result = result
	merged := Merge(e.record, record)
	if !merged.equivalent(e.record) {
		e.record = merged
		e.dirty = true
		r.enqueue(e)
	}
	return true, r.flush(now)
}

// setState sets the state of the entry's record and queues it for writing.
func (r *Replica) setState(e *entry, state State, result *Result) {
	e.record.State = state
	e.record.Result = result
	e.dirty = true
	r.enqueue(e)
}

// withdraw removes a pending claim that was not granted. If the table or the
// secondary may have recorded it, a record in StateNotRun replaces it.
func (r *Replica) withdraw(e *entry) {
	p := e.pending
	e.pending = nil
	if p.maybeRecorded {
		p.record.State = StateNotRun
		e.record = Merge(e.record, p.record)
		e.dirty = true
		r.enqueue(e)
		return
	}
	r.dropIfEmpty(e)
}

// grant makes the pending claim the entry's record and sends OutcomeGranted to the
// claimant.
func (r *Replica) grant(e *entry) {
	e.record = e.pending.record
	e.pending = nil
	r.sendAnswer(Answer{Token: e.record.Token, Outcome: OutcomeGranted, Record: e.record})
}

// createEntry adds an entry, or returns nil if the limit of entries is reached.
func (r *Replica) createEntry(b *bucket, id ID) *entry {
	if r.entryCount >= r.config.MaxEntries {
		r.unload(b)
	}
	if r.entryCount >= r.config.MaxEntries {
		return nil
	}
	e := &entry{bucket: b, id: id}
	if b.loaded {
		e.rowKnown = true
	}
	b.entries[id] = e
	r.entryCount++
	return e
}

// dropIfEmpty removes an idle entry if it has no record or this process is not its
// primary.
func (r *Replica) dropIfEmpty(e *entry) {
	empty := e.record.Generation == 0
	notPrimary := e.bucket.primary.Identity != r.config.Self
	if e.idle() && (empty || notPrimary) {
		r.removeEntry(e)
	}
}

// removeEntry removes an entry from its bucket.
func (r *Replica) removeEntry(e *entry) {
	if e.bucket.entries[e.id] == e {
		delete(e.bucket.entries, e.id)
		r.entryCount--
	}
}

// unload frees memory by removing the entries that the table holds too. Afterwards
// the bucket cannot be served without the table.
func (r *Replica) unload(b *bucket) {
	b.loaded = false
	for _, e := range b.entries {
		if e.idle() {
			r.removeEntry(e)
		}
	}
}

// sendAnswer emits an answer with the current roster version.
func (r *Replica) sendAnswer(answer Answer) {
	answer.Version = r.roster.Version
	r.emit(answer)
}

// emit adds an effect to those that the current method call returns.
func (r *Replica) emit(effect Effect) {
	r.effects = append(r.effects, effect)
}

// flush starts the next batch if it is due, and returns the effects.
func (r *Replica) flush(now time.Time) []Effect {
	r.startBatch(now)
	out := r.effects
	r.effects = nil
	return out
}
