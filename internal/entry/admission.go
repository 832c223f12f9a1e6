package entry

import (
	"time"

	"github.com/lovagedyke/lovagedyke/internal/catalogue"
	"github.com/lovagedyke/lovagedyke/internal/share"
	"github.com/lovagedyke/lovagedyke/pkg/api"
)

// admission is the slot and the permit under which a request runs.
type admission struct {
	service *service
	permits *permits
	ticket  uint64
	team    string
}

// admit waits for a slot of the service and a permit of the team, and refuses
// as soon as it is clear that one of them will come too late.
func (e *Entry) admit(c *call, s *service) (*admission, *api.Problem) {
	a := &admission{service: s, permits: e.permits, ticket: e.tickets.Add(1), team: c.team}
	if refusal := e.takeSlot(c, a); refusal != nil {
		return nil, refusal
	}
	now := e.now()
	taken, wait, retryAfter := e.permits.acquire(c.team, now, c.deadline)
	if taken {
		return a, nil
	}
	// The slot must not stand idle while the team waits for a permit.
	s.finish(now, a.ticket)
	if wait == nil {
		return nil, busy("team-at-limit", "the team runs as much as its upper limit allows", retryAfter)
	}
	if refusal := e.awaitPermit(c, wait); refusal != nil {
		return nil, refusal
	}
	a.ticket = e.tickets.Add(1)
	if refusal := e.takeSlot(c, a); refusal != nil {
		e.permits.release(c.team, e.now())
		return nil, refusal
	}
	return a, nil
}

// takeSlot submits the ticket and waits for its turn.
func (e *Entry) takeSlot(c *call, a *admission) *api.Problem {
	ticket := share.Ticket{
		ID: a.ticket, Team: c.team, Class: shareClass(c.entry.Class),
		Deadline: a.service.latestStart(c.deadline),
	}
	outcome, turns := a.service.submit(e.now(), ticket)
	switch outcome.Decision {
	case share.Start:
		return nil
	case share.Refused:
		return a.service.refusal(outcome.RetryAfter)
	}
	select {
	case t := <-turns:
		if !t.start {
			return a.service.refusal(t.retryAfter)
		}
		return nil
	case <-c.request.Context().Done():
		if !a.service.cancel(e.now(), a.ticket) {
			if t := <-turns; t.start {
				a.service.finish(e.now(), a.ticket)
			}
		}
		return callerGone()
	}
}

// awaitPermit waits for a permit until the deadline.
func (e *Entry) awaitPermit(c *call, wait chan struct{}) *api.Problem {
	timer := time.NewTimer(c.deadline.Sub(e.now()))
	defer timer.Stop()
	refusal := busy("team-at-limit", "the team runs as much as its upper limit allows", firstPermitWait)
	select {
	case <-wait:
		return nil
	case <-timer.C:
	case <-c.request.Context().Done():
		refusal = callerGone()
	}
	if !e.permits.cancel(c.team, wait) {
		e.permits.release(c.team, e.now())
	}
	return refusal
}

// end returns slot and permit: the work is known to have ended.
func (a *admission) end(now time.Time) {
	a.service.finish(now, a.ticket)
	a.permits.release(a.team, now)
}

// linger returns the slot, but keeps the permit until the work cannot run any more.
func (a *admission) linger(now, until time.Time) {
	a.service.finish(now, a.ticket)
	a.permits.ledger.Linger(a.team, until)
}

// noEndpoint refuses work that has nowhere to go.
func noEndpoint() *api.Problem {
	return busy("no-endpoint", "no endpoint of the service takes work", comeBackSoon)
}

// callerGone ends a request whose caller has hung up; nobody reads it.
func callerGone() *api.Problem {
	return refuse(statusClientClosedRequest, "caller-gone", "", "the caller closed the connection")
}

// statusClientClosedRequest is the customary status for it, in logs only.
const statusClientClosedRequest = 499

// shareClass returns the scheduler's class for the catalogue's.
func shareClass(class catalogue.Class) share.Class {
	switch class {
	case catalogue.ClassUrgent:
		return share.Urgent
	case catalogue.ClassBatch:
		return share.Batch
	default:
		return share.Normal
	}
}
