package claim

import (
	"time"

	"github.com/lovagedyke/lovagedyke/internal/roster"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

// tableDown turns to the seconds until a probe succeeds.
func (h *Replica) tableDown(now time.Time) {
	if !h.tableUp {
		return
	}
	h.tableUp = false
	h.withoutTable(now)
}

// acknowledge writes this process's acknowledgement once nothing that it
// granted or mirrored under former versions is missing from the table.
func (h *Replica) acknowledge() {
	if h.acking || h.acked >= h.roster.Version || !h.roster.Contains(h.config.Self) {
		return
	}
	for _, e := range h.unwritten() {
		if e.owed != 0 && e.owed < h.roster.Version {
			return
		}
	}
	h.acking = true
	ack := roster.Ack{Identity: h.config.Self, Version: h.roster.Version}
	h.emit(Commit{
		Call: h.open(call{kind: callAck}),
		Txn:  table.Txn{Writes: []table.Write{{Key: roster.AckKey(h.config.Self), Value: ack.Encode()}}},
	})
}

// pollAnswered takes the results of probes, acknowledgements and their reads.
func (h *Replica) pollAnswered(c call, answer TableResult) {
	switch c.kind {
	case callProbe:
		h.probing = false
		h.probed(answer)
	case callAck:
		h.acking = false
		if answer.Err == nil {
			h.acked = max(h.acked, c.version)
		}
	case callPoll:
		h.polling = false
		h.acksRead(answer)
	}
}

// probed compares the roster row with the one in use.
func (h *Replica) probed(answer TableResult) {
	if answer.Err != nil || len(answer.Rows) != 1 {
		return
	}
	if answer.Rows[0].Version != h.rowVersion {
		h.emit(StaleRoster{})
	}
}

// acksRead takes the others' acknowledgements.
func (h *Replica) acksRead(answer TableResult) {
	if answer.Err != nil {
		return
	}
	own := roster.AckKey(h.config.Self)
	for _, row := range answer.Rows {
		// A row that does not decode acknowledges nothing.
		_ = h.acks.Add(row.Value)
		if row.Key == own {
			h.checkOwn(row.Value)
		}
	}
	h.assess()
}

// checkOwn has the acknowledgement written again if an older commit overtook it.
func (h *Replica) checkOwn(value []byte) {
	own := make(roster.Acks)
	if err := own.Add(value); err != nil {
		return
	}
	h.acked = min(h.acked, own[h.config.Self])
}
