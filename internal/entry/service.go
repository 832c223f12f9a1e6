package entry

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/retry"
	"github.com/lovagedyke/lovagedyke/internal/route"
	"github.com/lovagedyke/lovagedyke/internal/share"
	"github.com/lovagedyke/lovagedyke/pkg/api"
)

// service is one service's part of the entry: who starts, where, and whether a
// failed attempt is repeated. It adds the lock and the waiting to decisions
// that have neither.
type service struct {
	mu        sync.Mutex
	scheduler *share.Scheduler
	picker    *route.Picker
	budget    *retry.Budget
	random    *rand.Rand
	waiting   map[uint64]chan turn
	capacity  int
	// limit bounds what runs at once over all entries; 0 sets no bound.
	limit int
	// meanRun is the mean time of answered attempts.
	meanRun time.Duration
	// outstanding is shared by all services of the entry.
	outstanding *outstanding
}

// runSmoothing is the number of attempts over which their time is averaged.
const runSmoothing = 16

// turn ends a request's wait for a slot.
type turn struct {
	start      bool
	retryAfter time.Duration
}

// newService returns the service's state at the entry of that name.
func newService(entry, dataCentre string, seed uint64, counts *outstanding) *service {
	return &service{
		outstanding: counts,
		scheduler:   share.New(share.Config{Entry: entry}),
		picker:      route.New(route.Config{Entry: entry, DataCentre: dataCentre}),
		budget:      retry.New(retry.Config{}),
		random:      rand.New(rand.NewPCG(seed, seed)),
		waiting:     make(map[uint64]chan turn),
	}
}

// submit asks for a slot. The channel is nil unless the ticket is queued.
func (s *service) submit(now time.Time, ticket share.Ticket) (share.Outcome, <-chan turn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	outcome := s.scheduler.Submit(now, ticket)
	if outcome.Decision != share.Queued {
		return outcome, nil
	}
	turns := make(chan turn, 1)
	s.waiting[ticket.ID] = turns
	return outcome, turns
}

// cancel gives up a queued ticket; false means that its turn has come.
func (s *service) cancel(now time.Time, id uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.scheduler.Cancel(now, id) {
		return false
	}
	delete(s.waiting, id)
	return true
}

// refusal refuses work that cannot start before its deadline.
func (s *service) refusal(retryAfter time.Duration) *api.Problem {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.capacity == 0 {
		return noEndpoint()
	}
	return busy("service-full", "the service cannot start this work before its deadline", retryAfter)
}

// finish returns a slot.
func (s *service) finish(now time.Time, id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.act(s.scheduler.Finish(now, id))
}

// pick chooses an endpoint for an attempt; fresh is true for the first one.
func (s *service) pick(now time.Time, fresh bool, tried []netip.AddrPort) (netip.AddrPort, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if fresh {
		s.budget.RecordRequest()
	}
	endpoint, ok := s.picker.Pick(now, s.random, tried)
	if ok {
		// Counted under the same lock as a drain is obeyed, so that no attempt
		// can slip between the drain and its confirmation.
		s.outstanding.begin(endpoint)
	}
	return endpoint, ok
}

// done tells how an attempt at the endpoint ended.
func (s *service) done(now time.Time, endpoint netip.AddrPort, result route.Result, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.picker.Done(now, endpoint, result, took)
	if result == route.Succeeded {
		s.meanRun += (took - s.meanRun) / runSmoothing
	}
}

// latestStart is the latest time at which work with that deadline is worth
// starting: an ordinary run must still fit.
func (s *service) latestStart(deadline time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return deadline.Add(-s.meanRun - s.meanRun/2)
}

// retry decides whether a failed attempt is followed by another.
func (s *service) retry(now time.Time, attempt retry.Attempt) retry.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Allow(now, attempt)
}

// tick refuses what comes too late and starts what the slots allow.
func (s *service) tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.capacity = s.picker.Capacity(now)
	if s.limit > 0 {
		s.capacity = min(s.capacity, s.limit)
	}
	s.act(s.scheduler.SetCapacity(now, s.capacity))
	s.act(s.scheduler.Tick(now))
}

// setEndpoints takes the service's endpoints, the number of entries that share
// their connections, and the catalogue's bound on what runs at once, 0 for none.
func (s *service) setEndpoints(now time.Time, endpoints []route.Endpoint, entries, limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = limit
	s.picker.SetEntries(entries)
	s.picker.SetEndpoints(now, endpoints)
}

// setPeer takes another entry's demand and load.
func (s *service) setPeer(now time.Time, demand share.Demand, loads []route.EndpointLoad) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.picker.SetPeerLoad(now, demand.Entry, loads)
	s.act(s.scheduler.SetPeer(now, demand))
}

// setWeights takes the teams' shares.
func (s *service) setWeights(now time.Time, weights map[string]float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.act(s.scheduler.SetWeights(now, weights))
}

// gossip returns this entry's demand and load.
func (s *service) gossip() (share.Demand, []route.EndpointLoad) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler.Demand(), s.picker.Load(nil)
}

// busy reports whether anything of the service runs or waits here.
func (s *service) busy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler.Busy()
}

// act delivers turns; the caller holds the lock.
func (s *service) act(actions share.Actions) {
	for _, id := range actions.Start {
		s.deliver(id, turn{start: true})
	}
	for _, refusal := range actions.Refuse {
		s.deliver(refusal.ID, turn{retryAfter: refusal.RetryAfter})
	}
}

// deliver ends the wait of one ticket.
func (s *service) deliver(id uint64, t turn) {
	turns, ok := s.waiting[id]
	if !ok {
		return
	}
	delete(s.waiting, id)
	turns <- t
}
