package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/lovagedyke/lovagedyke/internal/charge"
	"github.com/lovagedyke/lovagedyke/internal/peer"
	"github.com/lovagedyke/lovagedyke/internal/peer/peerpb"
	"github.com/lovagedyke/lovagedyke/internal/roster"
)

const (
	// chargeTickInterval is the time between two ticks of the recorder.
	chargeTickInterval = 50 * time.Millisecond
	// chargeBatchInterval is the minimum time between two batches that are not
	// full.
	chargeBatchInterval = 250 * time.Millisecond
	// maxChargeBatch is the number of rows that the platform counts as one
	// write.
	maxChargeBatch = 100
	// chargeCallTimeout bounds one call to the table or a peer about charges.
	chargeCallTimeout = 2 * time.Second
	// maxChargeEvents bounds the queue of the recorder's events.
	maxChargeEvents = 16384
)

// charges runs a charge.Recorder: an event loop owns it, and each table or peer
// call that the recorder requests runs in its own goroutine.
type charges struct {
	*eventLoop[charge.Effect]
	node     peerNode
	log      *log.Logger
	recorder *charge.Recorder
	sequence atomic.Uint64
}

// newCharges returns charges. Nothing is written before run is called.
func newCharges(node peerNode, logger *log.Logger) *charges {
	return &charges{
		eventLoop: newEventLoop[charge.Effect](maxChargeEvents),
		node:      node,
		log:       logger,
		recorder: charge.New(charge.Config{
			Self: node.Self().Identity, MaxBatch: maxChargeBatch, BatchInterval: chargeBatchInterval,
		}),
	}
}

// run runs the event loop until the context ends.
func (c *charges) run(ctx context.Context) {
	c.eventLoop.run(ctx, chargeTickInterval, c.recorder.Tick, c.execute)
}

// execute executes an effect of the recorder.
func (c *charges) execute(ctx context.Context, effect charge.Effect) {
	switch effect := effect.(type) {
	case charge.Commit:
		c.calls.Go(func() { c.commit(ctx, effect) })
	case charge.Mirror:
		c.calls.Go(func() { c.mirror(ctx, effect) })
	case charge.Forget:
		c.calls.Go(func() { c.forget(ctx, effect) })
	}
}

// commit writes a batch to the table and posts the result to the recorder.
func (c *charges) commit(ctx context.Context, effect charge.Commit) {
	ctx, cancel := context.WithTimeout(ctx, chargeCallTimeout)
	defer cancel()
	err := c.node.Store().Commit(ctx, effect.Txn)
	c.post(func(now time.Time) []charge.Effect { return c.recorder.HandleTableResult(now, effect.Call, err) })
}

// mirror has a peer hold records and posts its confirmation to the recorder.
func (c *charges) mirror(ctx context.Context, effect charge.Mirror) {
	ctx, cancel := context.WithTimeout(ctx, chargeCallTimeout)
	defer cancel()
	entries, err := peer.ChargeMessages(effect.Records)
	if err != nil {
		c.log.Error("cannot encode charges to mirror", "reason", err.Error())
		return
	}
	reply, err := c.node.Dial(effect.To).KeepCharges(ctx, &peerpb.KeepChargesRequest{
		From: peer.IdentityMessage(effect.From), Entries: entries,
	})
	if err != nil {
		return
	}
	held, err := peer.Charges(reply.GetHeld())
	if err != nil {
		return
	}
	confirm := charge.Confirm{To: effect.From, From: effect.To.Identity, Held: held}
	c.post(func(now time.Time) []charge.Effect { return c.recorder.HandleConfirm(now, confirm) })
}

// forget notifies a peer of records that it no longer has to hold. A peer that
// misses this writes the records to the table, which has them already, so
// nothing changes.
func (c *charges) forget(ctx context.Context, effect charge.Forget) {
	members, _ := c.node.Roster()
	member, ok := members.Find(effect.To.Name)
	if !ok || member.Identity != effect.To {
		return
	}
	entries, err := peer.ChargeMessages(effect.Records)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, chargeCallTimeout)
	defer cancel()
	_, _ = c.node.Dial(member).KeepCharges(ctx, &peerpb.KeepChargesRequest{
		From: peer.IdentityMessage(c.node.Self().Identity), Forgotten: entries,
	})
}

// holdForPeer drops a peer's forgotten records and holds its new ones. It
// returns the new records that fit in the recorder's buffer.
func (c *charges) holdForPeer(from roster.Identity, entries, forgotten []charge.Record) []charge.Record {
	held, _ := query(c.eventLoop, func(now time.Time) ([]charge.Record, []charge.Effect) {
		effects := c.recorder.HandleForget(now, charge.Forget{To: c.node.Self().Identity, Records: forgotten})
		confirmed, other := splitConfirm(c.recorder.HandleMirror(now, charge.Mirror{To: c.node.Self(), From: from, Records: entries}))
		return confirmed.Held, append(effects, other...)
	})
	return held
}

// splitConfirm separates the confirmation, which is the reply to the peer, from
// the other effects.
func splitConfirm(effects []charge.Effect) (confirm charge.Confirm, other []charge.Effect) {
	for _, effect := range effects {
		if c, ok := effect.(charge.Confirm); ok {
			confirm = c
			continue
		}
		other = append(other, effect)
	}
	return confirm, other
}

// newRunID returns the ID of a new attempt. Its charge carries the same ID.
func (c *charges) newRunID() charge.RunID {
	return charge.RunID{Entry: c.node.Self().Identity, Sequence: c.sequence.Add(1)}
}

// rosterChanged passes a new roster to the recorder.
func (c *charges) rosterChanged(members roster.Roster) {
	c.post(func(now time.Time) []charge.Effect { return c.recorder.ApplyRoster(now, members) })
}

// recordCharge charges a run whose endpoint sent a complete response.
func (c *charges) recordCharge(record charge.Charge) {
	c.post(func(now time.Time) []charge.Effect { return c.recorder.RecordCharge(now, record) })
}

// recordUnproven lists a run that may or may not have taken place.
func (c *charges) recordUnproven(record charge.Charge, reason charge.Reason) {
	c.post(func(now time.Time) []charge.Effect { return c.recorder.RecordUnproven(now, record, reason) })
}

// flush waits until all charges are in the table, or the context ends.
func (c *charges) flush(ctx context.Context) {
	for ctx.Err() == nil {
		drained, ok := query(c.eventLoop, func(time.Time) (bool, []charge.Effect) { return c.recorder.Drained(), nil })
		if drained || !ok {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(chargeTickInterval):
		}
	}
	c.log.Warn("not all charges were written to the table before the grace period ended")
}

// snapshot returns the recorder's state for the dump.
func (c *charges) snapshot() charge.Snapshot {
	snapshot, _ := query(c.eventLoop, func(time.Time) (charge.Snapshot, []charge.Effect) { return c.recorder.Snapshot(), nil })
	return snapshot
}
