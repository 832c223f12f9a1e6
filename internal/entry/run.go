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

// run sends the call to endpoints until one answers, and passes the answer on.
// It owns the admission.
func (e *Entry) run(w http.ResponseWriter, c *call, adm *admission) *api.Problem {
	trial := &trial{entry: e, call: c, service: adm.service, admission: adm}
	for {
		a, refusal := trial.begin()
		if refusal != nil {
			return refusal
		}
		if a == nil {
			continue
		}
		rep, ended := trial.await(a)
		if !ended {
			return uncertain(http.StatusGatewayTimeout, "deadline-passed", "the deadline passed before the endpoint answered")
		}
		var problem *api.Problem
		switch {
		case rep.err != nil:
			problem = trial.fail(a, rep)
		case refused(rep.response):
			problem = trial.decline(a, rep)
		default:
			return trial.deliver(w, a, rep)
		}
		if problem != nil {
			return problem
		}
	}
}

// trial is the series of attempts at one call.
type trial struct {
	entry     *Entry
	call      *call
	service   *service
	admission *admission
	attempts  int
	// declined counts the attempts that an endpoint had no slot for.
	declined int
	tried    []netip.AddrPort
	// mayHaveRun is true once an attempt without a whole answer was sent.
	mayHaveRun bool
}

// begin picks an endpoint for the next attempt. Without one the admission ends,
// or, when all declined, the call has queued again and there is no attempt yet.
func (t *trial) begin() (*attempt, *api.Problem) {
	now := t.entry.now()
	endpoint, ok := t.service.pick(now, t.attempts == 0, t.tried)
	if !ok && t.declined > 0 && t.call.repeatable() {
		t.admission.end(now)
		return nil, t.requeue()
	}
	if !ok {
		t.admission.end(now)
		return nil, t.giveUp("no-endpoint", "no endpoint of the service takes work")
	}
	t.attempts++
	t.tried = append(t.tried, endpoint)
	return &attempt{run: t.entry.charges.newRunID(), endpoint: endpoint, started: now}, nil
}

// await sends the attempt and waits for its reply until the deadline. When the
// deadline passes or the caller leaves, the reply is settled in the background.
func (t *trial) await(a *attempt) (rep reply, ended bool) {
	ctx, cancel := context.WithDeadline(t.entry.runs, a.started.Add(t.call.entry.LongestRun))
	a.cancel = cancel
	replies := t.entry.forwarder.start(ctx, a, outgoing(t.call, a))
	timer := time.NewTimer(t.call.deadline.Sub(a.started))
	defer timer.Stop()
	select {
	case rep = <-replies:
		return rep, true
	case <-timer.C:
	case <-t.call.request.Context().Done():
	}
	t.entry.late.Go(func() { t.settleLate(a, <-replies) })
	return reply{}, false
}

// settleLate settles a reply that nobody waits for.
func (t *trial) settleLate(a *attempt, rep reply) {
	if rep.err != nil {
		t.settleFailure(a, rep)
		return
	}
	whole := rep.whole || discard(rep.response.Body)
	closeBody(rep.response)
	t.settleAnswer(a, rep, whole)
}

// refused reports whether an answer is an endpoint's word that it had no slot
// and did not run the request.
func refused(response *http.Response) bool {
	return response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(headerRefused) != ""
}

// deliver passes the answer to the caller and settles the attempt.
func (t *trial) deliver(w http.ResponseWriter, a *attempt, rep reply) *api.Problem {
	if rep.whole {
		// The books come first, so that a caller who has the answer can look
		// up its charge and repeat a marked request.
		t.settleAnswer(a, rep, true)
		writeAnswer(w, rep)
		return nil
	}
	whole := writeAnswer(w, rep)
	t.settleAnswer(a, rep, whole)
	if !whole {
		panic(http.ErrAbortHandler)
	}
	return nil
}

// fail settles a failed attempt; nil means that another may follow.
func (t *trial) fail(a *attempt, rep reply) *api.Problem {
	sent := a.sent.Load()
	now := t.entry.now()
	verdict := t.service.retry(now, retry.Attempt{
		Number: t.attempts, NotRepeatable: !t.call.repeatable(), Sent: sent, Deadline: t.call.deadline,
	})
	t.mayHaveRun = t.mayHaveRun || sent
	again := verdict == retry.Allowed
	if again && !sent {
		// Nothing ran: slot and permit serve for the next attempt.
		t.leave(a, now, route.Failed)
		return nil
	}
	t.settleFailure(a, rep)
	if !again {
		return t.giveUp("endpoint-failed", "the endpoint's answer broke off or never began")
	}
	return t.readmit()
}

// decline tries a declined call at another endpoint, at once while there are
// some and then when a slot has come free; nil means that another attempt
// follows. A declined attempt costs its endpoint no work, so it takes nothing
// from the retry budget. A call that is not repeatable ends here: it is the
// caller's to send it again.
func (t *trial) decline(a *attempt, rep reply) *api.Problem {
	closeBody(rep.response)
	now := t.entry.now()
	t.declined++
	if t.call.repeatable() && t.declined%maxDeclines != 0 {
		t.leave(a, now, route.Refused)
		return nil
	}
	t.settleDeclined(a)
	if !t.call.repeatable() {
		return t.giveUp("endpoint-full", "the endpoint had no free slot")
	}
	return t.requeue()
}

// requeue has a call that endpoints declined wait for its turn again; nil means
// that it may try them anew.
func (t *trial) requeue() *api.Problem {
	t.tried = nil
	if !t.pause(declinePause) {
		return t.giveUp("endpoints-full", "the endpoints have no free slot")
	}
	return t.readmit()
}

// pause waits before a declined call queues again; false when the deadline
// leaves no time for that, or the caller has left.
func (t *trial) pause(d time.Duration) bool {
	if t.entry.now().Add(2 * d).After(t.call.deadline) {
		return false
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-t.call.request.Context().Done():
		return false
	}
}

// leave ends an attempt of which nothing ran; slot and permit stay.
func (t *trial) leave(a *attempt, now time.Time, result route.Result) {
	t.service.done(now, a.endpoint, result, now.Sub(a.started))
	t.entry.outstanding.end(a.endpoint)
	a.cancel()
}

// settleDeclined books an attempt that the endpoint did not run.
func (t *trial) settleDeclined(a *attempt) {
	now := t.entry.now()
	t.leave(a, now, route.Refused)
	t.entry.books.notRun(t.call)
	t.admission.end(now)
}

// readmit takes slot and permit anew for another attempt.
func (t *trial) readmit() *api.Problem {
	adm, refusal := t.entry.admit(t.call, t.service)
	if refusal != nil && t.mayHaveRun {
		return t.giveUp(refusal.Reason, refusal.Detail)
	}
	if refusal != nil {
		return refusal
	}
	t.admission = adm
	return nil
}

// giveUp answers a call that no endpoint will answer any more.
func (t *trial) giveUp(reason, detail string) *api.Problem {
	if t.mayHaveRun {
		return uncertain(http.StatusBadGateway, reason, detail)
	}
	return busy(reason, detail, comeBackSoon)
}

const (
	// maxDeclines is the number of endpoints that a call is tried at before it
	// queues again.
	maxDeclines = 3
	// declinePause lets slots come free before a declined call queues again.
	declinePause = 10 * time.Millisecond
)

// comeBackSoon is told where nothing better is known.
const comeBackSoon = time.Second

// settleAnswer books an answer: whole means that the run is proven.
func (t *trial) settleAnswer(a *attempt, rep reply, whole bool) {
	if !whole {
		t.settleFailure(a, rep)
		return
	}
	if refused(rep.response) {
		t.settleDeclined(a)
		return
	}
	now := t.entry.now()
	t.entry.books.proven(t.call, a, rep, now)
	t.leave(a, now, resultOf(rep.response.StatusCode))
	t.admission.end(now)
}

// settleFailure books an attempt without a whole answer.
func (t *trial) settleFailure(a *attempt, rep reply) {
	now := t.entry.now()
	if !a.sent.Load() {
		t.leave(a, now, route.Failed)
		t.entry.books.notRun(t.call)
		t.admission.end(now)
		return
	}
	until := a.started.Add(t.call.entry.LongestRun)
	t.service.done(now, a.endpoint, route.Failed, now.Sub(a.started))
	a.cancel()
	t.entry.books.unproven(t.call, a, rep.err, now)
	t.entry.outstanding.linger(a.endpoint, until)
	t.admission.linger(now, until)
}

// resultOf tells what a status says of the endpoint's health.
func resultOf(status int) route.Result {
	switch {
	case status == http.StatusServiceUnavailable:
		return route.Refused
	case status >= http.StatusInternalServerError:
		return route.Failed
	default:
		return route.Succeeded
	}
}
