package claim

import (
	"time"

	"github.com/lovagedyke/lovagedyke/internal/roster"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

// handleTableDown marks the table as down and asks the secondaries to record the
// pending claims. They are used until a table call succeeds.
func (r *Replica) handleTableDown(now time.Time) {
	if !r.tableUp {
		return
	}
	r.tableUp = false
	r.askSecondaries(now)
}

// acknowledge writes this process's acknowledgement of the roster version once all
// claims that it granted or mirrored at former versions are in the table.
func (r *Replica) acknowledge() {
	if r.acking || r.ackedVersion >= r.roster.Version || !r.roster.Contains(r.config.Self) {
		return
	}
	for _, e := range r.unpersistedEntries() {
		if e.unpersistedVersion != 0 && e.unpersistedVersion < r.roster.Version {
			return
		}
	}
	r.acking = true
	ack := roster.Ack{Identity: r.config.Self, Version: r.roster.Version}
	r.emit(Commit{
		Call: r.openCall(call{kind: callAck}),
		Txn:  table.Txn{Writes: []table.Write{{Key: roster.AckKey(r.config.Self), Value: ack.Encode()}}},
	})
}

// handlePollResult handles the results of the calls made by poll.
func (r *Replica) handlePollResult(c call, result TableResult) {
	switch c.kind {
	case callProbe:
		r.probing = false
		r.handleProbe(result)
	case callAck:
		r.acking = false
		if result.Err == nil {
			r.ackedVersion = max(r.ackedVersion, c.version)
		}
	case callReadAcks:
		r.readingAcks = false
		r.handleAcks(result)
	}
}

// handleProbe requests a reread of the roster if its row has changed.
func (r *Replica) handleProbe(result TableResult) {
	if result.Err != nil || len(result.Rows) != 1 {
		return
	}
	if result.Rows[0].Version != r.rosterRowVersion {
		r.emit(StaleRoster{})
	}
}

// handleAcks records the acknowledgements of all processes.
func (r *Replica) handleAcks(result TableResult) {
	if result.Err != nil {
		return
	}
	own := roster.AckKey(r.config.Self)
	for _, row := range result.Rows {
		// A row that cannot be decoded acknowledges nothing.
		_ = r.acks.Add(row.Value)
		if row.Key == own {
			r.checkOwnAck(row.Value)
		}
	}
	r.updateKeyStates()
}

// checkOwnAck makes the acknowledgement be rewritten if a delayed older commit has
// overwritten it.
func (r *Replica) checkOwnAck(value []byte) {
	own := make(roster.Acks)
	if err := own.Add(value); err != nil {
		return
	}
	r.ackedVersion = min(r.ackedVersion, own[r.config.Self])
}
