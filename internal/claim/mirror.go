package claim

import (
	"time"
)

// askSecond has the second record a pending claim. A claim that it cannot
// vouch for is refused if the table is down.
func (h *Replica) askSecond(now time.Time, e *entry) {
	p := e.pending
	if !p.askedAt.IsZero() {
		return
	}
	switch {
	case !e.bucket.loaded:
		h.giveUp(now, e, ReasonNotSynced)
	case e.bucket.second.Name == "":
		h.giveUp(now, e, ReasonSecondaryMissing)
	default:
		p.askedAt = now
		p.tried = true
		h.emit(AskSecondary{
			To:      e.bucket.second,
			From:    h.config.Self,
			Version: h.roster.Version,
			Record:  p.record,
		})
	}
}

// giveUp refuses a pending claim unless the table may still take it.
func (h *Replica) giveUp(now time.Time, e *entry, reason Reason) {
	if h.tableUp {
		return
	}
	answer := Answer{Token: e.pending.record.Token, Record: Record{ID: e.id}}
	h.withdraw(e)
	h.refuse(now, e.bucket, answer, reason)
}

// Mirror records a claim for its home and confirms it. It refuses if the two
// do not hold the same roster version.
func (h *Replica) Mirror(now time.Time, ask AskSecondary) []Effect {
	b := h.buckets[ask.Record.ID.Bucket()]
	confirm := Confirm{
		To:      ask.From,
		From:    h.config.Self,
		Version: h.roster.Version,
		Record:  ask.Record,
	}
	agreed := ask.Version == h.roster.Version &&
		b.second.Identity == h.config.Self &&
		b.home.Identity == ask.From
	if agreed {
		confirm.Recorded = h.mirror(now, b, ask.Record)
	}
	if ask.Version > h.roster.Version {
		h.emit(StaleRoster{})
	}
	h.emit(confirm)
	return h.flush(now)
}

// mirror records the claim; false if there is no room or the record differs.
func (h *Replica) mirror(now time.Time, b *bucket, record Record) bool {
	e := b.entries[record.ID]
	if e == nil {
		e = h.create(b, record.ID)
	}
	if e == nil || h.expired(now, record) {
		return false
	}
	merged := Merge(e.record, record)
	if !merged.same(record) {
		return false
	}
	e.record = merged
	h.owe(e)
	return true
}

// owe marks a record that was granted or mirrored without the table.
func (h *Replica) owe(e *entry) {
	e.dirty = true
	if e.owed == 0 {
		e.owed = h.roster.Version
	}
	h.enqueue(e)
}

// PeerConfirm takes the second's answer to an AskSecond.
func (h *Replica) HandleConfirm(now time.Time, confirm Confirm) []Effect {
	id := confirm.Record.ID
	e := h.buckets[id.Bucket()].entries[id]
	if confirm.Version > h.roster.Version {
		h.emit(StaleRoster{})
	}
	if e == nil || !h.awaited(e, confirm) {
		return h.flush(now)
	}
	if !confirm.Recorded {
		h.giveUp(now, e, ReasonSecondaryMissing)
		return h.flush(now)
	}
	h.grant(e)
	h.owe(e)
	return h.flush(now)
}

// awaited reports whether the confirmation is for the claim that is pending,
// under the present roster version.
func (h *Replica) awaited(e *entry, confirm Confirm) bool {
	p := e.pending
	return p != nil &&
		!p.askedAt.IsZero() &&
		p.record.same(confirm.Record) &&
		confirm.Version == h.roster.Version &&
		e.bucket.second.Identity == confirm.From
}
