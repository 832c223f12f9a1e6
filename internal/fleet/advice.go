package fleet

import (
	"time"

	"github.com/lovagedyke/lovagedyke/internal/job"
)

const (
	// adviceEndpoints is how many endpoints one question names at most (the platform's page of calls).
	adviceEndpoints = 100
	// adviceAgain is how long an unanswered question stands before it is asked again.
	adviceAgain = 2 * time.Second
	// ticketMargin is how long before its end a ticket is not used any more.
	ticketMargin = 300 * time.Millisecond
)

// hasTickets reports whether a step may start as far as advice goes; it asks
// for advice that is missing.
func (l *Leader) hasTickets(g group, rooms []*endpointRoom, orders *Orders, now time.Time) bool {
	queue, ok := l.policy.Queues[g.job.submission.Queue]
	if !ok || queue.Advice == nil {
		return true
	}
	if g.step.granted != nil && now.Before(g.step.grantedUntil) {
		return true
	}
	if g.step.asked && now.Sub(g.step.askedAt) < adviceAgain {
		return false
	}
	ask := AdviceRequest{Job: g.job.submission.ID, Step: g.step.key}
	for _, room := range rooms {
		if len(ask.Endpoints) == adviceEndpoints {
			break
		}
		if room.endpoint.hasLabel(g.step.step.Requires) {
			ask.Endpoints = append(ask.Endpoints, room.endpoint.row.ID)
		}
	}
	if len(ask.Endpoints) == 0 {
		return false
	}
	g.step.asked, g.step.askedAt = true, now
	g.step.granted = nil
	orders.AdviceRequests = append(orders.AdviceRequests, ask)
	return false
}

// Advised takes the answer to a question; ok is false if there was none.
func (l *Leader) HandleAdvice(ask AdviceRequest, granted AdviceGrant, ok bool, now time.Time) {
	j := l.jobs[ask.Job]
	if j == nil || j.steps[job.StepKey(ask.Step)] == nil {
		return
	}
	step := j.steps[ask.Step]
	l.note("advice", "job", ask.Job, "step", ask.Step.Step, "asked-for", len(ask.Endpoints), "granted", len(granted.Tickets), "answered", ok)
	if !ok || len(granted.Tickets) == 0 {
		// Ask again after a pause; the answer for an endpoint does not change, but the endpoints do.
		step.askedAt = now.Add(-adviceAgain / 2)
		return
	}
	step.asked = false
	step.granted = granted.Tickets
	step.grantedUntil = now.Add(granted.TicketLifetime - ticketMargin)
}
