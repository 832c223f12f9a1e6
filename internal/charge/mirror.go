package charge

import (
	"time"

	"github.com/lovagedyke/lovagedyke/internal/roster"
)

// mirror sends the entries that the peer has not confirmed.
func (b *Recorder) mirror(now time.Time) {
	if b.peer.Name == "" {
		return
	}
	var entries []Record
	for _, it := range b.pending() {
		if len(entries) == b.config.MaxBatch {
			b.emit(Mirror{To: b.peer, From: b.config.Self, Records: entries})
			entries = nil
		}
		if it.held || it.mirrored || now.Sub(it.sentAt) < b.config.RetryInterval {
			continue
		}
		it.sentAt = now
		entries = append(entries, it.entry)
	}
	if len(entries) > 0 {
		b.emit(Mirror{To: b.peer, From: b.config.Self, Records: entries})
	}
}

// pending returns the items that the table may lack, oldest first.
func (b *Recorder) pending() []*item {
	var pending []*item
	pending = append(pending, b.batch...)
	return append(pending, b.queue...)
}

// Hold takes a peer's entries and confirms those that there is room for.
func (b *Recorder) HandleMirror(now time.Time, mirror Mirror) []Effect {
	confirm := Confirm{To: mirror.From, From: b.config.Self}
	for _, entry := range mirror.Records {
		if b.put(now, entry, true) {
			confirm.Held = append(confirm.Held, entry)
		}
	}
	b.emit(confirm)
	return b.flush(now)
}

// Confirmed takes a peer's Confirm.
func (b *Recorder) HandleConfirm(now time.Time, confirm Confirm) []Effect {
	if confirm.From != b.peer.Identity {
		return b.flush(now)
	}
	for _, entry := range confirm.Held {
		it := b.items[entry.Charge.Run]
		if it != nil && it.entry.Reason == entry.Reason {
			it.mirrored = true
			it.peer = confirm.From
		}
	}
	return b.flush(now)
}

// Forgotten drops held entries that their owner has written.
func (b *Recorder) HandleForget(now time.Time, forget Forget) []Effect {
	for _, entry := range forget.Records {
		it := b.items[entry.Charge.Run]
		if it != nil && it.held && !it.busy && it.entry.Reason == entry.Reason {
			b.forget(it)
		}
	}
	return b.flush(now)
}

// Snapshot is the state of a Book for the dump.
type Snapshot struct {
	Self    roster.Identity `json:"self"`
	Peer    string          `json:"peer"`
	TableUp bool            `json:"table-up"`
	Own     int             `json:"own"`
	Held    int             `json:"held"`
	// Dropped counts runs that are neither charged nor listed for lack of room.
	Dropped uint64 `json:"dropped"`
}

// Snapshot returns the present state.
func (b *Recorder) Snapshot() Snapshot {
	return Snapshot{
		Self:    b.config.Self,
		Peer:    b.peer.Name,
		TableUp: b.tableUp,
		Own:     b.own,
		Held:    b.held,
		Dropped: b.dropped,
	}
}
