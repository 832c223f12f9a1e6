package experiment

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/lovagedyke/lovagedyke/internal/route"
	"github.com/lovagedyke/lovagedyke/internal/share"
)

const (
	routeWarmUp    = 3 * time.Second
	routeMeasured  = 12 * time.Second
	failureLatency = 2 * time.Millisecond // of an endpoint that fails every request
	firstPort      = 9000
	singleTeam     = "team-0"
)

// fault returns an endpoint's run time factor at a point in time, and whether it
// fails every request.
type fault func(endpoint int, elapsed time.Duration) (slowness float64, fails bool)

func noFault(int, time.Duration) (float64, bool) { return 1, false }

// routeScenario is a load for one service, and a fault of its endpoints.
type routeScenario struct {
	name        string
	utilisation float64 // load as a fraction of all slots
	skew        float64 // fraction that arrives at the first entry; 0 spreads the load evenly
	fault       fault
}

// chooser picks an endpoint for each request of one entry. If ok is false, the
// request waits at the entry until another one is done.
type chooser interface {
	pick() (endpoint int, ok bool)
	done(endpoint int, result route.Result, took time.Duration)
}

// routeBench simulates one service. Each entry has a share.Scheduler and a
// chooser; endpoints queue the requests that exceed their slots.
type routeBench struct {
	*engine
	deployment   Deployment
	scenario     routeScenario
	loadRandom   *rand.Rand // for arrivals and run times
	policyRandom *rand.Rand // for gossip and choosers
	entries      []*routeEntry
	endpoints    []*fakeEndpoint
	lastID       uint64
	measure      routeMeasure
}

// routeMeasure holds the measurements after the warm-up.
type routeMeasure struct {
	sent, overCapacity, remote, failed, ended int
	addedLatency                              *hdrhistogram.Histogram
}

// routeEntry is one entry with its scheduler and chooser. Queued requests wait for
// the scheduler, and unplaced ones were started but have no endpoint yet.
type routeEntry struct {
	index     int
	scheduler *share.Scheduler
	chooser   chooser
	unplaced  []*routeRequest
	queued    map[uint64]*routeRequest
}

type routeRequest struct {
	id       uint64
	entry    *routeEntry
	endpoint int
	arrived  time.Time
	sent     time.Time
	runTime  time.Duration
}

// fakeEndpoint serves up to slotsPerEndpoint requests at a time, in order of arrival.
type fakeEndpoint struct {
	index int
	busy  int
	queue []*routeRequest
}

func newRouteBench(d Deployment, scenario routeScenario, seed uint64) *routeBench {
	b := &routeBench{
		engine: newEngine(), deployment: d, scenario: scenario,
		loadRandom: newRandom(seed), policyRandom: newRandom(^seed),
		measure: routeMeasure{addedLatency: newHistogram()},
	}
	for i := range d.Endpoints {
		b.endpoints = append(b.endpoints, &fakeEndpoint{index: i})
	}
	for i := range d.Entries {
		b.entries = append(b.entries, &routeEntry{
			index:  i,
			queued: map[uint64]*routeRequest{},
			scheduler: share.New(share.Config{
				Entry: d.entry(i), Capacity: d.slots(), ExpectedDuration: d.RunTime,
			}),
		})
	}
	return b
}

func (b *routeBench) run(choose func(*routeBench, *routeEntry) chooser) outcome {
	for _, e := range b.entries {
		e.chooser = choose(b, e)
		b.scheduleArrival(e)
		b.every(time.Duration(b.policyRandom.Int64N(int64(gossipInterval))), gossipInterval, func() { b.gossip(e) })
		b.every(tickInterval, tickInterval, func() { b.tick(e) })
	}
	b.runFor(routeWarmUp + routeMeasured)
	return b.measure.outcome()
}

func (b *routeBench) fraction(entry int) float64 {
	n := float64(b.deployment.Entries)
	switch {
	case b.scenario.skew == 0:
		return 1 / n
	case entry == 0:
		return b.scenario.skew
	}
	return (1 - b.scenario.skew) / (n - 1)
}

func (b *routeBench) scheduleArrival(e *routeEntry) {
	slots := b.scenario.utilisation * float64(b.deployment.slots()) * b.fraction(e.index)
	mean := time.Duration(float64(b.deployment.RunTime) / slots)
	b.after(exponential(b.loadRandom, mean), func() {
		b.submit(e)
		b.scheduleArrival(e)
	})
}

func (b *routeBench) submit(e *routeEntry) {
	b.lastID++
	r := &routeRequest{id: b.lastID, entry: e, arrived: b.now, runTime: b.deployment.runTime(b.loadRandom)}
	out := e.scheduler.Submit(b.now, share.Ticket{
		ID: r.id, Team: singleTeam, Class: share.Normal, Deadline: b.now.Add(maxStartDelay),
	})
	switch out.Decision {
	case share.Start:
		b.send(r)
	case share.Queued:
		e.queued[r.id] = r
	case share.Refused:
	}
}

func (b *routeBench) apply(e *routeEntry, acts share.Actions) {
	for _, id := range acts.Start {
		r := e.queued[id]
		delete(e.queued, id)
		b.send(r)
	}
	for _, refusal := range acts.Refuse {
		delete(e.queued, refusal.ID)
	}
}

func (b *routeBench) tick(e *routeEntry) {
	if p, ok := e.chooser.(*pickerChooser); ok {
		b.apply(e, e.scheduler.SetCapacity(b.now, p.picker.Capacity(b.now)))
	}
	b.apply(e, e.scheduler.Tick(b.now))
}

func (b *routeBench) gossip(from *routeEntry) {
	demand := from.scheduler.Demand()
	var load []route.EndpointLoad
	sender, gossips := from.chooser.(*pickerChooser)
	if gossips {
		load = sender.picker.Load(nil)
	}
	for _, to := range b.entries {
		if to == from || b.policyRandom.Float64() < gossipLoss {
			continue
		}
		b.after(b.deployment.delay(from.index, to.index), func() {
			b.apply(to, to.scheduler.SetPeer(b.now, demand))
			if gossips {
				to.chooser.(*pickerChooser).picker.SetPeerLoad(b.now, b.deployment.entry(from.index), load)
			}
		})
	}
}

func (b *routeBench) send(r *routeRequest) {
	endpoint, ok := r.entry.chooser.pick()
	if !ok {
		r.entry.unplaced = append(r.entry.unplaced, r)
		return
	}
	r.endpoint, r.sent = endpoint, b.now
	if b.elapsed() > routeWarmUp {
		b.measure.sent++
		if b.deployment.dataCentre(r.entry.index) != b.deployment.dataCentre(endpoint) {
			b.measure.remote++
		}
	}
	b.after(b.deployment.delay(r.entry.index, endpoint), func() { b.receive(b.endpoints[endpoint], r) })
}

func (b *routeBench) receive(e *fakeEndpoint, r *routeRequest) {
	if _, fails := b.scenario.fault(e.index, b.elapsed()); fails {
		b.after(failureLatency, func() { b.answer(r, route.Failed) })
		return
	}
	if e.busy >= slotsPerEndpoint {
		if b.elapsed() > routeWarmUp {
			b.measure.overCapacity++
		}
		e.queue = append(e.queue, r)
		return
	}
	b.serve(e, r)
}

func (b *routeBench) serve(e *fakeEndpoint, r *routeRequest) {
	e.busy++
	slowness, _ := b.scenario.fault(e.index, b.elapsed())
	b.after(time.Duration(float64(r.runTime)*slowness), func() {
		e.busy--
		b.answer(r, route.Succeeded)
		if len(e.queue) > 0 {
			next := e.queue[0]
			e.queue = e.queue[1:]
			b.serve(e, next)
		}
	})
}

func (b *routeBench) answer(r *routeRequest, result route.Result) {
	b.after(b.deployment.delay(r.endpoint, r.entry.index), func() {
		r.entry.chooser.done(r.endpoint, result, b.now.Sub(r.sent))
		b.recordResult(r, result)
		unplaced := r.entry.unplaced
		r.entry.unplaced = nil
		for _, other := range unplaced {
			b.send(other)
		}
		b.apply(r.entry, r.entry.scheduler.Finish(b.now, r.id))
	})
}

func (b *routeBench) recordResult(r *routeRequest, result route.Result) {
	if r.arrived.Sub(epoch) <= routeWarmUp {
		return
	}
	b.measure.ended++
	if result == route.Failed {
		b.measure.failed++
		return
	}
	record(b.measure.addedLatency, b.now.Sub(r.arrived)-r.runTime)
}

func (m routeMeasure) outcome() outcome {
	sent, ended := float64(max(1, m.sent)), float64(max(1, m.ended))
	return outcome{values: []value{
		{"beyond slots", "%", 100 * float64(m.overCapacity) / sent},
		{"added latency p50", "ms", quantile(m.addedLatency, 50)},
		{"added latency p99", "ms", quantile(m.addedLatency, 99)},
		{"failed", "%", 100 * float64(m.failed) / ended},
		{"remote", "%", 100 * float64(m.remote) / sent},
		{"answered", "1/s", float64(m.ended-m.failed) / routeMeasured.Seconds()},
	}}
}

func endpointAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(firstPort+i))
}

func (d Deployment) endpointList() []route.Endpoint {
	list := make([]route.Endpoint, d.Endpoints)
	for i := range list {
		list[i] = route.Endpoint{
			Address:     endpointAddress(i),
			DataCentre:  d.dataCentre(i),
			Slots:       slotsPerEndpoint,
			Connections: connectionsPerEndpoint,
		}
	}
	return list
}
