package experiment

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/pool"
)

// Parameters of the pool simulation that all deployments share.
const (
	poolTick          = 100 * time.Millisecond
	poolStep          = 500 * time.Millisecond
	poolRun           = 10 * time.Minute
	turnLength        = 10 * time.Second
	turnJitter        = 0.2 // relative to turnLength, either way
	levelJitter       = 0.1 // relative to the burst's load, either way
	loadNoise         = 0.3 // relative standard deviation of a tick's load
	meanLoadPerHost   = 0.4 // bursts of five times the mean need twice the pool's hosts
	burstFactor       = 5.0
	troughFactor      = 0.05
	observationLag    = time.Second
	poolMaxStartDelay = 2 * time.Second // from arrival; work that starts later is late
	minMoveTime       = 3 * time.Second
	maxMoveTime       = 5 * time.Second
	moveTimeP90       = 4800 * time.Millisecond
	hostsPerRack      = 4
	spareHosts        = 10
	minimumSurvivors  = 2 // hosts that a pool keeps if it loses its largest rack
	sparePool         = "spare"
	poolWarmUp        = 2 * time.Minute // a little more than two rounds of all queues
	rackLostAt        = 5 * time.Minute
	rackBackAt        = 7 * time.Minute
)

// queueHosts holds the number of hosts in each queue's pool, 50 in all.
var queueHosts = []int{12, 11, 10, 9, 8}

// poolScenario describes the order of the queues' bursts and the failures.
type poolScenario struct {
	name string
	// anyOrder draws each turn's queue at random, so that bursts are unpredictable.
	anyOrder bool
	loseRack bool
}

// turn is the period in which one queue bursts.
type turn struct {
	queue      int
	start, end time.Time
	load       float64
}

// poolBench simulates one policy with queues that burst one after the other. Work
// is divisible, and the hosts of a queue's pool perform it first in, first out.
type poolBench struct {
	now      time.Time
	scenario poolScenario
	seed     uint64
	random   *rand.Rand
	queues   []*fluidQueue
	hosts    []*poolHost
	turns    []turn
	measure  poolMeasure
}

// poolHost is a host and the end of its current move.
type poolHost struct {
	pool.HostView
	moveEnd time.Time
}

// poolMeasure holds the measurements of one run.
type poolMeasure struct {
	arrived, inBursts float64 // host-seconds
	late              float64 // host-seconds that started after poolMaxStartDelay
	// The parts of inBursts and late that fall after poolWarmUp.
	inBurstsAfterWarmUp, lateAfterWarmUp float64
	idle, idleSpare                      float64 // host-seconds outside the spare pool and in it
	moves                                int
	belowMinimum                         int // moves that left a pool below its minimum
	hostsByStep                          [][]float64
	movesByTurn                          []float64
	movesBeforeTurn                      int
}

func newPoolBench(scenario poolScenario, seed uint64) *poolBench {
	b := &poolBench{now: epoch, scenario: scenario, seed: seed, random: newRandom(seed)}
	for range queueHosts {
		b.queues = append(b.queues, &fluidQueue{})
	}
	b.assignHosts()
	order := 0
	for at := epoch; at.Before(epoch.Add(poolRun)); {
		queue := order % len(queueHosts)
		order++
		if scenario.anyOrder {
			queue = b.random.IntN(len(queueHosts))
		}
		length := time.Duration(float64(turnLength) * b.jitterFactor(turnJitter))
		load := burstFactor * meanLoad(queue) * b.jitterFactor(levelJitter)
		b.turns = append(b.turns, turn{queue: queue, start: at, end: at.Add(length), load: load})
		at = at.Add(length)
	}
	return b
}

func (b *poolBench) jitterFactor(jitter float64) float64 {
	return 1 + jitter*(2*b.random.Float64()-1)
}

func meanLoad(queue int) float64 { return meanLoadPerHost * float64(queueHosts[queue]) }

// queueNames holds the names of the queues' pools, in the order of queueHosts.
var queueNames = []string{"queue-0", "queue-1", "queue-2", "queue-3", "queue-4"}

func queueName(queue int) string { return queueNames[queue] }

// assignHosts spreads the hosts of each pool over all racks.
func (b *poolBench) assignHosts() {
	total := spareHosts
	for _, n := range queueHosts {
		total += n
	}
	racks := total / hostsPerRack
	next := 0
	assign := func(name string, n int) {
		for range n {
			rack := next % racks
			b.hosts = append(b.hosts, &poolHost{HostView: pool.HostView{
				Name: fmt.Sprintf("host-%02d", next), Pool: name,
				Rack: fmt.Sprintf("rack-%02d", rack), DataCentre: fmt.Sprintf("dc-%d", rack%3),
			}})
			next++
		}
	}
	for queue, n := range queueHosts {
		assign(queueName(queue), n)
	}
	assign(sparePool, spareHosts)
}

// run simulates the policy for poolRun.
func (b *poolBench) run(policy poolPolicy) *poolMeasure {
	turnIndex := 0
	for step := 0; b.now.Before(epoch.Add(poolRun)); step++ {
		for turnIndex+1 < len(b.turns) && !b.now.Before(b.turns[turnIndex].end) {
			turnIndex++
			b.endTurn()
		}
		b.injectRackFailure()
		b.finishMoves()
		b.addArrivals(b.turns[turnIndex])
		b.serve()
		if step%int(poolStep/poolTick) == 0 {
			b.startMoves(policy.plan(b.now, b.view()))
			b.recordHosts()
		}
		b.now = b.now.Add(poolTick)
	}
	for _, q := range b.queues {
		b.measure.late += q.overdueWork(b.now)
	}
	return &b.measure
}

func (b *poolBench) endTurn() {
	m := &b.measure
	m.movesByTurn = append(m.movesByTurn, float64(m.moves-m.movesBeforeTurn))
	m.movesBeforeTurn = m.moves
}

// injectRackFailure takes the rack of the first host down from rackLostAt to
// rackBackAt.
func (b *poolBench) injectRackFailure() {
	if !b.scenario.loseRack {
		return
	}
	since := b.now.Sub(epoch)
	for _, h := range b.hosts {
		h.Down = h.Rack == b.hosts[0].Rack && since >= rackLostAt && since < rackBackAt
	}
}

func (b *poolBench) finishMoves() {
	for _, h := range b.hosts {
		if h.Target != "" && !b.now.Before(h.moveEnd) {
			h.Pool, h.Target = h.Target, ""
		}
	}
}

func (b *poolBench) addArrivals(current turn) {
	for queue, q := range b.queues {
		load := troughFactor * meanLoad(queue)
		if queue == current.queue {
			load = current.load
		}
		work := max(0, load*(1+loadNoise*b.random.NormFloat64())) * poolTick.Seconds()
		q.enqueue(b.now, work)
		b.measure.arrived += work
		if queue == current.queue {
			b.measure.inBursts += work
			if b.isWarmedUp() {
				b.measure.inBurstsAfterWarmUp += work
			}
		}
	}
}

func (b *poolBench) serve() {
	serving := make([]int, len(b.queues))
	for _, h := range b.hosts {
		switch {
		case h.Down:
		case h.Target != "":
			b.measure.idle += poolTick.Seconds()
		case h.Pool == sparePool:
			b.measure.idleSpare += poolTick.Seconds()
		default:
			serving[poolIndex(h.HostView)]++
		}
	}
	for queue, q := range b.queues {
		capacity := float64(serving[queue]) * poolTick.Seconds()
		served, late := q.serve(b.now, capacity)
		b.measure.late += late
		if b.isWarmedUp() {
			b.measure.lateAfterWarmUp += late
		}
		b.measure.idle += capacity - served
	}
}

// isWarmedUp reports whether the planner has had time to observe two rounds.
func (b *poolBench) isWarmedUp() bool { return b.now.Sub(epoch) >= poolWarmUp }

// view returns the policy's input: hosts without delay, loads with observationLag.
func (b *poolBench) view() pool.View {
	view := pool.View{Observed: b.now.Add(-observationLag), MoveTime: moveTimeP90}
	for queue, q := range b.queues {
		load, backlog := q.observation(view.Observed)
		view.Pools = append(view.Pools, pool.Observation{
			Name: queueName(queue), Load: load, Backlog: backlog, Minimum: minimumSurvivors,
		})
	}
	for _, h := range b.hosts {
		view.Hosts = append(view.Hosts, h.HostView)
	}
	return view
}

// startMoves starts the moves and counts those that leave a pool below its minimum.
func (b *poolBench) startMoves(moves []pool.PlannedMove) {
	for _, move := range moves {
		for _, h := range b.hosts {
			if h.Name == move.Host {
				b.startMove(h, move.To)
			}
		}
	}
}

func (b *poolBench) startMove(h *poolHost, to string) {
	if h.Target != "" || h.Pool == to {
		panic("host " + h.Name + " is already being moved or in its target pool")
	}
	took := minMoveTime + time.Duration(b.random.Int64N(int64(maxMoveTime-minMoveTime)))
	h.Target, h.moveEnd = to, b.now.Add(took)
	b.measure.moves++
	if h.Pool != sparePool && b.survivors(h.Pool) < minimumSurvivors {
		b.measure.belowMinimum++
	}
}

// survivors returns the number of hosts that serve a pool after the loss of its
// largest rack.
func (b *poolBench) survivors(name string) int {
	racks, serving, largest := make(map[string]int), 0, 0
	for _, h := range b.hosts {
		if h.Pool == name && h.Target == "" && !h.Down {
			serving++
			racks[h.Rack]++
			largest = max(largest, racks[h.Rack])
		}
	}
	return serving - largest
}

// recordHosts records the number of hosts in each pool for the plot.
func (b *poolBench) recordHosts() {
	row := make([]float64, len(b.queues)+2)
	for _, h := range b.hosts {
		row[poolIndex(h.HostView)]++
	}
	b.measure.hostsByStep = append(b.measure.hostsByStep, row)
}

// poolIndex returns a host's column in the plot: the queues come first, then the
// spare pool, then hosts that are being moved.
func poolIndex(h pool.HostView) int {
	if h.Target != "" {
		return len(queueHosts) + 1
	}
	if h.Pool == sparePool {
		return len(queueHosts)
	}
	return slices.Index(queueNames, h.Pool)
}
