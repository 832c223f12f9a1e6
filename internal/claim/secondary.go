package claim

import (
	"time"
)

// askSecondary asks the secondary to record a pending claim. If the bucket isn't
// loaded or has no secondary, the claim is refused while the table is down.
func (r *Replica) askSecondary(now time.Time, e *entry) {
	p := e.pending
	if !p.secondaryAskedAt.IsZero() {
		return
	}
	switch {
	case !e.bucket.loaded:
		r.refusePending(now, e, ReasonNotSynced)
	case e.bucket.secondary.Name == "":
		r.refusePending(now, e, ReasonSecondaryMissing)
	default:
		p.secondaryAskedAt = now
		p.maybeRecorded = true
		r.emit(AskSecondary{
			To:      e.bucket.secondary,
			From:    r.config.Self,
			Version: r.roster.Version,
			Record:  p.record,
		})
	}
}

// refusePending refuses a pending claim if the table is down. Otherwise the claim
// may still be written.
func (r *Replica) refusePending(now time.Time, e *entry, reason Reason) {
	if r.tableUp {
		return
	}
	answer := Answer{Token: e.pending.record.Token, Record: Record{ID: e.id}}
	r.withdraw(e)
	r.refuse(now, e.bucket, answer, reason)
}

// Mirror records a claim as the secondary and confirms it to the primary. It
// refuses if both do not have the same roster version.
func (r *Replica) Mirror(now time.Time, ask AskSecondary) []Effect {
	b := r.buckets[ask.Record.ID.Bucket()]
	confirm := Confirm{
		To:      ask.From,
		From:    r.config.Self,
		Version: r.roster.Version,
		Record:  ask.Record,
	}
	accepted := ask.Version == r.roster.Version &&
		b.secondary.Identity == r.config.Self &&
		b.primary.Identity == ask.From
	if accepted {
		confirm.Recorded = r.recordMirror(now, b, ask.Record)
	}
	if ask.Version > r.roster.Version {
		r.emit(StaleRoster{})
	}
	r.emit(confirm)
	return r.flush(now)
}

// recordMirror records the claim. It returns false if the limit of entries is
// reached, the claim has expired or the entry has a different record.
func (r *Replica) recordMirror(now time.Time, b *bucket, record Record) bool {
	e := b.entries[record.ID]
	if e == nil {
		e = r.createEntry(b, record.ID)
	}
	if e == nil || r.expired(now, record) {
		return false
	}
	merged := Merge(e.record, record)
	if !merged.equivalent(record) {
		return false
	}
	e.record = merged
	r.markUnpersisted(e)
	return true
}

// markUnpersisted marks a record that was granted or mirrored without the table.
func (r *Replica) markUnpersisted(e *entry) {
	e.dirty = true
	if e.unpersistedVersion == 0 {
		e.unpersistedVersion = r.roster.Version
	}
	r.enqueue(e)
}

// HandleConfirm handles the secondary's answer to an AskSecondary.
func (r *Replica) HandleConfirm(now time.Time, confirm Confirm) []Effect {
	id := confirm.Record.ID
	e := r.buckets[id.Bucket()].entries[id]
	if confirm.Version > r.roster.Version {
		r.emit(StaleRoster{})
	}
	if e == nil || !r.matchesPending(e, confirm) {
		return r.flush(now)
	}
	if !confirm.Recorded {
		r.refusePending(now, e, ReasonSecondaryMissing)
		return r.flush(now)
	}
	r.grant(e)
	r.markUnpersisted(e)
	return r.flush(now)
}

// matchesPending reports whether the confirmation is for the pending claim and the
// current roster version.
func (r *Replica) matchesPending(e *entry, confirm Confirm) bool {
	p := e.pending
	return p != nil &&
		!p.secondaryAskedAt.IsZero() &&
		p.record.equivalent(confirm.Record) &&
		confirm.Version == r.roster.Version &&
		e.bucket.secondary.Identity == confirm.From
}
