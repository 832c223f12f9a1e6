package experiment

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/pool"
)

// Sizes of the pools' bench that the deployments have in common.
const (
	poolTick         = 100 * time.Millisecond
	poolStep         = 500 * time.Millisecond
	poolRun          = 10 * time.Minute
	turnLength       = 10 * time.Second
	turnJitter       = 0.2 // of the turn's length, either way
	levelJitter      = 0.1 // of the burst's load, either way
	loadNoise        = 0.3 // standard deviation of a tick's load
	meanPerHost      = 0.4 // mean load of a pool by host, so that bursts need twice the pool
	burstOfMean      = 5.0
	troughOfMean     = 0.05
	observationLag   = time.Second
	poolPatience     = 2 * time.Second // from arrival to the latest useful start
	moveLeast        = 3 * time.Second
	moveGreatest     = 5 * time.Second
	moveNinetieth    = 4800 * time.Millisecond
	hostsPerRack     = 4
	spareHosts       = 10
	minimumSurvivors = 2
	sparePool        = "spare"
	learningTime     = 2 * time.Minute // two rounds and a little more
	rackLostAt       = 5 * time.Minute
	rackBackAt       = 7 * time.Minute
)

// queueHosts are the hosts of each queue's pool, about 50 in all.
var queueHosts = []int{12, 11, 10, 9, 8}

// poolScenario is how the queues' bursts come.
type poolScenario struct {
	name string
	// anyOrder draws the queue of each turn, so that nothing can be learnt.
	anyOrder bool
	loseRack bool
}

// turn is one queue's burst.
type turn struct {
	queue        int
	begins, ends time.Time
	load         float64
}

// poolBench steps one policy over queues that burst in their turn. Work is a
// fluid, which hosts of the queue's pool serve first come first served.
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

// poolHost is a host and when its move ends.
type poolHost struct {
	pool.HostView
	arrives time.Time
}

// poolMeasure is what one run gave.
type poolMeasure struct {
	arrived, inBursts float64 // host-seconds
	late              float64 // host-seconds that began after the patience
	// What remains of both once two rounds were seen.
	inBurstsLearnt, lateLearnt float64
	idle, idleSpare            float64 // host-seconds outside the spare pool and in it
	moves                      int
	below                      int // moves that left a pool below its minimum
	hostsByStep                [][]float64
	movesEachTurn              []float64
	movesBeforeTheTurn         int
}

func newPoolBench(scenario poolScenario, seed uint64) *poolBench {
	b := &poolBench{now: epoch, scenario: scenario, seed: seed, random: newRandom(seed)}
	for range queueHosts {
		b.queues = append(b.queues, &fluidQueue{})
	}
	b.dealHosts()
	order := 0
	for at := epoch; at.Before(epoch.Add(poolRun)); {
		queue := order % len(queueHosts)
		order++
		if scenario.anyOrder {
			queue = b.random.IntN(len(queueHosts))
		}
		length := time.Duration(float64(turnLength) * b.around(turnJitter))
		load := burstOfMean * meanLoad(queue) * b.around(levelJitter)
		b.turns = append(b.turns, turn{queue: queue, begins: at, ends: at.Add(length), load: load})
		at = at.Add(length)
	}
	return b
}

func (b *poolBench) around(jitter float64) float64 {
	return 1 + jitter*(2*b.random.Float64()-1)
}

func meanLoad(queue int) float64 { return meanPerHost * float64(queueHosts[queue]) }

// queueNames are the queues' pools, in the order of queueHosts.
var queueNames = []string{"queue-0", "queue-1", "queue-2", "queue-3", "queue-4"}

func queueName(queue int) string { return queueNames[queue] }

// dealHosts gives each pool its hosts from as many racks as there are.
func (b *poolBench) dealHosts() {
	total := spareHosts
	for _, n := range queueHosts {
		total += n
	}
	racks := total / hostsPerRack
	next := 0
	deal := func(name string, n int) {
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
		deal(queueName(queue), n)
	}
	deal(sparePool, spareHosts)
}

// run steps the bench to its end.
func (b *poolBench) run(policy poolPolicy) *poolMeasure {
	turnIndex := 0
	for step := 0; b.now.Before(epoch.Add(poolRun)); step++ {
		for turnIndex+1 < len(b.turns) && !b.now.Before(b.turns[turnIndex].ends) {
			turnIndex++
			b.endTurn()
		}
		b.failures()
		b.finishMoves()
		b.arrive(b.turns[turnIndex])
		b.serve()
		if step%int(poolStep/poolTick) == 0 {
			b.begin(policy.plan(b.now, b.view()))
			b.snapshot()
		}
		b.now = b.now.Add(poolTick)
	}
	for _, q := range b.queues {
		b.measure.late += q.overdue(b.now)
	}
	return &b.measure
}

func (b *poolBench) endTurn() {
	m := &b.measure
	m.movesEachTurn = append(m.movesEachTurn, float64(m.moves-m.movesBeforeTheTurn))
	m.movesBeforeTheTurn = m.moves
}

// failures loses a rack for some time: the one of the first host.
func (b *poolBench) failures() {
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
		if h.Target != "" && !b.now.Before(h.arrives) {
			h.Pool, h.Target = h.Target, ""
		}
	}
}

func (b *poolBench) arrive(now turn) {
	for queue, q := range b.queues {
		load := troughOfMean * meanLoad(queue)
		if queue == now.queue {
			load = now.load
		}
		work := max(0, load*(1+loadNoise*b.random.NormFloat64())) * poolTick.Seconds()
		q.arrive(b.now, work)
		b.measure.arrived += work
		if queue == now.queue {
			b.measure.inBursts += work
			if b.learnt() {
				b.measure.inBurstsLearnt += work
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
		if b.learnt() {
			b.measure.lateLearnt += late
		}
		b.measure.idle += capacity - served
	}
}

// learnt reports whether two rounds are over.
func (b *poolBench) learnt() bool { return b.now.Sub(epoch) >= learningTime }

// view is what a policy sees: hosts at once, loads with their lag.
func (b *poolBench) view() pool.View {
	view := pool.View{Observed: b.now.Add(-observationLag), MoveTime: moveNinetieth}
	for queue, q := range b.queues {
		load, backlog := q.observed(view.Observed)
		view.Pools = append(view.Pools, pool.Observation{
			Name: queueName(queue), Load: load, Backlog: backlog, Minimum: minimumSurvivors,
		})
	}
	for _, h := range b.hosts {
		view.Hosts = append(view.Hosts, h.HostView)
	}
	return view
}

// begin starts the moves and counts those that break a minimum.
func (b *poolBench) begin(moves []pool.PlannedMove) {
	for _, move := range moves {
		for _, h := range b.hosts {
			if h.Name == move.Host {
				b.beginMove(h, move.To)
			}
		}
	}
}

func (b *poolBench) beginMove(h *poolHost, to string) {
	if h.Target != "" || h.Pool == to {
		panic("host " + h.Name + " is in two moves")
	}
	took := moveLeast + time.Duration(b.random.Int64N(int64(moveGreatest-moveLeast)))
	h.Target, h.arrives = to, b.now.Add(took)
	b.measure.moves++
	if h.Pool != sparePool && b.survivors(h.Pool) < minimumSurvivors {
		b.measure.below++
	}
}

// survivors is a pool's serving hosts without those of its largest rack.
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

// snapshot keeps the hosts of each pool for the plot.
func (b *poolBench) snapshot() {
	row := make([]float64, len(b.queues)+2)
	for _, h := range b.hosts {
		row[poolIndex(h.HostView)]++
	}
	b.measure.hostsByStep = append(b.measure.hostsByStep, row)
}

// poolIndex counts the queues, then the spare pool, then hosts that move.
func poolIndex(h pool.HostView) int {
	if h.Target != "" {
		return len(queueHosts) + 1
	}
	if h.Pool == sparePool {
		return len(queueHosts)
	}
	return slices.Index(queueNames, h.Pool)
}
