package entry

import (
	"time"

	"github.com/lovagedyke/lovagedyke/internal/catalogue"
	"github.com/lovagedyke/lovagedyke/internal/share"
	"github.com/lovagedyke/lovagedyke/pkg/api"
)

// admission is the slot of a service and the permit of a team that a request
// holds while it runs.
type admission struct {
	service *service
	permits *permits
	ticket  uint64
	team    string
}

// admit acquires a slot of the service and a permit of the team. It refuses the
// request as soon as one of them cannot be had in time.
func (e *Entry) admit(c *call, s *service) (*admission, *api.Problem) {
	a := &admission{service: s, permits: e.permits, ticket: e.lastTicket.Add(1), team: c.team}
	if refusal := e.acquireSlot(c, a); refusal != nil {
		return nil, refusal
	}
	now := e.now()
	acquired, wait, retryAfter := e.permits.acquire(c.team, now, c.deadline)
	if acquired {
		return a, nil
	}
	// Release the slot, so that it is not idle while the team waits for a
	// permit.
	s.releaseSlot(now, a.ticket)
	if wait == nil {
		return nil, unavailableProblem("team-at-limit", "the team runs as much as its upper limit allows", retryAfter)
	}
	if refusal := e.awaitPermit(c, wait); refusal != nil {
		return nil, refusal
	}
	a.ticket = e.lastTicket.Add(1)
	if refusal := e.acquireSlot(c, a); refusal != nil {
		e.permits.release(c.team, e.now())
		return nil, refusal
	}
	return a, nil
}

// acquireSlot submits the ticket and waits for its result.
func (e *Entry) acquireSlot(c *call, a *admission) *api.Problem {
	e.followEvacuations()
	ticket := share.Ticket{
		ID: a.ticket, Team: c.team, Class: shareClass(c.entry.Class),
		Deadline: a.service.latestStart(c.deadline),
	}
	outcome, results := a.service.submit(e.now(), ticket)
	switch outcome.Decision {
	case share.Start:
		return nil
	case share.Refused:
		return a.service.refusalProblem(outcome.RetryAfter)
	}
	select {
	case result := <-results:
		if !result.granted {
			return a.service.refusalProblem(result.retryAfter)
		}
		return nil
	case <-c.request.Context().Done():
		if !a.service.cancel(e.now(), a.ticket) {
			if result := <-results; result.granted {
				a.service.releaseSlot(e.now(), a.ticket)
			}
		}
		return callerGoneProblem()
	}
}

// awaitPermit waits for a permit until the deadline.
func (e *Entry) awaitPermit(c *call, wait chan struct{}) *api.Problem {
	timer := time.NewTimer(c.deadline.Sub(e.now()))
	defer timer.Stop()
	refusal := unavailableProblem("team-at-limit", "the team runs as much as its upper limit allows", defaultPermitWait)
	select {
	case <-wait:
		return nil
	case <-timer.C:
	case <-c.request.Context().Done():
		refusal = callerGoneProblem()
	}
	if !e.permits.cancel(c.team, wait) {
		e.permits.release(c.team, e.now())
	}
	return refusal
}

// end releases the slot and the permit of work that is known to have ended.
func (a *admission) end(now time.Time) {
	a.service.releaseSlot(now, a.ticket)
	a.permits.release(a.team, now)
}

// linger releases the slot but keeps the permit until the given time, after
// which the work can no longer be running.
func (a *admission) linger(now, until time.Time) {
	a.service.releaseSlot(now, a.ticket)
	a.permits.ledger.Linger(a.team, until)
}

// noEndpointProblem returns the refusal of work for which no endpoint is
// available.
func noEndpointProblem() *api.Problem {
	return unavailableProblem("no-endpoint", "no endpoint of the service takes work", defaultRetryAfter)
}

// evacuationRetryAfter is the Retry-After of work that only evacuated endpoints
// could serve. An operator decides when the evacuation ends.
const evacuationRetryAfter = 10 * time.Second

// Reason and detail of the refusal of work that only evacuated endpoints could
// serve.
const (
	reasonEvacuated = api.ReasonEvacuated
	detailEvacuated = "the data centres of all endpoints that could serve it are being evacuated"
)

// evacuatedProblem returns the refusal of work that only evacuated endpoints could
// serve.
func evacuatedProblem() *api.Problem {
	return unavailableProblem(reasonEvacuated, detailEvacuated, evacuationRetryAfter)
}

// callerGoneProblem returns the problem for a request whose caller has
// disconnected. It appears only in logs and metrics.
func callerGoneProblem() *api.Problem {
	return notRunProblem(statusClientClosedRequest, "caller-gone", "", "the caller closed the connection")
}

// statusClientClosedRequest is the conventional non-standard status for a
// request whose caller has disconnected.
const statusClientClosedRequest = 499

// shareClass converts a class of the catalogue to the scheduler's class.
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
