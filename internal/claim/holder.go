package claim

import (
	"time"

	"github.com/lovagedyke/lovagedyke/internal/roster"
)

// Defaults of Config.
const (
	defaultRetention      = time.Hour
	defaultSkew           = 10 * time.Second
	defaultConfirmTimeout = 500 * time.Millisecond
	defaultSlowTable      = 300 * time.Millisecond
	defaultProbeInterval  = 500 * time.Millisecond
	defaultMaxEntries     = 50_000
	defaultMaxBatch       = 64
	defaultMaxScans       = 8
)

// Config sets up a Holder. Only Self is required.
type Config struct {
	Self roster.Identity
	// Retention is how long a claim answers repeats.
	Retention time.Duration
	// Skew bounds the difference between callers' clocks and ours.
	MaxClockSkew time.Duration
	// ConfirmTimeout is how long the second may take.
	ConfirmTimeout time.Duration
	// SlowTable is the age at which a claim no longer waits for the table.
	TableTimeout time.Duration
	// ProbeInterval is the time between table probes, loads and acknowledgements.
	ProbeInterval time.Duration
	// MaxEntries bounds the claims held in memory.
	MaxEntries int
	// MaxBatch bounds the claims in one transaction.
	MaxBatch int
	// ClaimInterval is the least time between two transactions that are not
	// full, and FinishInterval between two without a pending claim; they bound
	// the load on the table. 0 writes at once.
	ClaimInterval, FinishInterval time.Duration
	// MaxScans bounds the buckets that are loaded at a time.
	MaxScans int
}

// withDefaults fills in the fields that are not set.
func (c Config) withDefaults() Config {
	c.Retention = orDefault(c.Retention, defaultRetention)
	c.MaxClockSkew = orDefault(c.MaxClockSkew, defaultSkew)
	c.ConfirmTimeout = orDefault(c.ConfirmTimeout, defaultConfirmTimeout)
	c.TableTimeout = orDefault(c.TableTimeout, defaultSlowTable)
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

// Holder answers for the ids whose home or second this process is.
type Replica struct {
	config     Config
	roster     roster.Roster
	rowVersion uint64
	// stale means that a commit failed because the roster row has changed.
	stale   bool
	acks    roster.Acks
	acked   uint64
	tableUp bool
	buckets []*bucket
	count   int
	queue   []*entry
	calls   map[uint64]call
	last    uint64
	round   *round
	roundAt time.Time
	scans   int
	// polling means that a probe or an acknowledgement call is outstanding.
	probing, acking, polling bool
	nextPoll                 time.Time
	nextSweep                time.Time
	out                      []Effect
}

// New returns a Holder that refuses everything until it has a roster.
func New(config Config) *Replica {
	h := &Replica{
		config:  config.withDefaults(),
		acks:    make(roster.Acks),
		calls:   make(map[uint64]call),
		tableUp: true,
	}
	for number := range Buckets {
		h.buckets = append(h.buckets, newBucket(number))
	}
	return h
}

// Request asks for the right to dispatch an attempt. The answer comes as an
// Answer effect, now or after a table call or a confirmation.
func (h *Replica) Request(now time.Time, request Request) []Effect {
	h.request(now, request)
	return h.flush(now)
}

// request handles a Request.
func (h *Replica) request(now time.Time, request Request) {
	b := h.buckets[request.ID.Bucket()]
	answer := Answer{Token: request.Token, Record: Record{ID: request.ID}}
	if request.Version > h.roster.Version {
		h.emit(StaleRoster{})
	}
	self := h.config.Self
	if b.home.Identity != self || request.Token.Primary != self || request.Version > h.roster.Version {
		answer.Outcome = OutcomeMoved
		h.answer(answer)
		return
	}
	e := b.entries[request.ID]
	if e != nil && h.repeat(now, e, request) {
		return
	}
	if reason := h.obstacle(now, b, request.ID); reason != ReasonNone {
		h.refuse(now, b, answer, reason)
		return
	}
	if e == nil {
		e = h.create(b, request.ID)
	}
	if e == nil {
		h.refuse(now, b, answer, ReasonFull)
		return
	}
	e.pending = &pending{since: now, record: Record{
		ID:         request.ID,
		Digest:     request.Digest,
		Token:      request.Token,
		Generation: e.record.Generation + 1,
		State:      StateClaimed,
		ClaimedAt:  now,
		RunsUntil:  now.Add(request.RunLimit),
		Expires:    now.Add(h.config.Retention),
	}}
	h.enqueue(e)
	if !h.tableUp {
		h.askSecond(now, e)
	}
}

// repeat answers from what is held of the id; false if a claim may be made.
func (h *Replica) repeat(now time.Time, e *entry, request Request) bool {
	answer := Answer{Token: request.Token, Record: e.record}
	if p := e.pending; p != nil {
		if p.record.Token == request.Token {
			return true
		}
		answer.Record = p.record
		answer.Outcome = OutcomeRunning
		answer.RetryAt = now.Add(h.config.ConfirmTimeout)
		if p.record.Digest != request.Digest {
			answer.Outcome = OutcomeConflict
		}
		h.answer(answer)
		return true
	}
	if e.record.open(now) {
		return false
	}
	h.answer(h.recorded(now, answer, request.Digest))
	return true
}

// recorded completes an answer whose record holds an attempt.
func (h *Replica) recorded(now time.Time, answer Answer, digest string) Answer {
	record := answer.Record
	switch {
	case record.Digest != digest && record.Digest != "":
		answer.Outcome = OutcomeConflict
	case record.State == StateRan:
		answer.Outcome = OutcomeRan
	case record.State == StateClaimed && record.Token == answer.Token:
		answer.Outcome = OutcomeGranted
	case record.State == StateClaimed && h.running(now, record):
		answer.Outcome = OutcomeRunning
		answer.RetryAt = record.RunsUntil
	default:
		answer.Outcome = OutcomeUnknown
		answer.RetryAt = record.Expires
	}
	return answer
}

// running reports whether the claimant may still report an outcome.
func (h *Replica) running(now time.Time, record Record) bool {
	return now.Before(record.RunsUntil) && h.roster.Contains(record.Token.Claimant)
}

// obstacle says why no claim may be made on the id now.
func (h *Replica) obstacle(now time.Time, b *bucket, id ID) Reason {
	switch b.standing {
	case roster.Pending:
		return ReasonNotSynced
	case roster.Lost:
		if now.Before(b.lostAt.Add(h.config.Retention)) && !freshSince(id.Key, b.lostAt, now, h.config.MaxClockSkew) {
			return ReasonReplicasLost
		}
	}
	return ReasonNone
}

// refuse answers that no claim was made. Only a home that knows every claim on
// its ids can say that none ran.
func (h *Replica) refuse(now time.Time, b *bucket, answer Answer, reason Reason) {
	answer.Reason = reason
	answer.RetryAt = now.Add(h.config.ProbeInterval)
	answer.Outcome = OutcomeUnknown
	switch {
	case reason == ReasonReplicasLost:
		answer.RetryAt = b.lostAt.Add(h.config.Retention)
	case b.loaded && b.standing != roster.Pending && answer.Record.open(now):
		answer.Outcome = OutcomeNotRun
	}
	h.answer(answer)
}

// Release tells that the claimant will never dispatch for the token. It is
// called again until the claimant has reached the home.
func (h *Replica) Release(now time.Time, id ID, token Token) []Effect {
	b := h.buckets[id.Bucket()]
	e := b.entries[id]
	if e == nil {
		return h.flush(now)
	}
	if e.pending != nil && e.pending.record.Token == token {
		h.withdraw(e)
		return h.flush(now)
	}
	if e.record.Token == token && e.record.State == StateClaimed {
		h.note(e, StateNotRun, nil)
	}
	return h.flush(now)
}

// Finish records the outcome of a granted attempt: StateRan with its result,
// or StateUnknown. The record is the one that came with the grant. It reports
// false if this process is not the id's home.
func (h *Replica) Finish(now time.Time, record Record, state State, result *Result) (recorded bool, effects []Effect) {
	b := h.buckets[record.ID.Bucket()]
	if b.home.Identity != h.config.Self {
		return false, h.flush(now)
	}
	e := b.entries[record.ID]
	if e == nil {
		e = h.create(b, record.ID)
	}
	if e == nil {
		return false, h.flush(now)
	}
	record.State = state
	record.Result = result
	merged := Merge(e.record, record)
	if !merged.same(e.record) {
		e.record = merged
		e.dirty = true
		h.enqueue(e)
	}
	return true, h.flush(now)
}

// note sets the state of the held record.
func (h *Replica) note(e *entry, state State, result *Result) {
	e.record.State = state
	e.record.Result = result
	e.dirty = true
	h.enqueue(e)
}

// withdraw drops a pending claim that was not granted. Table or second may
// have recorded it, so a tried claim leaves a record that it did not run.
func (h *Replica) withdraw(e *entry) {
	p := e.pending
	e.pending = nil
	if p.tried {
		p.record.State = StateNotRun
		e.record = Merge(e.record, p.record)
		e.dirty = true
		h.enqueue(e)
		return
	}
	h.drop(e)
}

// grant makes the pending claim the record and lets the claimant dispatch.
func (h *Replica) grant(e *entry) {
	e.record = e.pending.record
	e.pending = nil
	h.answer(Answer{Token: e.record.Token, Outcome: OutcomeGranted, Record: e.record})
}

// create adds an entry, or returns nil if memory is full.
func (h *Replica) create(b *bucket, id ID) *entry {
	if h.count >= h.config.MaxEntries {
		h.unload(b)
	}
	if h.count >= h.config.MaxEntries {
		return nil
	}
	e := &entry{bucket: b, id: id}
	if b.loaded {
		e.rowKnown = true
	}
	b.entries[id] = e
	h.count++
	return e
}

// drop forgets an entry that holds nothing.
func (h *Replica) drop(e *entry) {
	empty := e.record.Generation == 0
	foreign := e.bucket.home.Identity != h.config.Self
	if e.idle() && (empty || foreign) {
		h.forget(e)
	}
}

// forget removes an entry.
func (h *Replica) forget(e *entry) {
	if e.bucket.entries[e.id] == e {
		delete(e.bucket.entries, e.id)
		h.count--
	}
}

// unload makes room by dropping what the table holds too. The bucket can then
// not be served without the table.
func (h *Replica) unload(b *bucket) {
	b.loaded = false
	for _, e := range b.entries {
		if e.idle() {
			h.forget(e)
		}
	}
}

// answer emits an answer with the present roster version.
func (h *Replica) answer(answer Answer) {
	answer.Version = h.roster.Version
	h.emit(answer)
}

// emit adds an effect to those of the present call.
func (h *Replica) emit(effect Effect) {
	h.out = append(h.out, effect)
}

// flush starts the table calls that are due and returns the effects.
func (h *Replica) flush(now time.Time) []Effect {
	h.startRound(now)
	out := h.out
	h.out = nil
	return out
}
