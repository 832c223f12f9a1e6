package fleet

import (
	"time"

	"github.com/lovagedyke/lovagedyke/internal/job"
)

const (
	// maxAdviceEndpoints is the platform's limit of endpoints in one advice request.
	maxAdviceEndpoints = 100
	// adviceRetryDelay is the time after which an unanswered advice request is repeated.
	adviceRetryDelay = 2 * time.Second
	// ticketMargin is how long before its expiry a ticket is no longer used.
	ticketMargin = 300 * time.Millisecond
)

// hasAdvice reports whether the step needs no advice or holds valid tickets. If
// tickets are missing, it orders an advice request.
func (l *Leader) hasAdvice(g taskGroup, candidates []*candidateEndpoint, orders *Orders, now time.Time) bool {
	queue, ok := l.policy.Queues[g.job.submission.Queue]
	if !ok || queue.Advice == nil {
		return true
	}
	if g.step.tickets != nil && now.Before(g.step.ticketsExpireAt) && !l.areTicketsEvacuated(g.step.tickets) {
		return true
	}
	if g.step.adviceRequested && now.Sub(g.step.adviceRequestedAt) < adviceRetryDelay {
		return false
	}
	request := AdviceRequest{Job: g.job.submission.ID, Step: g.step.key}
	for _, candidate := range candidates {
		if len(request.Endpoints) == maxAdviceEndpoints {
			break
		}
		if candidate.endpoint.hasLabel(g.step.step.Requires) {
			request.Endpoints = append(request.Endpoints, candidate.endpoint.row.ID)
		}
	}
	if len(request.Endpoints) == 0 {
		return false
	}
	g.step.adviceRequested, g.step.adviceRequestedAt = true, now
	g.step.tickets = nil
	orders.AdviceRequests = append(orders.AdviceRequests, request)
	return false
}

// areTicketsEvacuated reports whether all endpoints with a ticket are evacuated.
func (l *Leader) areTicketsEvacuated(tickets map[EndpointID]string) bool {
	if len(l.evacuations.byDataCentre) == 0 {
		return false
	}
	for id := range tickets {
		if e := l.endpoints[id]; e == nil || !l.isEvacuated(e) {
			return false
		}
	}
	return len(tickets) > 0
}

// HandleAdvice processes the answer to an advice request; ok is false if the request failed.
func (l *Leader) HandleAdvice(request AdviceRequest, grant AdviceGrant, ok bool, now time.Time) {
	j := l.jobs[request.Job]
	if j == nil || j.steps[job.StepKey(request.Step)] == nil {
		return
	}
	step := j.steps[request.Step]
	l.log("advice", "job", request.Job, "step", request.Step.Step, "asked-for", len(request.Endpoints), "granted", len(grant.Tickets), "answered", ok)
	if !ok || len(grant.Tickets) == 0 {
		// Repeat the request after half the delay: the answer for one endpoint does not
		// change, but the set of endpoints does.
		step.adviceRequestedAt = now.Add(-adviceRetryDelay / 2)
		return
	}
	step.adviceRequested = false
	step.tickets = grant.Tickets
	step.ticketsExpireAt = now.Add(grant.TicketLifetime - ticketMargin)
}
