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

// teamLoad is the load of one team in one class.
type teamLoad struct {
	team  int
	class share.Class
	// slots is the mean number of slots that the load needs.
	slots float64
	// entryFraction returns the fraction of the load that arrives at an entry at a
	// given time.
	entryFraction func(entry int, elapsed time.Duration) float64
}

// shareRequest is one simulated request.
type shareRequest struct {
	id      uint64
	flow    int
	entry   int
	arrived time.Time
	isRetry bool      // sent again after a refusal
	started time.Time // by the policy; it may still wait for a slot
	runTime time.Duration
	ticket  share.Ticket
}

// sharePolicy decides when requests go to the endpoints. It calls shareBench.start
// and shareBench.refuse for the requests that it starts and refuses.
type sharePolicy interface {
	submit(r *shareRequest)
	finish(r *shareRequest)
	tick()
}

// shareBench simulates one service, whose slots serve requests in the order in
// which a policy starts them, and measures the result.
type shareBench struct {
	*engine
	deployment   Deployment
	loadRandom   *rand.Rand // for arrivals and run times, which are the same for each policy
	gossipRandom *rand.Rand // for gossip delays and loss
	loads        []teamLoad
	saturated    []bool
	policy       sharePolicy
	requests     map[uint64]*shareRequest
	lastID       uint64

	busy          int
	overflow      []*shareRequest // started while all slots were busy
	running       []int           // by flow
	unconstrained []int           // by flow: requests that would be running if each had started on arrival
	waiting       int             // queued by the policy
	measure       *shareMeasure

	// arrivalRate is a time-dependent factor of the arrival rate, from 0 to 1; nil
	// means a steady load. retryDelay returns the time until a refused request is
	// retried, once; nil means no retries.
	arrivalRate func(elapsed time.Duration) float64
	retryDelay  func(retryAfter time.Duration) time.Duration
}

func newShareBench(d Deployment, loads []teamLoad, seed uint64) *shareBench {
	b := &shareBench{
		engine:        newEngine(),
		deployment:    d,
		loadRandom:    newRandom(seed),
		gossipRandom:  newRandom(^seed),
		loads:         loads,
		requests:      map[uint64]*shareRequest{},
		running:       make([]int, len(loads)),
		unconstrained: make([]int, len(loads)),
		measure:       newShareMeasure(len(loads)),
	}
	demands := b.flowDemands(func(i int) float64 { return loads[i].slots })
	for i, slots := range maxMinBound(float64(d.slots()), demands) {
		b.saturated = append(b.saturated, slots < loads[i].slots*0.999)
	}
	return b
}

func (b *shareBench) flowDemands(demand func(flow int) float64) []flowDemand {
	out := make([]flowDemand, len(b.loads))
	for i, l := range b.loads {
		out[i] = flowDemand{class: l.class, weight: b.deployment.Weights[l.team], demand: demand(i)}
	}
	return out
}

func (b *shareBench) run(policy sharePolicy) *shareMeasure {
	b.policy = policy
	for flow := range b.loads {
		b.scheduleArrival(flow)
	}
	b.every(tickInterval, tickInterval, policy.tick)
	b.every(shareWarmUp, sampleInterval, b.sample)
	b.runFor(shareWarmUp + shareMeasured)
	return b.measure
}

// scheduleArrival schedules the next request of a flow. Arrivals are a Poisson
// process; the entry is drawn according to entryFraction.
func (b *shareBench) scheduleArrival(flow int) {
	l := b.loads[flow]
	mean := time.Duration(b.deployment.RunTime.Seconds() / l.slots * float64(time.Second))
	b.after(exponential(b.loadRandom, mean), func() {
		if b.arrivalRate == nil || b.loadRandom.Float64() < b.arrivalRate(b.elapsed()) {
			b.submit(flow, b.drawEntry(l), false)
		}
		b.scheduleArrival(flow)
	})
}

func (b *shareBench) drawEntry(l teamLoad) int {
	rest := b.loadRandom.Float64()
	for entry := range b.deployment.Entries - 1 {
		if rest -= l.entryFraction(entry, b.elapsed()); rest < 0 {
			return entry
		}
	}
	return b.deployment.Entries - 1
}

func (b *shareBench) submit(flow, entry int, isRetry bool) {
	b.lastID++
	l := b.loads[flow]
	r := &shareRequest{id: b.lastID, flow: flow, entry: entry, arrived: b.now, isRetry: isRetry}
	r.ticket = share.Ticket{
		ID: r.id, Team: b.deployment.team(l.team), Class: l.class, Deadline: b.now.Add(maxStartDelay),
	}
	b.requests[r.id] = r
	r.runTime = b.deployment.runTime(b.loadRandom)
	b.unconstrained[flow]++
	b.after(r.runTime, func() { b.unconstrained[flow]-- })
	b.waiting++
	b.policy.submit(r)
}

// start sends a request to the endpoints, where it waits if all slots are busy.
func (b *shareBench) start(r *shareRequest) {
	b.waiting--
	r.started = b.now
	b.measure.starts++
	if r.isRetry {
		b.measure.retriesStarted++
	}
	if b.busy >= b.deployment.slots() {
		b.measure.overloads++
		b.overflow = append(b.overflow, r)
		return
	}
	b.serve(r)
}

func (b *shareBench) serve(r *shareRequest) {
	b.busy++
	b.running[r.flow]++
	if b.elapsed() > shareWarmUp {
		b.measure.recordWait(b.loads[r.flow].class, b.saturated[r.flow], b.now.Sub(r.arrived))
		record(b.measure.waits[waitForSlot], b.now.Sub(r.started))
	}
	b.after(r.runTime, func() {
		b.busy--
		b.running[r.flow]--
		delete(b.requests, r.id)
		if len(b.overflow) > 0 {
			next := b.overflow[0]
			b.overflow = b.overflow[1:]
			b.serve(next)
		}
		b.policy.finish(r)
	})
}

func (b *shareBench) refuse(r *shareRequest, retryAfter time.Duration) {
	b.waiting--
	b.measure.refused++
	delete(b.requests, r.id)
	if b.retryDelay == nil || r.isRetry {
		return
	}
	b.after(b.retryDelay(retryAfter), func() {
		b.measure.retries++
		b.submit(r.flow, r.entry, true)
	})
}

// apply executes a scheduler's actions.
func (b *shareBench) apply(acts share.Actions) {
	for _, id := range acts.Start {
		b.start(b.requests[id])
	}
	for _, refusal := range acts.Refuse {
		b.refuse(b.requests[refusal.ID], refusal.RetryAfter)
	}
}

// sample compares the slots in use with the max-min bound, which depends only on
// the load. A saturated flow (one whose load exceeds its allocation) counts with
// unlimited demand, any other with the requests that would be running if each had
// started on arrival.
func (b *shareBench) sample() {
	bound := maxMinBound(float64(b.deployment.slots()), b.flowDemands(func(i int) float64 {
		if b.saturated[i] {
			return math.Inf(1)
		}
		return float64(b.unconstrained[i])
	}))
	b.measure.sample(b.running, bound)
	idle := min(b.deployment.slots()-b.busy, b.waiting)
	b.measure.idle += float64(max(0, idle)) / float64(b.deployment.slots())
}

const sampleInterval = 10 * time.Millisecond

// shareMeasure collects the measurements of one run.
type shareMeasure struct {
	short, long    window
	curve          [][]float64 // by short window, then by flow: slots in use relative to the bound
	samples        int
	idle           float64
	starts         int
	overloads      int
	refused        int
	retries        int
	retriesStarted int
	used           []float64 // by flow: sum of all samples of slots in use
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

// Kinds of wait: of urgent requests, of flows within their share, of flows beyond
// their share, and of started requests for a slot at an endpoint.
const (
	waitUrgent  = "urgent"
	waitWithin  = "within-share"
	waitBeyond  = "beyond-share"
	waitForSlot = "for-slot"
)

func (m *shareMeasure) recordWait(class share.Class, saturated bool, wait time.Duration) {
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

// minBound is the mean number of slots below which a flow's deviation is ignored:
// relative to a bound near zero it is meaningless.
const minBound = 0.1

// window compares the slots in use with the bound over consecutive windows.
type window struct {
	length       int // in samples
	count        int
	used         []float64
	bound        []float64
	maxDeviation float64 // relative to the bound
}

func newWindow(flows, length int) window {
	return window{length: length, used: make([]float64, flows), bound: make([]float64, flows)}
}

// add adds a sample. When the window is full, it returns each flow's slots in use
// relative to the bound; otherwise it returns nil.
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
		w.maxDeviation = max(w.maxDeviation, math.Abs(ratios[i]-1))
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
	// The value is always in range, because no run lasts as long as maxLatency.
	_ = h.RecordValue(max(1, d.Microseconds()))
}

func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}
