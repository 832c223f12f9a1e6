package charge

import (
	"time"

	"github.com/lovagedyke/lovagedyke/internal/roster"
)

// mirror sends the records that the peer has not confirmed.
func (r *Recorder) mirror(now time.Time) {
	if r.peer.Name == "" {
		return
	}
	var records []Record
	for _, it := range r.unpersisted() {
		if len(records) == r.config.MaxBatch {
			r.emit(Mirror{To: r.peer, From: r.config.Self, Records: records})
			records = nil
		}
		if it.held || it.mirrored || now.Sub(it.sentAt) < r.config.RetryInterval {
			continue
		}
		it.sentAt = now
		records = append(records, it.record)
	}
	if len(records) > 0 {
		r.emit(Mirror{To: r.peer, From: r.config.Self, Records: records})
	}
}

// unpersisted returns the items that may be missing in the table, oldest first.
func (r *Recorder) unpersisted() []*item {
	var unpersisted []*item
	unpersisted = append(unpersisted, r.batch...)
	return append(unpersisted, r.queue...)
}

// HandleMirror buffers a peer's records and confirms those that fit.
func (r *Recorder) HandleMirror(now time.Time, mirror Mirror) []Effect {
	confirm := Confirm{To: mirror.From, From: r.config.Self}
	for _, record := range mirror.Records {
		if r.buffer(now, record, true) {
			confirm.Held = append(confirm.Held, record)
		}
	}
	r.emit(confirm)
	return r.flush(now)
}

// HandleConfirm handles a peer's Confirm.
func (r *Recorder) HandleConfirm(now time.Time, confirm Confirm) []Effect {
	if confirm.From != r.peer.Identity {
		return r.flush(now)
	}
	for _, record := range confirm.Held {
		it := r.items[record.Charge.Run]
		if it != nil && it.record.Reason == record.Reason {
			it.mirrored = true
			it.peer = confirm.From
		}
	}
	return r.flush(now)
}

// HandleForget drops held records that their owner has written.
func (r *Recorder) HandleForget(now time.Time, forget Forget) []Effect {
	for _, record := range forget.Records {
		it := r.items[record.Charge.Run]
		if it != nil && it.held && !it.committing && it.record.Reason == record.Reason {
			r.remove(it)
		}
	}
	return r.flush(now)
}

// Snapshot is the state of a Recorder for the dump.
type Snapshot struct {
	Self    roster.Identity `json:"self"`
	Peer    string          `json:"peer"`
	TableUp bool            `json:"table-up"`
	Own     int             `json:"own"`
	Held    int             `json:"held"`
	// Dropped counts runs that are neither charged nor listed because the
	// buffer was full.
	Dropped uint64 `json:"dropped"`
}

// Snapshot returns the current state.
func (r *Recorder) Snapshot() Snapshot {
	return Snapshot{
		Self:    r.config.Self,
		Peer:    r.peer.Name,
		TableUp: r.tableUp,
		Own:     r.own,
		Held:    r.held,
		Dropped: r.dropped,
	}
}
