package experiment

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/retry"
	"github.com/lovagedyke/lovagedyke/internal/route"
)

const (
	retryRun              = 30 * time.Second
	faultFrom             = 5 * time.Second
	faultUntil            = 10 * time.Second
	recoveredFrom         = 20 * time.Second
	attemptTimeoutFactor  = 8 // times the mean run time
	notRepeatableFraction = 0.2
	naiveAttempts         = 3
)

// retryPolicy decides whether a failed attempt is retried.
type retryPolicy interface {
	recordRequest()
	allow(now time.Time, a retry.Attempt) bool
}

// budgetPolicy allows retries within a retry.Budget, the policy under test.
type budgetPolicy struct{ budget *retry.Budget }

func (p budgetPolicy) recordRequest() { p.budget.RecordRequest() }

func (p budgetPolicy) allow(now time.Time, a retry.Attempt) bool {
	return p.budget.Allow(now, a) == retry.Allowed
}

// naivePolicy allows a fixed number of attempts for each request.
type naivePolicy struct{ attempts int }

func (naivePolicy) recordRequest() {}

func (p naivePolicy) allow(now time.Time, a retry.Attempt) bool {
	return a.Number < p.attempts && now.Before(a.Deadline)
}

// retryBench simulates a service whose entries choose endpoints with a route.Picker.
// There are no schedulers, so that the load added by retries reaches the endpoints.
type retryBench struct {
	*engine
	deployment   Deployment
	utilisation  float64
	fault        fault
	loadRandom   *rand.Rand // for arrivals and run times
	policyRandom *rand.Rand
	entries      []*retryEntry
	endpoints    []*retryEndpoint
	measure      retryMeasure
}

type retryEntry struct {
	index  int
	picker *route.Picker
	policy retryPolicy
}

type retryEndpoint struct {
	index int
	busy  int
	queue []*attempt
}

type retryRequest struct {
	entry         *retryEntry
	arrived       time.Time
	notRepeatable bool
	runTime       time.Duration
	attempts      int
	executions    int
	tried         []netip.AddrPort
}

type attempt struct {
	request   *retryRequest
	endpoint  int
	sent      time.Time
	completed bool // answered or timed out
}

// phase holds the counts for requests that arrived in one part of the run.
type phase struct{ requests, attempts, answered int }

type retryMeasure struct {
	all, fault, recovered        phase
	notRepeatable, executedTwice int
}

func newRetryBench(d Deployment, utilisation float64, f fault, seed uint64, policy func() retryPolicy) *retryBench {
	b := &retryBench{
		engine: newEngine(), deployment: d, utilisation: utilisation, fault: f,
		loadRandom: newRandom(seed), policyRandom: newRandom(^seed),
	}
	for i := range d.Endpoints {
		b.endpoints = append(b.endpoints, &retryEndpoint{index: i})
	}
	for i := range d.Entries {
		p := route.New(route.Config{Entry: d.entry(i), DataCentre: d.dataCentre(i)})
		p.SetEndpoints(b.now, d.endpointList())
		p.SetEntries(d.Entries)
		b.entries = append(b.entries, &retryEntry{index: i, picker: p, policy: policy()})
	}
	return b
}

func (b *retryBench) run() outcome {
	for _, e := range b.entries {
		b.scheduleArrival(e)
		b.every(time.Duration(b.policyRandom.Int64N(int64(gossipInterval))), gossipInterval, func() { b.gossip(e) })
	}
	b.runFor(retryRun + b.requestTimeout())
	return b.measure.outcome()
}

func (b *retryBench) attemptTimeout() time.Duration {
	return attemptTimeoutFactor * b.deployment.RunTime
}

func (b *retryBench) requestTimeout() time.Duration {
	return naiveAttempts * b.attemptTimeout()
}

func (b *retryBench) gossip(from *retryEntry) {
	load := from.picker.Load(nil)
	for _, to := range b.entries {
		if to != from && b.policyRandom.Float64() >= gossipLoss {
			b.after(b.deployment.delay(from.index, to.index), func() {
				to.picker.SetPeerLoad(b.now, b.deployment.entry(from.index), load)
			})
		}
	}
}

func (b *retryBench) scheduleArrival(e *retryEntry) {
	rate := b.utilisation * float64(b.deployment.slots()) / float64(b.deployment.Entries)
	b.after(exponential(b.loadRandom, time.Duration(float64(b.deployment.RunTime)/rate)), func() {
		if b.elapsed() >= retryRun {
			return
		}
		r := &retryRequest{
			entry: e, arrived: b.now, runTime: b.deployment.runTime(b.loadRandom),
			notRepeatable: b.loadRandom.Float64() < notRepeatableFraction,
		}
		b.updatePhases(r, func(p *phase) { p.requests++ })
		if r.notRepeatable {
			b.measure.notRepeatable++
		}
		e.policy.recordRequest()
		b.attempt(r)
		b.scheduleArrival(e)
	})
}

// updatePhases applies a change to the phases in which the request arrived.
func (b *retryBench) updatePhases(r *retryRequest, change func(*phase)) {
	change(&b.measure.all)
	at := r.arrived.Sub(epoch)
	if at >= faultFrom && at < faultUntil {
		change(&b.measure.fault)
	}
	if at >= recoveredFrom {
		change(&b.measure.recovered)
	}
}

func (b *retryBench) attempt(r *retryRequest) {
	addr, ok := r.entry.picker.Pick(b.now, b.policyRandom, r.tried)
	if !ok {
		return
	}
	r.attempts++
	r.tried = append(r.tried, addr)
	b.updatePhases(r, func(p *phase) { p.attempts++ })
	a := &attempt{request: r, endpoint: int(addr.Port()) - firstPort, sent: b.now}
	b.after(b.deployment.delay(r.entry.index, a.endpoint), func() { b.receive(b.endpoints[a.endpoint], a) })
	b.after(b.attemptTimeout(), func() { b.complete(a, route.Failed) })
}

func (b *retryBench) receive(e *retryEndpoint, a *attempt) {
	_, fails := b.fault(e.index, b.elapsed())
	switch {
	case fails || len(e.queue) >= connectionsPerEndpoint:
		b.after(failureLatency, func() { b.answer(a, route.Failed) })
	case e.busy >= slotsPerEndpoint:
		e.queue = append(e.queue, a)
	default:
		b.serve(e, a)
	}
}

// serve runs an attempt even if it has already timed out at its entry.
func (b *retryBench) serve(e *retryEndpoint, a *attempt) {
	e.busy++
	a.request.executions++
	if a.request.notRepeatable && a.request.executions == 2 {
		b.measure.executedTwice++
	}
	slowness, _ := b.fault(e.index, b.elapsed())
	b.after(time.Duration(float64(a.request.runTime)*slowness), func() {
		e.busy--
		b.answer(a, route.Succeeded)
		if len(e.queue) > 0 {
			next := e.queue[0]
			e.queue = e.queue[1:]
			b.serve(e, next)
		}
	})
}

func (b *retryBench) answer(a *attempt, result route.Result) {
	b.after(b.deployment.delay(a.endpoint, a.request.entry.index), func() { b.complete(a, result) })
}

func (b *retryBench) complete(a *attempt, result route.Result) {
	if a.completed {
		return
	}
	a.completed = true
	r := a.request
	r.entry.picker.Done(b.now, endpointAddress(a.endpoint), result, b.now.Sub(a.sent))
	if result == route.Succeeded {
		b.updatePhases(r, func(p *phase) { p.answered++ })
		return
	}
	next := retry.Attempt{
		Number: r.attempts, NotRepeatable: r.notRepeatable, Sent: true, Deadline: r.arrived.Add(b.requestTimeout()),
	}
	if r.entry.policy.allow(b.now, next) {
		b.attempt(r)
	}
}

func (p phase) loadFactor() float64 {
	return float64(p.attempts) / float64(max(1, p.requests))
}

func (p phase) answeredPercent() float64 {
	return 100 * float64(p.answered) / float64(max(1, p.requests))
}

func (m retryMeasure) outcome() outcome {
	return outcome{values: []value{
		{"load in the fault", "times", m.fault.loadFactor()},
		{"answered in the fault", "%", m.fault.answeredPercent()},
		{"load 10 s later", "times", m.recovered.loadFactor()},
		{"answered 10 s later", "%", m.recovered.answeredPercent()},
		{"answered", "%", m.all.answeredPercent()},
		{"marked run twice", "%", 100 * float64(m.executedTwice) / float64(max(1, m.notRepeatable))},
	}}
}
