package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/sourcegraph/conc"

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

// chargeNode is what charges need of the node.
type chargeNode = claimNode

// charges drives a charge.Book: one goroutine owns it, and each table or peer
// call that the book asks for runs in a goroutine of its own.
type charges struct {
	node     chargeNode
	log      *log.Logger
	book     *charge.Book
	events   chan func(now time.Time) []charge.Effect
	stopped  chan struct{}
	calls    conc.WaitGroup
	sequence atomic.Uint64
}

// newCharges returns charges that are written once run is called.
func newCharges(node chargeNode, logger *log.Logger) *charges {
	return &charges{
		node: node,
		log:  logger,
		book: charge.New(charge.Config{
			Self: node.Self().Identity, MaxBatch: chargeBatch, BatchInterval: chargeInterval,
		}),
		events:  make(chan func(time.Time) []charge.Effect, chargeQueue),
		stopped: make(chan struct{}),
	}
}

// run owns the book until the context ends.
func (c *charges) run(ctx context.Context) {
	defer c.calls.Wait()
	defer close(c.stopped)
	ticker := time.NewTicker(chargeTick)
	defer ticker.Stop()
	for {
		var effects []charge.Effect
		select {
		case <-ctx.Done():
			return
		case event := <-c.events:
			effects = event(time.Now())
		case now := <-ticker.C:
			effects = c.book.Tick(now)
		}
		for _, effect := range effects {
			c.carryOut(ctx, effect)
		}
	}
}

// post hands an event to the loop; it waits while the queue is full.
func (c *charges) post(event func(now time.Time) []charge.Effect) bool {
	select {
	case c.events <- event:
		return true
	case <-c.stopped:
		return false
	}
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
	c.post(func(now time.Time) []charge.Effect { return c.book.TableAnswer(now, effect.Call, err) })
}

// mirror has a peer hold entries and feeds its confirmation back.
func (c *charges) mirror(ctx context.Context, effect charge.Mirror) {
	ctx, cancel := context.WithTimeout(ctx, chargeCallTimeout)
	defer cancel()
	entries, err := peer.ChargeMessages(effect.Entries)
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
	c.post(func(now time.Time) []charge.Effect { return c.book.Confirmed(now, confirm) })
}

// forget tells a peer which entries it need not hold any more; one that does
// not hear of it writes them, which changes nothing.
func (c *charges) forget(ctx context.Context, effect charge.Forget) {
	members, _ := c.node.Roster()
	member, ok := members.Find(effect.To.Name)
	if !ok || member.Identity != effect.To {
		return
	}
	entries, err := peer.ChargeMessages(effect.Entries)
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
func (c *charges) hold(from roster.Identity, entries, forgotten []charge.Entry) []charge.Entry {
	held := make(chan []charge.Entry, 1)
	posted := c.post(func(now time.Time) []charge.Effect {
		effects := c.book.Forgotten(now, charge.Forget{To: c.node.Self().Identity, Entries: forgotten})
		confirmed, rest := takeConfirm(c.book.Hold(now, charge.Mirror{To: c.node.Self(), From: from, Entries: entries}))
		held <- confirmed.Held
		return append(effects, rest...)
	})
	if !posted {
		return nil
	}
	select {
	case entries := <-held:
		return entries
	case <-c.stopped:
		return nil
	}
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
	c.post(func(now time.Time) []charge.Effect { return c.book.RosterChange(now, members) })
}

// proven charges a run whose endpoint gave its whole answer.
func (c *charges) proven(run charge.Charge) {
	c.post(func(now time.Time) []charge.Effect { return c.book.Answered(now, run) })
}

// unproven lists a run of which it is not known whether it took place.
func (c *charges) unproven(run charge.Charge, reason charge.Reason) {
	c.post(func(now time.Time) []charge.Effect { return c.book.Unproven(now, run, reason) })
}

// flush waits until the table has all charges, or the context ends.
func (c *charges) flush(ctx context.Context) {
	for ctx.Err() == nil {
		drained := make(chan bool, 1)
		if !c.post(func(time.Time) []charge.Effect { drained <- c.book.Drained(); return nil }) || <-drained {
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
	result := make(chan charge.Snapshot, 1)
	if !c.post(func(time.Time) []charge.Effect { result <- c.book.Snapshot(); return nil }) {
		return charge.Snapshot{}
	}
	select {
	case snapshot := <-result:
		return snapshot
	case <-c.stopped:
		return charge.Snapshot{}
	}
}
