package fleet

import (
	"time"

	"github.com/lovagedyke/lovagedyke/internal/job"
)

const (
	// maxAdviceEndpoints is how many endpoints one question names at most (the platform's page of calls).
	maxAdviceEndpoints = 100
	// adviceRetryDelay is how long an unanswered question stands before it is asked again.
	adviceRetryDelay = 2 * time.Second
	// ticketMargin is how long before its end a ticket is not used any more.
	ticketMargin = 300 * time.Millisecond
)

// hasAdvice reports whether a step may start as far as advice goes; it asks
// for advice that is missing.
func (l *Leader) hasAdvice(g taskGroup, candidates []*candidateEndpoint, orders *Orders, now time.Time) bool {
	queue, ok := l.policy.Queues[g.job.submission.Queue]
	if !ok || queue.Advice == nil {
		return true
	}
	if g.step.grant != nil && now.Before(g.step.grantExpiresAt) {
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
	g.step.grant = nil
	orders.AdviceRequests = append(orders.AdviceRequests, request)
	return false
}

// HandleAdvice takes the answer to a question; ok is false if there was none.
func (l *Leader) HandleAdvice(request AdviceRequest, grant AdviceGrant, ok bool, now time.Time) {
	j := l.jobs[request.Job]
	if j == nil || j.steps[job.StepKey(request.Step)] == nil {
		return
	}
	step := j.steps[request.Step]
	l.log("advice", "job", request.Job, "step", request.Step.Step, "asked-for", len(request.Endpoints), "granted", len(grant.Tickets), "answered", ok)
	if !ok || len(grant.Tickets) == 0 {
		// Ask again after a pause; the answer for an endpoint does not change, but the endpoints do.
		step.adviceRequestedAt = now.Add(-adviceRetryDelay / 2)
		return
	}
	step.adviceRequested = false
	step.grant = grant.Tickets
	step.grantExpiresAt = now.Add(grant.TicketLifetime - ticketMargin)
}
