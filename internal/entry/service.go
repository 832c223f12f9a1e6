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

// service is the entry's state for one service: which request starts when, at
// which endpoint, and whether a failed attempt is retried. It adds locking and
// blocking waits to the scheduler, the picker and the retry budget, which have
// neither.
type service struct {
	mu        sync.Mutex
	scheduler *share.Scheduler
	picker    *route.Picker
	budget    *retry.Budget
	random    *rand.Rand
	waiters   map[uint64]chan slotResult
	capacity  int
	// limit bounds the requests running at once over all entries. 0 sets no
	// bound.
	limit int
	// evacuated is set while the service has no endpoint left because of
	// evacuations.
	evacuated bool
	// meanRunTime is the moving average run time of successful attempts.
	meanRunTime time.Duration
	// outstanding is shared by all services of the entry.
	outstanding *outstanding
}

// runTimeSmoothing is the number of attempts over which meanRunTime is
// averaged.
const runTimeSmoothing = 16

// slotResult ends a request's wait for a slot.
type slotResult struct {
	granted    bool
	retryAfter time.Duration
}

// newService returns the state of a service at the named entry.
func newService(entry, dataCentre string, seed uint64, outstanding *outstanding) *service {
	return &service{
		outstanding: outstanding,
		scheduler:   share.New(share.Config{Entry: entry}),
		picker:      route.New(route.Config{Entry: entry, DataCentre: dataCentre}),
		budget:      retry.New(retry.Config{}),
		random:      rand.New(rand.NewPCG(seed, seed)),
		waiters:     make(map[uint64]chan slotResult),
	}
}

// submit requests a slot. The channel is nil unless the ticket was queued. A ticket
// that only evacuated endpoints could serve is refused at once.
func (s *service) submit(now time.Time, ticket share.Ticket) (share.Outcome, <-chan slotResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.evacuated {
		return share.Outcome{Decision: share.Refused, RetryAfter: evacuationRetryAfter}, nil
	}
	outcome := s.scheduler.Submit(now, ticket)
	if outcome.Decision != share.Queued {
		return outcome, nil
	}
	results := make(chan slotResult, 1)
	s.waiters[ticket.ID] = results
	return outcome, results
}

// cancel removes a queued ticket. It returns false if the ticket already has
// its result.
func (s *service) cancel(now time.Time, id uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.scheduler.Cancel(now, id) {
		return false
	}
	delete(s.waiters, id)
	return true
}

// refusalProblem returns the problem for work that cannot start before its
// deadline.
func (s *service) refusalProblem(retryAfter time.Duration) *api.Problem {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.evacuated {
		return evacuatedProblem()
	}
	if s.capacity == 0 {
		return noEndpointProblem()
	}
	return unavailableProblem("service-full", "the service cannot start this work before its deadline", retryAfter)
}

func (s *service) releaseSlot(now time.Time, id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyActions(s.scheduler.Finish(now, id))
}

// pick chooses an endpoint for an attempt. first is true for the first attempt
// of a request, which adds to the retry budget.
func (s *service) pick(now time.Time, first bool, tried []netip.AddrPort) (netip.AddrPort, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if first {
		s.budget.RecordRequest()
	}
	endpoint, ok := s.picker.Pick(now, s.random, tried)
	if ok {
		// Counted under the lock that setEndpoints takes to exclude draining
		// hosts, so that no attempt can start between the drain and its
		// confirmation.
		s.outstanding.begin(endpoint)
	}
	return endpoint, ok
}

// recordAttempt records the result of an attempt at the endpoint.
func (s *service) recordAttempt(now time.Time, endpoint netip.AddrPort, result route.Result, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.picker.Done(now, endpoint, result, took)
	if result == route.Succeeded {
		s.meanRunTime += (took - s.meanRunTime) / runTimeSmoothing
	}
}

// latestStart returns the latest time at which it is worth starting work with
// the given deadline. It leaves 1.5 mean run times, so that an ordinary run
// still fits.
func (s *service) latestStart(deadline time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return deadline.Add(-s.meanRunTime - s.meanRunTime/2)
}

// allowRetry decides whether a failed attempt may be retried.
func (s *service) allowRetry(now time.Time, attempt retry.Attempt) retry.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Allow(now, attempt)
}

// tick updates the capacity, starts queued requests for which there are slots,
// and refuses those that can no longer start in time.
func (s *service) tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.capacity = s.picker.Capacity(now)
	if s.limit > 0 {
		s.capacity = min(s.capacity, s.limit)
	}
	s.applyActions(s.scheduler.SetCapacity(now, s.capacity))
	s.applyActions(s.scheduler.Tick(now))
}

// setEndpoints sets the service's endpoints, the number of entries that share
// their connections, and the catalogue's limit on requests running at once (0
// for none).
func (s *service) setEndpoints(now time.Time, endpoints []route.Endpoint, entries, limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = limit
	s.picker.SetEntries(entries)
	s.picker.SetEndpoints(now, endpoints)
}

// setEvacuated sets whether only evacuated endpoints are left, and then refuses the
// queued requests: when an endpoint returns is not known.
func (s *service) setEvacuated(now time.Time, evacuated bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evacuated = evacuated
	if !evacuated {
		return
	}
	for id := range s.waiters {
		if s.scheduler.Cancel(now, id) {
			s.notifyWaiter(id, slotResult{})
		}
	}
}

// isEvacuated reports whether only evacuated endpoints are left.
func (s *service) isEvacuated() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evacuated
}

// setPeerState applies the demand and load of another entry.
func (s *service) setPeerState(now time.Time, demand share.Demand, loads []route.EndpointLoad) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.picker.SetPeerLoad(now, demand.Entry, loads)
	s.applyActions(s.scheduler.SetPeer(now, demand))
}

// setWeights sets the teams' weights.
func (s *service) setWeights(now time.Time, weights map[string]float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyActions(s.scheduler.SetWeights(now, weights))
}

// demandAndLoad returns this entry's demand and load for gossip.
func (s *service) demandAndLoad() (share.Demand, []route.EndpointLoad) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler.Demand(), s.picker.Load(nil)
}

// isBusy reports whether requests of the service are running or queued at this
// entry.
func (s *service) isBusy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler.Busy()
}

// applyActions notifies the waiters of started and refused tickets. The caller
// holds the lock.
func (s *service) applyActions(actions share.Actions) {
	for _, id := range actions.Start {
		s.notifyWaiter(id, slotResult{granted: true})
	}
	for _, refusal := range actions.Refuse {
		s.notifyWaiter(refusal.ID, slotResult{retryAfter: refusal.RetryAfter})
	}
}

// notifyWaiter ends the wait of one ticket.
func (s *service) notifyWaiter(id uint64, result slotResult) {
	results, ok := s.waiters[id]
	if !ok {
		return
	}
	delete(s.waiters, id)
	results <- result
}
