package experiment

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/retry"
	"github.com/lovagedyke/lovagedyke/internal/route"
)

const (
	retryRun       = 30 * time.Second
	faultFrom      = 5 * time.Second
	faultUntil     = 10 * time.Second
	recoveredFrom  = 20 * time.Second
	attemptTimeout = 8 // mean run times
	markedFraction = 0.2
	naiveAttempts  = 3
)

// retryPolicy decides on another attempt.
type retryPolicy interface {
	fresh()
	allow(now time.Time, a retry.Attempt) bool
}

// budgetPolicy is the product's retry.Budget.
type budgetPolicy struct{ budget *retry.Budget }

func (p budgetPolicy) fresh() { p.budget.RecordRequest() }

func (p budgetPolicy) allow(now time.Time, a retry.Attempt) bool {
	return p.budget.Allow(now, a) == retry.Allowed
}

// naivePolicy tries each request up to a number of times.
type naivePolicy struct{ attempts int }

func (naivePolicy) fresh() {}

func (p naivePolicy) allow(now time.Time, a retry.Attempt) bool {
	return a.Number < p.attempts && now.Before(a.Deadline)
}

// retryBench sends requests through the product's pickers, without schedulers,
// so that the load which retries add reaches the endpoints.
type retryBench struct {
	*engine
	deployment Deployment
	full       float64
	fault      fault
	random     *rand.Rand // of the load
	choices    *rand.Rand
	entries    []*retryEntry
	endpoints  []*retryEndpoint
	measure    retryMeasure
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
	entry    *retryEntry
	arrived  time.Time
	marked   bool
	runTime  time.Duration
	attempts int
	runs     int
	tried    []netip.AddrPort
}

type attempt struct {
	request  *retryRequest
	endpoint int
	sent     time.Time
	settled  bool // answered or timed out
}

// phase counts the requests that arrived in one part of the run.
type phase struct{ fresh, attempts, answered int }

type retryMeasure struct {
	all, fault, recovered phase
	marked, repeated      int
}

func newRetryBench(d Deployment, full float64, f fault, seed uint64, policy func() retryPolicy) *retryBench {
	b := &retryBench{
		engine: newEngine(), deployment: d, full: full, fault: f,
		random: newRandom(seed), choices: newRandom(^seed),
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
		b.arrive(e)
		b.every(time.Duration(b.choices.Int64N(int64(gossipInterval))), gossipInterval, func() { b.gossip(e) })
	}
	b.runFor(retryRun + b.requestTimeout())
	return b.measure.outcome()
}

func (b *retryBench) attemptTimeout() time.Duration {
	return attemptTimeout * b.deployment.RunTime
}

func (b *retryBench) requestTimeout() time.Duration {
	return naiveAttempts * b.attemptTimeout()
}

func (b *retryBench) gossip(from *retryEntry) {
	load := from.picker.Load(nil)
	for _, to := range b.entries {
		if to != from && b.choices.Float64() >= gossipLoss {
			b.after(b.deployment.delay(from.index, to.index), func() {
				to.picker.SetPeerLoad(b.now, b.deployment.entry(from.index), load)
			})
		}
	}
}

func (b *retryBench) arrive(e *retryEntry) {
	rate := b.full * float64(b.deployment.slots()) / float64(b.deployment.Entries)
	b.after(exponential(b.random, time.Duration(float64(b.deployment.RunTime)/rate)), func() {
		if b.elapsed() >= retryRun {
			return
		}
		r := &retryRequest{
			entry: e, arrived: b.now, runTime: b.deployment.runTime(b.random),
			marked: b.random.Float64() < markedFraction,
		}
		b.count(r, func(p *phase) { p.fresh++ })
		if r.marked {
			b.measure.marked++
		}
		e.policy.fresh()
		b.attempt(r)
		b.arrive(e)
	})
}

// count applies a change to the phases in which the request arrived.
func (b *retryBench) count(r *retryRequest, change func(*phase)) {
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
	addr, ok := r.entry.picker.Pick(b.now, b.choices, r.tried)
	if !ok {
		return
	}
	r.attempts++
	r.tried = append(r.tried, addr)
	b.count(r, func(p *phase) { p.attempts++ })
	a := &attempt{request: r, endpoint: int(addr.Port()) - firstPort, sent: b.now}
	b.after(b.deployment.delay(r.entry.index, a.endpoint), func() { b.reach(b.endpoints[a.endpoint], a) })
	b.after(b.attemptTimeout(), func() { b.settle(a, route.Failed) })
}

func (b *retryBench) reach(e *retryEndpoint, a *attempt) {
	_, fails := b.fault(e.index, b.elapsed())
	switch {
	case fails || len(e.queue) >= connectionsPerEndpoint:
		b.after(failureTime, func() { b.answer(a, route.Failed) })
	case e.busy >= slotsPerEndpoint:
		e.queue = append(e.queue, a)
	default:
		b.serve(e, a)
	}
}

// serve runs an attempt also when its entry has given it up.
func (b *retryBench) serve(e *retryEndpoint, a *attempt) {
	e.busy++
	a.request.runs++
	if a.request.marked && a.request.runs == 2 {
		b.measure.repeated++
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
	b.after(b.deployment.delay(a.endpoint, a.request.entry.index), func() { b.settle(a, result) })
}

func (b *retryBench) settle(a *attempt, result route.Result) {
	if a.settled {
		return
	}
	a.settled = true
	r := a.request
	r.entry.picker.Done(b.now, endpointAddress(a.endpoint), result, b.now.Sub(a.sent))
	if result == route.Succeeded {
		b.count(r, func(p *phase) { p.answered++ })
		return
	}
	again := retry.Attempt{
		Number: r.attempts, NotRepeatable: r.marked, Sent: true, Deadline: r.arrived.Add(b.requestTimeout()),
	}
	if r.entry.policy.allow(b.now, again) {
		b.attempt(r)
	}
}

func (p phase) multiplication() float64 {
	return float64(p.attempts) / float64(max(1, p.fresh))
}

func (p phase) answeredPercent() float64 {
	return 100 * float64(p.answered) / float64(max(1, p.fresh))
}

func (m retryMeasure) outcome() outcome {
	return outcome{values: []value{
		{"load in the fault", "times", m.fault.multiplication()},
		{"answered in the fault", "%", m.fault.answeredPercent()},
		{"load 10 s later", "times", m.recovered.multiplication()},
		{"answered 10 s later", "%", m.recovered.answeredPercent()},
		{"answered", "%", m.all.answeredPercent()},
		{"marked run twice", "%", 100 * float64(m.repeated) / float64(max(1, m.marked))},
	}}
}
