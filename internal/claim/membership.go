package claim

import (
	"time"

	"github.com/lovagedyke/lovagedyke/internal/roster"
)

// ApplyRoster applies a roster read from the table, or received from a peer
// together with its row version. An older one is ignored.
func (r *Replica) ApplyRoster(now time.Time, next roster.Roster, rowVersion uint64) []Effect {
	if next.Version < r.roster.Version || rowVersion < r.rosterRowVersion {
		return r.flush(now)
	}
	r.rosterStale = false
	if rowVersion == r.rosterRowVersion {
		return r.flush(now)
	}
	changed := next.Version > r.roster.Version
	successive := next.Version == r.roster.Version+1
	r.roster = next
	r.rosterRowVersion = rowVersion
	if changed {
		r.assignBuckets(successive)
	}
	r.updateKeyStates()
	if changed {
		r.reroute(now)
	}
	return r.flush(now)
}

// assignBuckets sets the replicas of all buckets. A bucket stays loaded only if
// this process was its primary without interruption.
func (r *Replica) assignBuckets(successive bool) {
	for _, b := range r.buckets {
		wasPrimary := b.primary.Identity == r.config.Self
		b.primary, b.secondary = r.roster.Pair(b.key)
		isPrimary := b.primary.Identity == r.config.Self
		b.loaded = b.loaded && wasPrimary && isPrimary && successive
		b.loading = false
		b.nextLoadAt = time.Time{}
		if isPrimary {
			continue
		}
		for _, e := range b.entries {
			r.dropIfEmpty(e)
		}
	}
}

// updateKeyStates updates the roster states of the buckets of which this process is
// the primary. This process knows the claims it granted itself, so its own
// acknowledgement needs no row.
func (r *Replica) updateKeyStates() {
	r.acks[r.config.Self] = r.roster.Version
	for _, b := range r.buckets {
		b.keyState = roster.Pending
		if b.primary.Identity == r.config.Self {
			b.keyState, b.lostAt = r.roster.Status(b.key, r.acks)
		}
	}
}

// reroute answers or refuses pending claims that this process can no longer grant,
// and asks the new secondary about the others if the table is down.
func (r *Replica) reroute(now time.Time) {
	for _, e := range r.pendingEntries() {
		p := e.pending
		p.secondaryAskedAt = time.Time{}
		answer := Answer{Token: p.record.Token, Record: Record{ID: e.id}}
		if e.bucket.primary.Identity != r.config.Self {
			e.pending = nil
			answer.Outcome = OutcomeMoved
			r.sendAnswer(answer)
			r.dropIfEmpty(e)
			continue
		}
		if reason := r.refusalReason(now, e.bucket, e.id); reason != ReasonNone {
			r.withdraw(e)
			r.refuse(now, e.bucket, answer, reason)
			continue
		}
		if !r.tableUp {
			r.askSecondary(now, e)
		}
	}
}

// Tick performs the timed work that is due: timeouts, table probes, bucket loads,
// roster acknowledgements and the removal of expired claims.
func (r *Replica) Tick(now time.Time) []Effect {
	r.expirePending(now)
	if !now.Before(r.nextPoll) {
		r.nextPoll = now.Add(r.config.ProbeInterval)
		r.poll()
	}
	if r.tableUp {
		r.loadBuckets(now)
	}
	if !now.Before(r.nextExpiry) {
		r.nextExpiry = now.Add(r.config.MaxClockSkew)
		r.expireClaims(now)
	}
	return r.flush(now)
}

// expirePending handles pending claims that have waited too long for the table or
// the secondary.
func (r *Replica) expirePending(now time.Time) {
	for _, e := range r.pendingEntries() {
		p := e.pending
		slow := now.Sub(p.createdAt) >= r.config.TableTimeout
		if p.secondaryAskedAt.IsZero() && (slow || !r.tableUp) {
			r.askSecondary(now, e)
			continue
		}
		if !p.secondaryAskedAt.IsZero() && now.Sub(p.secondaryAskedAt) >= r.config.ConfirmTimeout {
			r.refusePending(now, e, ReasonSecondaryMissing)
		}
	}
}

// poll probes the table if it was down, acknowledges the roster version, and reads
// the other processes' acknowledgements while a bucket waits for them.
func (r *Replica) poll() {
	if !r.tableUp && !r.probing {
		r.probing = true
		r.emit(Get{Call: r.openCall(call{kind: callProbe}), Keys: []string{roster.Key}})
	}
	if !r.tableUp {
		return
	}
	r.acknowledge()
	if r.hasWaitingBucket() && !r.readingAcks {
		r.readingAcks = true
		r.emit(Scan{Call: r.openCall(call{kind: callReadAcks}), Prefix: roster.AckPrefix})
	}
}

// hasWaitingBucket reports whether a bucket of which this process is the primary
// waits for acknowledgements.
func (r *Replica) hasWaitingBucket() bool {
	for _, b := range r.buckets {
		if b.primary.Identity == r.config.Self && b.keyState == roster.Pending {
			return true
		}
	}
	return false
}

// loadBuckets reads the claims of buckets newly assigned to this primary. A bucket
// is read only after the former replicas have acknowledged the roster, so that the
// rows include all claims that former primaries granted.
func (r *Replica) loadBuckets(now time.Time) {
	for _, b := range r.buckets {
		if r.activeScans >= r.config.MaxScans {
			return
		}
		if r.loadable(now, b) {
			b.loading = true
			r.activeScans++
			r.emit(Scan{Call: r.openCall(call{kind: callLoad, bucket: b}), Prefix: bucketPrefix(b.number)})
		}
	}
}

// loadable reports whether the bucket can be loaded now.
func (r *Replica) loadable(now time.Time, b *bucket) bool {
	return b.primary.Identity == r.config.Self &&
		!b.loaded &&
		!b.loading &&
		b.keyState != roster.Pending &&
		!now.Before(b.nextLoadAt)
}

// handleLoadResult merges the rows of a loaded bucket. Rows read at a former roster
// version are discarded: another primary may have inserted claims since.
func (r *Replica) handleLoadResult(now time.Time, c call, result TableResult) {
	r.activeScans--
	b := c.bucket
	if c.version != r.roster.Version {
		return
	}
	b.loading = false
	b.nextLoadAt = now.Add(r.config.ProbeInterval)
	if result.Err != nil {
		r.handleTableDown(now)
		return
	}
	for _, row := range result.Rows {
		if !r.loadRow(now, b, row.Key, row.Value, row.Version) {
			b.nextLoadAt = now.Add(r.config.Retention)
			r.unload(b)
			return
		}
	}
	b.loaded = true
}

// loadRow merges one row. It returns false if the limit of entries is reached.
func (r *Replica) loadRow(now time.Time, b *bucket, key string, value []byte, version uint64) bool {
	record := decode(ID{}, value, now.Add(r.config.Retention))
	if record.ID.RowKey() != key {
		return true
	}
	e := b.entries[record.ID]
	if e == nil {
		e = r.createEntry(b, record.ID)
	}
	if e == nil {
		return false
	}
	wasDirty := e.dirty
	e.mergeRow(record, version)
	if e.dirty && !wasDirty {
		r.enqueue(e)
	}
	return true
}

// expireClaims queues the removal of expired claims from the table.
func (r *Replica) expireClaims(now time.Time) {
	for _, b := range r.buckets {
		for _, e := range b.entries {
			if e.idle() && r.expired(now, e.record) {
				e.dirty = true
				r.enqueue(e)
			}
		}
	}
}
