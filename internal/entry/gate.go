package entry

import (
	"sync"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/share"
)

// gate shares one service's slots among the requests at this entry. It adds
// the lock and the waiting to a scheduler.
type gate struct {
	mu        sync.Mutex
	scheduler *share.Scheduler
	waiting   map[uint64]chan turn
}

// turn ends a request's wait.
type turn struct {
	start      bool
	retryAfter time.Duration
}

// newGate returns the gate of one service.
func newGate(config share.Config) *gate {
	return &gate{scheduler: share.New(config), waiting: make(map[uint64]chan turn)}
}

// submit asks for a slot. The channel is nil unless the ticket is queued.
func (g *gate) submit(now time.Time, ticket share.Ticket) (share.Outcome, <-chan turn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	outcome := g.scheduler.Submit(now, ticket)
	if outcome.Decision != share.Queued {
		return outcome, nil
	}
	turns := make(chan turn, 1)
	g.waiting[ticket.ID] = turns
	return outcome, turns
}

// cancel gives up a queued ticket; false means that its turn has come.
func (g *gate) cancel(now time.Time, id uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.scheduler.Cancel(now, id) {
		return false
	}
	delete(g.waiting, id)
	return true
}

// finish returns a slot.
func (g *gate) finish(now time.Time, id uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.act(g.scheduler.Finish(now, id))
}

// tick refuses what comes too late and starts what the slots allow.
func (g *gate) tick(now time.Time, capacity int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.act(g.scheduler.SetCapacity(now, capacity))
	g.act(g.scheduler.Tick(now))
}

// setPeer takes another entry's demand.
func (g *gate) setPeer(now time.Time, demand share.Demand) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.act(g.scheduler.SetPeer(now, demand))
}

// setWeights takes the teams' shares.
func (g *gate) setWeights(now time.Time, weights map[string]float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.act(g.scheduler.SetWeights(now, weights))
}

// demand returns this entry's load.
func (g *gate) demand() share.Demand {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.scheduler.Demand()
}

// act delivers turns; the caller holds the lock.
func (g *gate) act(actions share.Actions) {
	for _, id := range actions.Start {
		g.deliver(id, turn{start: true})
	}
	for _, refusal := range actions.Refuse {
		g.deliver(refusal.ID, turn{retryAfter: refusal.RetryAfter})
	}
}

// deliver ends the wait of one ticket.
func (g *gate) deliver(id uint64, t turn) {
	turns, ok := g.waiting[id]
	if !ok {
		return
	}
	delete(g.waiting, id)
	turns <- t
}
