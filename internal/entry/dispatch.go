package entry

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/retry"
	"github.com/lovagedyke/lovagedyke/internal/route"
	"github.com/lovagedyke/lovagedyke/pkg/api"
)

// dispatch sends the call to endpoints until one responds, and writes the
// response. It takes over the admission and ends it.
func (e *Entry) dispatch(w http.ResponseWriter, c *call, adm *admission) *api.Problem {
	d := &dispatch{entry: e, call: c, service: adm.service, admission: adm}
	for {
		a, refusal := d.nextAttempt()
		if refusal != nil {
			return refusal
		}
		if a == nil {
			continue
		}
		res, ended := d.awaitResult(a)
		if !ended {
			return unknownOutcomeProblem(http.StatusGatewayTimeout, "deadline-passed", "the deadline passed before the endpoint answered")
		}
		var problem *api.Problem
		switch {
		case res.err != nil:
			problem = d.handleFailure(a, res)
		case isEndpointRefusal(res.response):
			problem = d.handleRefusal(a, res)
		default:
			return d.deliverResponse(w, a, res)
		}
		if problem != nil {
			return problem
		}
	}
}

// dispatch is the series of attempts to serve one call.
type dispatch struct {
	entry     *Entry
	call      *call
	service   *service
	admission *admission
	attempts  int
	// refusals counts the attempts for which the endpoint had no free slot.
	refusals int
	tried    []netip.AddrPort
	// mayHaveRun is true once an attempt was sent that got no complete
	// response.
	mayHaveRun bool
}

// nextAttempt picks an endpoint for the next attempt. If there is none, it ends
// the admission; if endpoints have refused the call, it also queues the call
// again and returns no attempt and no problem.
func (d *dispatch) nextAttempt() (*attempt, *api.Problem) {
	d.entry.followEvacuations()
	now := d.entry.now()
	endpoint, ok := d.service.pick(now, d.attempts == 0, d.tried)
	if !ok && d.refusals > 0 && d.call.isRepeatable() {
		d.admission.end(now)
		return nil, d.requeue()
	}
	if !ok {
		d.admission.end(now)
		return nil, d.noEndpointProblem()
	}
	d.attempts++
	d.tried = append(d.tried, endpoint)
	return &attempt{runID: d.entry.charges.newRunID(), endpoint: endpoint, started: now}, nil
}

// awaitResult sends the attempt and waits for its result. If the deadline
// passes or the caller disconnects, the result is recorded in the background.
func (d *dispatch) awaitResult(a *attempt) (res attemptResult, ended bool) {
	ctx, cancel := context.WithDeadline(d.entry.attemptsCtx, a.started.Add(d.call.entry.LongestRun))
	a.cancel = cancel
	results := d.entry.forwarder.send(ctx, a, endpointRequest(d.call, a))
	timer := time.NewTimer(d.call.deadline.Sub(a.started))
	defer timer.Stop()
	select {
	case res = <-results:
		return res, true
	case <-timer.C:
	case <-d.call.request.Context().Done():
	}
	d.entry.backgroundTasks.Go(func() { d.recordLateResult(a, <-results) })
	return attemptResult{}, false
}

// recordLateResult records a result that the caller no longer waits for.
func (d *dispatch) recordLateResult(a *attempt, res attemptResult) {
	if res.err != nil {
		d.recordFailure(a, res)
		return
	}
	complete := res.complete || discard(res.response.Body)
	closeBody(res.response)
	d.recordResponse(a, res, complete)
}

// isEndpointRefusal reports whether the endpoint responded that it had no free
// slot and did not run the request.
func isEndpointRefusal(response *http.Response) bool {
	return response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(headerRefused) != ""
}

// deliverResponse writes the endpoint's response to the caller and records the
// attempt.
func (d *dispatch) deliverResponse(w http.ResponseWriter, a *attempt, res attemptResult) *api.Problem {
	if res.complete {
		// Record first, so that a caller that has the response can look up its
		// charge and repeat an idempotent request.
		d.recordResponse(a, res, true)
		writeResponse(w, res)
		return nil
	}
	complete := writeResponse(w, res)
	d.recordResponse(a, res, complete)
	if !complete {
		panic(http.ErrAbortHandler)
	}
	return nil
}

// handleFailure records a failed attempt. It returns nil if another attempt may
// follow.
func (d *dispatch) handleFailure(a *attempt, res attemptResult) *api.Problem {
	sent := a.sent.Load()
	now := d.entry.now()
	verdict := d.service.allowRetry(now, retry.Attempt{
		Number: d.attempts, NotRepeatable: !d.call.isRepeatable(), Sent: sent, Deadline: d.call.deadline,
	})
	d.mayHaveRun = d.mayHaveRun || sent
	retrying := verdict == retry.Allowed
	if retrying && !sent {
		// Nothing ran, so the slot and the permit are kept for the next attempt.
		d.endAttempt(a, now, route.Failed)
		return nil
	}
	d.recordFailure(a, res)
	if !retrying {
		return d.finalProblem("endpoint-failed", "the endpoint's answer broke off or never began")
	}
	return d.readmit()
}

// handleRefusal handles an endpoint's refusal of an attempt. A repeatable call
// is retried at another endpoint or, after maxRefusals refusals, queued again.
// Any other call ends here: the caller has to repeat it. handleRefusal returns
// nil if another attempt follows. A refused attempt costs its endpoint no work,
// so it does not count against the retry budget.
func (d *dispatch) handleRefusal(a *attempt, res attemptResult) *api.Problem {
	closeBody(res.response)
	now := d.entry.now()
	d.refusals++
	if d.call.isRepeatable() && d.refusals%maxRefusals != 0 {
		d.endAttempt(a, now, route.Refused)
		return nil
	}
	d.recordRefusal(a)
	if !d.call.isRepeatable() {
		return d.finalProblem("endpoint-full", "the endpoint had no free slot")
	}
	return d.requeue()
}

// requeue queues a refused call again. It returns nil once the call is
// readmitted and may try all endpoints again.
func (d *dispatch) requeue() *api.Problem {
	d.tried = nil
	if !d.waitBeforeRetry(refusalRetryDelay) {
		return d.finalProblem("endpoints-full", "the endpoints have no free slot")
	}
	return d.readmit()
}

// waitBeforeRetry waits before a refused call is queued again. It returns false
// if the deadline is too close or the caller has disconnected.
func (d *dispatch) waitBeforeRetry(delay time.Duration) bool {
	if d.entry.now().Add(2 * delay).After(d.call.deadline) {
		return false
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-d.call.request.Context().Done():
		return false
	}
}

// endAttempt ends an attempt that does not run any more. The slot and the
// permit are kept.
func (d *dispatch) endAttempt(a *attempt, now time.Time, result route.Result) {
	d.service.recordAttempt(now, a.endpoint, result, now.Sub(a.started))
	d.entry.outstanding.end(a.endpoint)
	a.cancel()
}

// recordRefusal records an attempt that the endpoint did not run, and ends the
// admission.
func (d *dispatch) recordRefusal(a *attempt) {
	now := d.entry.now()
	d.endAttempt(a, now, route.Refused)
	d.entry.outcomes.recordNotRun(d.call)
	d.admission.end(now)
}

// readmit acquires a new slot and permit for another attempt.
func (d *dispatch) readmit() *api.Problem {
	adm, refusal := d.entry.admit(d.call, d.service)
	if refusal != nil && d.mayHaveRun {
		return d.finalProblem(refusal.Reason, refusal.Detail)
	}
	if refusal != nil {
		return refusal
	}
	d.admission = adm
	return nil
}

// noEndpointProblem returns the problem for a call for which no endpoint is left.
func (d *dispatch) noEndpointProblem() *api.Problem {
	switch {
	case !d.service.isEvacuated():
		return d.finalProblem("no-endpoint", "no endpoint of the service takes work")
	case d.mayHaveRun:
		return d.finalProblem(reasonEvacuated, detailEvacuated)
	}
	return evacuatedProblem()
}

// finalProblem returns the problem for a call that will not be attempted again.
func (d *dispatch) finalProblem(reason, detail string) *api.Problem {
	if d.mayHaveRun {
		return unknownOutcomeProblem(http.StatusBadGateway, reason, detail)
	}
	return unavailableProblem(reason, detail, defaultRetryAfter)
}

const (
	// maxRefusals is the number of endpoints that may refuse a call before it
	// is queued again.
	maxRefusals = 3
	// refusalRetryDelay lets slots become free before a refused call is queued
	// again.
	refusalRetryDelay = 10 * time.Millisecond
)

// defaultRetryAfter is the Retry-After for callers when there is no better
// estimate.
const defaultRetryAfter = time.Second

// recordResponse records an attempt that got a response. The run is proven only
// if the response is complete.
func (d *dispatch) recordResponse(a *attempt, res attemptResult, complete bool) {
	if !complete {
		d.recordFailure(a, res)
		return
	}
	if isEndpointRefusal(res.response) {
		d.recordRefusal(a)
		return
	}
	now := d.entry.now()
	d.entry.outcomes.recordCompleted(d.call, a, res, now)
	d.endAttempt(a, now, routeResult(res.response.StatusCode))
	d.admission.end(now)
}

// recordFailure records an attempt without a complete response.
func (d *dispatch) recordFailure(a *attempt, res attemptResult) {
	now := d.entry.now()
	if !a.sent.Load() {
		d.endAttempt(a, now, route.Failed)
		d.entry.outcomes.recordNotRun(d.call)
		d.admission.end(now)
		return
	}
	until := a.started.Add(d.call.entry.LongestRun)
	d.service.recordAttempt(now, a.endpoint, route.Failed, now.Sub(a.started))
	a.cancel()
	d.entry.outcomes.recordUnproven(d.call, a, res.err, now)
	d.entry.outstanding.linger(a.endpoint, until)
	d.admission.linger(now, until)
}

// routeResult returns what an HTTP status says about the endpoint's health.
func routeResult(status int) route.Result {
	switch {
	case status == http.StatusServiceUnavailable:
		return route.Refused
	case status >= http.StatusInternalServerError:
		return route.Failed
	default:
		return route.Succeeded
	}
}
