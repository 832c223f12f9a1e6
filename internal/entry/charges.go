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
	// chargeTick is the interval of a book's timers.
	chargeTick = 50 * time.Millisecond
	// chargeInterval is the least time between two batches that are not full.
	chargeInterval = 250 * time.Millisecond
	// chargeBatch is the number of entries that the platform counts as one write.
	chargeBatch = 100
	// chargeCallTimeout bounds one call to the table or a peer about charges.
	chargeCallTimeout = 2 * time.Second
	// chargeQueue bounds the events that wait for the book.
	chargeQueue = 16384
)

// charges drives a charge.Book: one goroutine owns it, and each table or peer
// call that the book asks for runs in a goroutine of its own.
type charges struct {
	*owner[charge.Effect]
	node     peerNode
	log      *log.Logger
	book     *charge.Recorder
	sequence atomic.Uint64
}

// newCharges returns charges that are written once run is called.
func newCharges(node peerNode, logger *log.Logger) *charges {
	return &charges{
		owner: newOwner[charge.Effect](chargeQueue),
		node:  node,
		log:   logger,
		book: charge.New(charge.Config{
			Self: node.Self().Identity, MaxBatch: chargeBatch, BatchInterval: chargeInterval,
		}),
	}
}

// run owns the book until the context ends.
func (c *charges) run(ctx context.Context) {
	c.owner.run(ctx, chargeTick, c.book.Tick, c.carryOut)
}

// carryOut does what the book asks for.
func (c *charges) carryOut(ctx context.Context, effect charge.Effect) {
	switch effect := effect.(type) {
	case charge.Commit:
		c.calls.Go(func() { c.commit(ctx, effect) })
	case charge.Mirror:
		c.calls.Go(func() { c.mirror(ctx, effect) })
	case charge.Forget:
		c.calls.Go(func() { c.forget(ctx, effect) })
	}
}

// commit writes a batch and feeds the answer back.
func (c *charges) commit(ctx context.Context, effect charge.Commit) {
	ctx, cancel := context.WithTimeout(ctx, chargeCallTimeout)
	defer cancel()
	err := c.node.Store().Commit(ctx, effect.Txn)
	c.post(func(now time.Time) []charge.Effect { return c.book.HandleTableResult(now, effect.Call, err) })
}

// mirror has a peer hold entries and feeds its confirmation back.
func (c *charges) mirror(ctx context.Context, effect charge.Mirror) {
	ctx, cancel := context.WithTimeout(ctx, chargeCallTimeout)
	defer cancel()
	entries, err := peer.ChargeMessages(effect.Records)
	if err != nil {
		c.log.Error("charges not mirrored", "reason", err.Error())
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
	c.post(func(now time.Time) []charge.Effect { return c.book.HandleConfirm(now, confirm) })
}

// forget tells a peer which entries it need not hold any more; one that does
// not hear of it writes them, which changes nothing.
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

// hold keeps a peer's entries and returns those that have room.
func (c *charges) hold(from roster.Identity, entries, forgotten []charge.Record) []charge.Record {
	held, _ := query(c.owner, func(now time.Time) ([]charge.Record, []charge.Effect) {
		effects := c.book.HandleForget(now, charge.Forget{To: c.node.Self().Identity, Records: forgotten})
		confirmed, rest := takeConfirm(c.book.HandleMirror(now, charge.Mirror{To: c.node.Self(), From: from, Records: entries}))
		return confirmed.Held, append(effects, rest...)
	})
	return held
}

// takeConfirm separates the confirmation, which is the peer's answer, from the
// other effects.
func takeConfirm(effects []charge.Effect) (confirm charge.Confirm, rest []charge.Effect) {
	for _, effect := range effects {
		if c, ok := effect.(charge.Confirm); ok {
			confirm = c
			continue
		}
		rest = append(rest, effect)
	}
	return confirm, rest
}

// newRunID names an attempt; the id stands on its charge.
func (c *charges) newRunID() charge.RunID {
	return charge.RunID{Entry: c.node.Self().Identity, Sequence: c.sequence.Add(1)}
}

// rosterChanged hands a roster to the book.
func (c *charges) rosterChanged(members roster.Roster) {
	c.post(func(now time.Time) []charge.Effect { return c.book.ApplyRoster(now, members) })
}

// proven charges a run whose endpoint gave its whole answer.
func (c *charges) proven(run charge.Charge) {
	c.post(func(now time.Time) []charge.Effect { return c.book.RecordCharge(now, run) })
}

// unproven lists a run of which it is not known whether it took place.
func (c *charges) unproven(run charge.Charge, reason charge.Reason) {
	c.post(func(now time.Time) []charge.Effect { return c.book.RecordUnproven(now, run, reason) })
}

// flush waits until the table has all charges, or the context ends.
func (c *charges) flush(ctx context.Context) {
	for ctx.Err() == nil {
		drained, ok := query(c.owner, func(time.Time) (bool, []charge.Effect) { return c.book.Drained(), nil })
		if drained || !ok {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(chargeTick):
		}
	}
	c.log.Warn("charges are left at the end of the grace")
}

// snapshot returns the book's state for the dump.
func (c *charges) snapshot() charge.Snapshot {
	snapshot, _ := query(c.owner, func(time.Time) (charge.Snapshot, []charge.Effect) { return c.book.Snapshot(), nil })
	return snapshot
}
