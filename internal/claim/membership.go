package claim

import (
	"time"

	"github.com/lovagedyke/lovagedyke/internal/roster"
)

// RosterChange takes the roster row as read from the table, or as heard from a
// peer together with its row version. An older one is ignored.
func (h *Replica) ApplyRoster(now time.Time, next roster.Roster, rowVersion uint64) []Effect {
	if next.Version < h.roster.Version || rowVersion < h.rowVersion {
		return h.flush(now)
	}
	h.stale = false
	if rowVersion == h.rowVersion {
		return h.flush(now)
	}
	changed := next.Version > h.roster.Version
	successive := next.Version == h.roster.Version+1
	h.roster = next
	h.rowVersion = rowVersion
	if changed {
		h.assign(successive)
	}
	h.assess()
	if changed {
		h.reroute(now)
	}
	return h.flush(now)
}

// assign sets the buckets' pairs. A bucket stays loaded only if this process
// was its home without a gap.
func (h *Replica) assign(successive bool) {
	for _, b := range h.buckets {
		was := b.home.Identity == h.config.Self
		b.home, b.second = h.roster.Pair(b.key)
		is := b.home.Identity == h.config.Self
		b.loaded = b.loaded && was && is && successive
		b.loading = false
		b.retryAt = time.Time{}
		if is {
			continue
		}
		for _, e := range b.entries {
			h.drop(e)
		}
	}
}

// assess sets the standings of this home's buckets. What this process granted itself it
// knows, so its own acknowledgement needs no row.
func (h *Replica) assess() {
	h.acks[h.config.Self] = h.roster.Version
	for _, b := range h.buckets {
		b.standing = roster.Pending
		if b.home.Identity == h.config.Self {
			b.standing, b.lostAt = h.roster.Status(b.key, h.acks)
		}
	}
}

// reroute sends pending claims to their new home or second.
func (h *Replica) reroute(now time.Time) {
	for _, e := range h.waiting() {
		p := e.pending
		p.askedAt = time.Time{}
		answer := Answer{Token: p.record.Token, Record: Record{ID: e.id}}
		if e.bucket.home.Identity != h.config.Self {
			e.pending = nil
			answer.Outcome = OutcomeMoved
			h.answer(answer)
			h.drop(e)
			continue
		}
		if reason := h.obstacle(now, e.bucket, e.id); reason != ReasonNone {
			h.withdraw(e)
			h.refuse(now, e.bucket, answer, reason)
			continue
		}
		if !h.tableUp {
			h.askSecond(now, e)
		}
	}
}

// Tick does what is due: timeouts, probes of the table, loads of buckets,
// acknowledgements of the roster, removal of expired claims.
func (h *Replica) Tick(now time.Time) []Effect {
	h.expireWaits(now)
	if !now.Before(h.nextPoll) {
		h.nextPoll = now.Add(h.config.ProbeInterval)
		h.poll()
	}
	if h.tableUp {
		h.load(now)
	}
	if !now.Before(h.nextSweep) {
		h.nextSweep = now.Add(h.config.MaxClockSkew)
		h.sweep(now)
	}
	return h.flush(now)
}

// expireWaits acts on claims that wait for the table or the second too long.
func (h *Replica) expireWaits(now time.Time) {
	for _, e := range h.waiting() {
		p := e.pending
		slow := now.Sub(p.since) >= h.config.TableTimeout
		if p.askedAt.IsZero() && (slow || !h.tableUp) {
			h.askSecond(now, e)
			continue
		}
		if !p.askedAt.IsZero() && now.Sub(p.askedAt) >= h.config.ConfirmTimeout {
			h.giveUp(now, e, ReasonSecondaryMissing)
		}
	}
}

// poll probes a table that was down, acknowledges the roster version, and
// reads the others' acknowledgements while a bucket waits for them.
func (h *Replica) poll() {
	if !h.tableUp && !h.probing {
		h.probing = true
		h.emit(Get{Call: h.open(call{kind: callProbe}), Keys: []string{roster.Key}})
	}
	if !h.tableUp {
		return
	}
	h.acknowledge()
	if h.waits() && !h.polling {
		h.polling = true
		h.emit(Scan{Call: h.open(call{kind: callPoll}), Prefix: roster.AckPrefix})
	}
}

// waits reports whether a bucket of this home waits for others.
func (h *Replica) waits() bool {
	for _, b := range h.buckets {
		if b.home.Identity == h.config.Self && b.standing == roster.Pending {
			return true
		}
	}
	return false
}

// load reads the claims of buckets that were assigned to this home. It starts
// after the bucket is settled, so that it sees all that former homes granted.
func (h *Replica) load(now time.Time) {
	for _, b := range h.buckets {
		if h.scans >= h.config.MaxScans {
			return
		}
		if h.loadable(now, b) {
			b.loading = true
			h.scans++
			h.emit(Scan{Call: h.open(call{kind: callLoad, bucket: b}), Prefix: bucketPrefix(b.number)})
		}
	}
}

// loadable reports whether the bucket can be loaded now.
func (h *Replica) loadable(now time.Time, b *bucket) bool {
	return b.home.Identity == h.config.Self &&
		!b.loaded &&
		!b.loading &&
		b.standing != roster.Pending &&
		!now.Before(b.retryAt)
}

// loadAnswered merges a loaded bucket. Rows read under a former roster version
// do not count: another home may have inserted since.
func (h *Replica) loadAnswered(now time.Time, c call, answer TableResult) {
	h.scans--
	b := c.bucket
	if c.version != h.roster.Version {
		return
	}
	b.loading = false
	b.retryAt = now.Add(h.config.ProbeInterval)
	if answer.Err != nil {
		h.tableDown(now)
		return
	}
	for _, row := range answer.Rows {
		if !h.loadRow(now, b, row.Key, row.Value, row.Version) {
			b.retryAt = now.Add(h.config.Retention)
			h.unload(b)
			return
		}
	}
	b.loaded = true
}

// loadRow merges one row; false if memory is full.
func (h *Replica) loadRow(now time.Time, b *bucket, key string, value []byte, version uint64) bool {
	record := decode(ID{}, value, now.Add(h.config.Retention))
	if record.ID.RowKey() != key {
		return true
	}
	e := b.entries[record.ID]
	if e == nil {
		e = h.create(b, record.ID)
	}
	if e == nil {
		return false
	}
	wasDirty := e.dirty
	e.absorb(record, version)
	if e.dirty && !wasDirty {
		h.enqueue(e)
	}
	return true
}

// sweep has expired claims removed from the table.
func (h *Replica) sweep(now time.Time) {
	for _, b := range h.buckets {
		for _, e := range b.entries {
			if e.idle() && h.expired(now, e.record) {
				e.dirty = true
				h.enqueue(e)
			}
		}
	}
}
