package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/pool"
	"github.com/lovagedyke/lovagedyke/internal/wave"
)

// Parameters of the wave simulation that all deployments share.
const (
	waveTick                 = 250 * time.Millisecond
	waveLimit                = 3 * time.Hour
	minRebootTime            = time.Minute
	maxRebootTime            = 3 * time.Minute
	poolNeedFraction         = 0.5 // of a pool's hosts are needed for its load
	repairDelay              = 10 * time.Minute
	availabilityBudget       = 4234 * time.Second // 0.1 % of 7 weeks
	maxDrainObservationDelay = time.Second        // until an entry observes a drain
	inFlightPerEntry         = 2
	waveRackLostAt           = 2 * time.Minute
	waveRackBackAt           = 12 * time.Minute
)

// waveScenario describes the failures during the maintenance.
type waveScenario struct {
	name string
	// failureRate is the fraction of hosts that don't come back from their reboot.
	failureRate float64
	// badImage makes each host fail until an operator has repaired the first one.
	badImage bool
	loseRack bool
}

// wavePolicy decides which hosts of one pool to start maintaining.
type wavePolicy interface {
	start(now time.Time, view wave.View) []string
	resume(view wave.View)
}

// waveBench simulates the maintenance of all pools of a deployment at the same time.
// Hosts are drained by the pool package; entries observe a drain with a delay.
type waveBench struct {
	now        time.Time
	deployment Deployment
	scenario   waveScenario
	random     *rand.Rand
	pools      []*wavePool
	// grace, if set, is the time from the start of a drain to the reboot, whether the
	// drain is confirmed or not.
	grace time.Duration
	// isolated hides the other pools' results from each pool.
	isolated    bool
	requestsCut int
	hostsFailed int
	repairedAt  time.Time
}

// wavePool is one pool with its policy.
type wavePool struct {
	hosts    []*waveHost
	need     int
	policy   wavePolicy
	shortage time.Duration // time with fewer serving hosts than need
}

// waveHost is a host with the state of its drain and maintenance.
type waveHost struct {
	wave.Host
	reboot          time.Duration
	fails           bool
	assignment      pool.Assignment
	drainAt         time.Time
	drains          *pool.DrainTracker
	entries         []*waveEntry
	backAt          time.Time
	failedAt        time.Time
	stateBeforeLoss wave.State // restored when the rack is back
}

// waveEntry is an entry's view of a draining host.
type waveEntry struct {
	id              pool.Sender
	observesDrainAt time.Time
	requestEnds     []time.Time
	report          pool.Confirmation
}

func newWaveBench(d Deployment, scenario waveScenario, seed uint64, make func() wavePolicy, grace time.Duration) *waveBench {
	b := &waveBench{now: epoch, deployment: d, scenario: scenario, random: newRandom(seed), grace: grace}
	index := 0
	for _, n := range queueHosts {
		p := &wavePool{need: int(math.Ceil(poolNeedFraction * float64(n))), policy: make()}
		for range n {
			p.hosts = append(p.hosts, b.newHost(index))
			index++
		}
		b.pools = append(b.pools, p)
	}
	return b
}

func (b *waveBench) newHost(index int) *waveHost {
	rack := index % 15
	name := fmt.Sprintf("host-%02d", index)
	return &waveHost{
		Host: wave.Host{
			Name: name, Rack: fmt.Sprintf("rack-%02d", rack),
			DataCentre: fmt.Sprintf("dc-%d", rack%3), State: wave.StatePending,
		},
		reboot:     minRebootTime + time.Duration(b.random.Int64N(int64(maxRebootTime-minRebootTime))),
		fails:      b.random.Float64() < b.scenario.failureRate,
		assignment: pool.Assign(name, "queue"),
	}
}

// run simulates until all hosts are maintained or waveLimit is over, and returns the
// time that it took.
func (b *waveBench) run() time.Duration {
	for b.now.Sub(epoch) < waveLimit && !b.finished() {
		b.injectRackFailure()
		for _, p := range b.pools {
			for _, h := range p.hosts {
				b.advance(h)
			}
			b.step(p)
		}
		b.repairFailedHosts()
		b.now = b.now.Add(waveTick)
	}
	return b.now.Sub(epoch)
}

func (b *waveBench) finished() bool {
	for _, p := range b.pools {
		if slices.ContainsFunc(p.hosts, func(h *waveHost) bool { return h.State != wave.StateDone }) {
			return false
		}
	}
	return true
}

func (p *wavePool) view() wave.View {
	view := wave.View{Need: p.need, BudgetLeft: 1 - p.shortage.Seconds()/availabilityBudget.Seconds()}
	for _, h := range p.hosts {
		view.Hosts = append(view.Hosts, h.Host)
	}
	return view
}

// otherPoolResults counts the results of the other pools.
func (b *waveBench) otherPoolResults(p *wavePool) wave.Results {
	var r wave.Results
	for _, other := range b.pools {
		if other == p {
			continue
		}
		for _, h := range other.hosts {
			switch h.State {
			case wave.StateDone:
				r.Done++
			case wave.StateFailed:
				r.Failed++
			}
		}
	}
	return r
}

func (b *waveBench) step(p *wavePool) {
	view := p.view()
	if !b.isolated {
		view.OtherPools = b.otherPoolResults(p)
	}
	serving := 0
	for _, h := range view.Hosts {
		if h.State == wave.StatePending || h.State == wave.StateDone {
			serving++
		}
	}
	if serving < p.need {
		p.shortage += waveTick
	}
	for _, name := range p.policy.start(b.now, view) {
		for _, h := range p.hosts {
			if h.Name == name {
				b.drain(h)
			}
		}
	}
}

// drain starts a host's maintenance. Each entry observes it after a random delay.
func (b *waveBench) drain(h *waveHost) {
	next, err := pool.Drain(h.assignment, pool.Maintenance, "")
	if err != nil {
		panic(err)
	}
	h.assignment, h.State, h.drainAt, h.drains = next, wave.StateDown, b.now, pool.NewDrainTracker()
	h.entries = nil
	for i := range b.deployment.Entries {
		entry := &waveEntry{
			id:              pool.Sender{Name: b.deployment.entry(i), Incarnation: 1},
			observesDrainAt: b.now.Add(time.Duration(b.random.Int64N(int64(maxDrainObservationDelay)))),
		}
		for range inFlightPerEntry {
			entry.requestEnds = append(entry.requestEnds, b.now.Add(b.deployment.runTime(b.random)))
		}
		h.entries = append(h.entries, entry)
	}
}

// advance simulates one tick of a host in maintenance.
func (b *waveBench) advance(h *waveHost) {
	switch {
	case h.State != wave.StateDown:
	case h.assignment.Phase == pool.Draining:
		b.confirm(h)
	case !b.now.Before(h.backAt):
		b.finishReboot(h)
	}
}

// confirm handles the entries' confirmations, each of which arrives one tick late,
// and reboots the host when the drain is complete.
func (b *waveBench) confirm(h *waveHost) {
	var ids []pool.Sender
	running := 0
	for _, e := range h.entries {
		h.drains.Confirm(h.Name, e.id, e.report)
		ids = append(ids, e.id)
		e.requestEnds = slices.DeleteFunc(e.requestEnds, func(end time.Time) bool { return !end.After(b.now) })
		e.report = pool.Confirmation{InFlight: len(e.requestEnds)}
		if b.now.Before(e.observesDrainAt) {
			e.requestEnds = append(e.requestEnds, b.now.Add(b.deployment.runTime(b.random)))
		} else {
			e.report.Epoch = h.assignment.Epoch
		}
		running += len(e.requestEnds)
	}
	drained := h.drains.IsDrained(b.now, h.assignment, ids, nil, time.Minute)
	if b.grace > 0 {
		drained = b.now.Sub(h.drainAt) >= b.grace
	}
	if !drained {
		return
	}
	next, err := pool.CompleteDrain(h.assignment)
	if err != nil {
		panic(err)
	}
	b.requestsCut += running
	h.assignment, h.backAt = next, b.now.Add(h.reboot)
}

func (b *waveBench) finishReboot(h *waveHost) {
	if h.fails || b.scenario.badImage && b.repairedAt.IsZero() {
		h.State, h.failedAt = wave.StateFailed, b.now
		h.Since = b.now
		b.hostsFailed++
		return
	}
	b.returnToService(h)
}

func (b *waveBench) returnToService(h *waveHost) {
	next, err := pool.Return(h.assignment)
	if err != nil {
		panic(err)
	}
	h.assignment, h.State, h.fails = next, wave.StateDone, false
	h.Since = b.now
}

// repairFailedHosts acts as the operator: it repairs a host repairDelay after its
// failure, and resumes the wave.
func (b *waveBench) repairFailedHosts() {
	for _, p := range b.pools {
		for _, h := range p.hosts {
			if h.State == wave.StateFailed && b.now.Sub(h.failedAt) >= repairDelay {
				b.repairedAt = b.now
				p.policy.resume(p.view())
				b.returnToService(h)
			}
		}
	}
}

// injectRackFailure takes the first host's rack down from waveRackLostAt to waveRackBackAt.
func (b *waveBench) injectRackFailure() {
	since := b.now.Sub(epoch)
	if !b.scenario.loseRack || since < waveRackLostAt {
		return
	}
	rack := b.pools[0].hosts[0].Rack
	for _, p := range b.pools {
		for _, h := range p.hosts {
			serving := h.State == wave.StatePending || h.State == wave.StateDone
			switch {
			case h.Rack != rack:
			case since < waveRackBackAt && serving:
				h.stateBeforeLoss, h.State = h.State, wave.StateLost
			case since >= waveRackBackAt && h.State == wave.StateLost:
				h.State = h.stateBeforeLoss
			}
		}
	}
}

// minRollOutTime returns a lower bound of the roll-out time without failures: each
// pool must keep the hosts that it needs and one more, for the loss of a rack.
func (b *waveBench) minRollOutTime() time.Duration {
	longest := time.Duration(0)
	for _, p := range b.pools {
		sum := time.Duration(0)
		for _, h := range p.hosts {
			sum += h.reboot
			longest = max(longest, h.reboot)
		}
		longest = max(longest, sum/time.Duration(len(p.hosts)-p.need-1))
	}
	return longest
}
