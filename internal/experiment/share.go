package experiment

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/lovagedyke/lovagedyke/internal/share"
)

const (
	shareWarmUp   = 2 * time.Second
	shareMeasured = 30 * time.Second
	shortWindow   = time.Second
	longWindow    = 10 * time.Second
	maxLatency    = 10 * time.Minute
)

// load is what one team asks for in one class: slots at the mean run time, and
// how it is spread over the entries.
type load struct {
	team  int
	class share.Class
	slots float64
	// entries gives the fraction of the load at each entry, at a given time.
	entries func(entry int, elapsed time.Duration) float64
}

// request is one request of the load.
type request struct {
	id      uint64
	flow    int
	entry   int
	arrived time.Time
	repeat  bool      // comes back after a refusal
	started time.Time // by the policy; it may still wait for a slot
	runTime time.Duration
	ticket  share.Ticket
}

// sharePolicy decides when requests go to the endpoints. Started and refused
// requests are reported through the bench.
type sharePolicy interface {
	submit(r *request)
	finish(r *request)
	tick()
}

// shareBench is one service in virtual time: slots that serve requests in the
// order in which a policy starts them, and the measures.
type shareBench struct {
	*engine
	deployment Deployment
	random     *rand.Rand // of the load, the same under each policy
	delays     *rand.Rand // of the gossip
	loads      []load
	saturated  []bool
	policy     sharePolicy
	requests   map[uint64]*request
	lastID     uint64

	busy    int
	pending []*request // started beyond the slots
	running []int      // by flow
	wanted  []int      // by flow: would run if each had started on arrival
	waiting int        // held back by the policy
	measure *shareMeasure

	// rate thins the arrivals by the time, comeBack gives the time until a
	// refused request comes back once; nil is a steady load, and never.
	rate     func(elapsed time.Duration) float64
	comeBack func(retryAfter time.Duration) time.Duration
}

func newShareBench(d Deployment, loads []load, seed uint64) *shareBench {
	b := &shareBench{
		engine:     newEngine(),
		deployment: d,
		random:     newRandom(seed),
		delays:     newRandom(^seed),
		loads:      loads,
		requests:   map[uint64]*request{},
		running:    make([]int, len(loads)),
		wanted:     make([]int, len(loads)),
		measure:    newShareMeasure(len(loads)),
	}
	claims := b.claims(func(i int) float64 { return loads[i].slots })
	for i, part := range maxMinBound(float64(d.slots()), claims) {
		b.saturated = append(b.saturated, part < loads[i].slots*0.999)
	}
	return b
}

func (b *shareBench) claims(demand func(flow int) float64) []claim {
	out := make([]claim, len(b.loads))
	for i, l := range b.loads {
		out[i] = claim{class: l.class, weight: b.deployment.Weights[l.team], demand: demand(i)}
	}
	return out
}

func (b *shareBench) run(policy sharePolicy) *shareMeasure {
	b.policy = policy
	for flow := range b.loads {
		b.arrive(flow)
	}
	b.every(tickInterval, tickInterval, policy.tick)
	b.every(shareWarmUp, sampleInterval, b.sample)
	b.runFor(shareWarmUp + shareMeasured)
	return b.measure
}

// arrive plans the next request of a flow: a Poisson process, each request at
// an entry drawn by the flow's fractions at that time.
func (b *shareBench) arrive(flow int) {
	l := b.loads[flow]
	mean := time.Duration(b.deployment.RunTime.Seconds() / l.slots * float64(time.Second))
	b.after(exponential(b.random, mean), func() {
		if b.rate == nil || b.random.Float64() < b.rate(b.elapsed()) {
			b.submit(flow, b.drawEntry(l), false)
		}
		b.arrive(flow)
	})
}

func (b *shareBench) drawEntry(l load) int {
	rest := b.random.Float64()
	for entry := range b.deployment.Entries - 1 {
		if rest -= l.entries(entry, b.elapsed()); rest < 0 {
			return entry
		}
	}
	return b.deployment.Entries - 1
}

func (b *shareBench) submit(flow, entry int, repeat bool) {
	b.lastID++
	l := b.loads[flow]
	r := &request{id: b.lastID, flow: flow, entry: entry, arrived: b.now, repeat: repeat}
	r.ticket = share.Ticket{
		ID: r.id, Team: b.deployment.team(l.team), Class: l.class, Deadline: b.now.Add(patience),
	}
	b.requests[r.id] = r
	r.runTime = b.deployment.runTime(b.random)
	b.wanted[flow]++
	b.after(r.runTime, func() { b.wanted[flow]-- })
	b.waiting++
	b.policy.submit(r)
}

// start hands a request to the endpoints; beyond the slots it waits there.
func (b *shareBench) start(r *request) {
	b.waiting--
	r.started = b.now
	b.measure.starts++
	if r.repeat {
		b.measure.repeatsStarted++
	}
	if b.busy >= b.deployment.slots() {
		b.measure.overloads++
		b.pending = append(b.pending, r)
		return
	}
	b.serve(r)
}

func (b *shareBench) serve(r *request) {
	b.busy++
	b.running[r.flow]++
	if b.elapsed() > shareWarmUp {
		b.measure.waited(b.loads[r.flow].class, b.saturated[r.flow], b.now.Sub(r.arrived))
		record(b.measure.waits[waitForSlot], b.now.Sub(r.started))
	}
	b.after(r.runTime, func() {
		b.busy--
		b.running[r.flow]--
		delete(b.requests, r.id)
		if len(b.pending) > 0 {
			next := b.pending[0]
			b.pending = b.pending[1:]
			b.serve(next)
		}
		b.policy.finish(r)
	})
}

func (b *shareBench) refuse(r *request, retryAfter time.Duration) {
	b.waiting--
	b.measure.refused++
	delete(b.requests, r.id)
	if b.comeBack == nil || r.repeat {
		return
	}
	b.after(b.comeBack(retryAfter), func() {
		b.measure.repeats++
		b.submit(r.flow, r.entry, true)
	})
}

// apply carries out a scheduler's actions.
func (b *shareBench) apply(acts share.Actions) {
	for _, id := range acts.Start {
		b.start(b.requests[id])
	}
	for _, refusal := range acts.Refuse {
		b.refuse(b.requests[refusal.ID], refusal.RetryAfter)
	}
}

// sample compares what runs with the bound, which depends on the load alone: a
// flow that asks for more than its part counts with unlimited demand, another
// with what would run if each request had started on arrival.
func (b *shareBench) sample() {
	bound := maxMinBound(float64(b.deployment.slots()), b.claims(func(i int) float64 {
		if b.saturated[i] {
			return math.Inf(1)
		}
		return float64(b.wanted[i])
	}))
	b.measure.sample(b.running, bound)
	idle := min(b.deployment.slots()-b.busy, b.waiting)
	b.measure.idle += float64(max(0, idle)) / float64(b.deployment.slots())
}

const sampleInterval = 10 * time.Millisecond

// shareMeasure collects the measures of one run.
type shareMeasure struct {
	short, long    window
	curve          [][]float64 // by short window: used over bound, by flow
	samples        int
	idle           float64
	starts         int
	overloads      int
	refused        int
	repeats        int
	repeatsStarted int
	used           []float64 // slot samples over the run, by flow
	bound          []float64
	waits          map[string]*hdrhistogram.Histogram
}

func newShareMeasure(flows int) *shareMeasure {
	m := &shareMeasure{
		short: newWindow(flows, int(shortWindow/sampleInterval)),
		long:  newWindow(flows, int(longWindow/sampleInterval)),
		used:  make([]float64, flows),
		bound: make([]float64, flows),
		waits: map[string]*hdrhistogram.Histogram{},
	}
	for _, kind := range []string{waitUrgent, waitWithin, waitBeyond, waitForSlot} {
		m.waits[kind] = newHistogram()
	}
	return m
}

// Kinds of wait: urgent work, teams within their share, teams beyond it, and
// the wait at the endpoints of requests that were started.
const (
	waitUrgent  = "urgent"
	waitWithin  = "within-share"
	waitBeyond  = "beyond-share"
	waitForSlot = "for-slot"
)

func (m *shareMeasure) waited(class share.Class, saturated bool, wait time.Duration) {
	switch {
	case class == share.Urgent:
		record(m.waits[waitUrgent], wait)
	case saturated:
		record(m.waits[waitBeyond], wait)
	default:
		record(m.waits[waitWithin], wait)
	}
}

func (m *shareMeasure) sample(running []int, bound []float64) {
	m.samples++
	for i := range running {
		m.used[i] += float64(running[i])
		m.bound[i] += bound[i]
	}
	if ratios := m.short.add(running, bound); ratios != nil {
		m.curve = append(m.curve, ratios)
	}
	m.long.add(running, bound)
}

// minBound is the mean slots below which a flow's deviation is not counted: a
// relative deviation from nothing says nothing.
const minBound = 0.1

// window compares use and bound over consecutive windows.
type window struct {
	length  int // samples
	count   int
	used    []float64
	bound   []float64
	largest float64 // relative deviation
}

func newWindow(flows, length int) window {
	return window{length: length, used: make([]float64, flows), bound: make([]float64, flows)}
}

// add returns each flow's use relative to its bound when a window is full.
func (w *window) add(running []int, bound []float64) []float64 {
	for i := range running {
		w.used[i] += float64(running[i])
		w.bound[i] += bound[i]
	}
	if w.count++; w.count < w.length {
		return nil
	}
	ratios := make([]float64, len(w.used))
	for i := range w.used {
		ratios[i] = 1
		if w.bound[i] >= minBound*float64(w.length) {
			ratios[i] = w.used[i] / w.bound[i]
		}
		w.largest = max(w.largest, math.Abs(ratios[i]-1))
	}
	clear(w.used)
	clear(w.bound)
	w.count = 0
	return ratios
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), 3)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// Out of range can't happen: no run lasts as long as maxLatency.
	_ = h.RecordValue(max(1, d.Microseconds()))
}

func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}
