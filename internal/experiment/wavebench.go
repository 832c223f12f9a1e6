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

// Sizes of the waves' bench that the deployments have in common.
const (
	waveTick         = 250 * time.Millisecond
	waveLimit        = 3 * time.Hour
	rebootLeast      = time.Minute
	rebootGreatest   = 3 * time.Minute
	needOfPool       = 0.5 // of a pool's hosts carry its load
	operatorTime     = 10 * time.Minute
	budgetOfSevenWks = 4234 * time.Second // one thousandth of 7 weeks
	hearLag          = time.Second        // until an entry has heard of a drain
	inFlightPerEntry = 2
	waveRackLostAt   = 2 * time.Minute
	waveRackBackAt   = 12 * time.Minute
)

// waveScenario is what fails during the waves.
type waveScenario struct {
	name string
	// failing is the part of the hosts that do not come back.
	failing float64
	// badImage fails each host until an operator has looked.
	badImage bool
	loseRack bool
}

// wavePolicy decides which hosts of one pool to take down.
type wavePolicy interface {
	start(now time.Time, view wave.View) []string
	resume(view wave.View)
}

// waveBench maintains all pools of a deployment at the same time. Drains are
// those of the pool package, with entries that hear of them late.
type waveBench struct {
	now        time.Time
	deployment Deployment
	scenario   waveScenario
	random     *rand.Rand
	pools      []*wavePool
	// grace reboots hosts that long after the drain began, confirmed or not.
	grace time.Duration
	// apart keeps each pool from knowing of the others' results.
	apart  bool
	cut    int
	lost   int
	repair time.Time
}

// wavePool is one pool and its policy.
type wavePool struct {
	hosts  []*waveHost
	need   int
	policy wavePolicy
	short  time.Duration
}

// waveHost is a host, its drain and its maintenance.
type waveHost struct {
	wave.Host
	reboot     time.Duration
	fails      bool
	assignment pool.Assignment
	drainAt    time.Time
	drains     *pool.DrainTracker
	senders    []*waveSender
	backAt     time.Time
	failedAt   time.Time
	rackLost   wave.State // state to return to
}

// waveSender is an entry's view of a draining host.
type waveSender struct {
	id      pool.Sender
	hearsAt time.Time
	ends    []time.Time
	report  pool.Confirmation
}

func newWaveBench(d Deployment, scenario waveScenario, seed uint64, make func() wavePolicy, grace time.Duration) *waveBench {
	b := &waveBench{now: epoch, deployment: d, scenario: scenario, random: newRandom(seed), grace: grace}
	index := 0
	for _, n := range queueHosts {
		p := &wavePool{need: int(math.Ceil(needOfPool * float64(n))), policy: make()}
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
		reboot:     rebootLeast + time.Duration(b.random.Int64N(int64(rebootGreatest-rebootLeast))),
		fails:      b.random.Float64() < b.scenario.failing,
		assignment: pool.Assign(name, "queue"),
	}
}

// run steps the bench until each host is maintained, and returns how long it took.
func (b *waveBench) run() time.Duration {
	for b.now.Sub(epoch) < waveLimit && !b.finished() {
		b.loseRack()
		for _, p := range b.pools {
			for _, h := range p.hosts {
				b.advance(h)
			}
			b.step(p)
		}
		b.operate()
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
	view := wave.View{Need: p.need, BudgetLeft: 1 - p.short.Seconds()/budgetOfSevenWks.Seconds()}
	for _, h := range p.hosts {
		view.Hosts = append(view.Hosts, h.Host)
	}
	return view
}

// elsewhere counts the results of the other pools.
func (b *waveBench) elsewhere(p *wavePool) wave.Results {
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
	if !b.apart {
		view.OtherPools = b.elsewhere(p)
	}
	serving := 0
	for _, h := range view.Hosts {
		if h.State == wave.StatePending || h.State == wave.StateDone {
			serving++
		}
	}
	if serving < p.need {
		p.short += waveTick
	}
	for _, name := range p.policy.start(b.now, view) {
		for _, h := range p.hosts {
			if h.Name == name {
				b.drain(h)
			}
		}
	}
}

// drain begins a host's maintenance; the entries hear of it one by one.
func (b *waveBench) drain(h *waveHost) {
	next, err := pool.Drain(h.assignment, pool.Maintenance, "")
	if err != nil {
		panic(err)
	}
	h.assignment, h.State, h.drainAt, h.drains = next, wave.StateDown, b.now, pool.NewDrainTracker()
	h.senders = nil
	for i := range b.deployment.Entries {
		sender := &waveSender{
			id:      pool.Sender{Name: b.deployment.entry(i), Incarnation: 1},
			hearsAt: b.now.Add(time.Duration(b.random.Int64N(int64(hearLag)))),
		}
		for range inFlightPerEntry {
			sender.ends = append(sender.ends, b.now.Add(b.deployment.runTime(b.random)))
		}
		h.senders = append(h.senders, sender)
	}
}

// advance takes a host in maintenance a tick further.
func (b *waveBench) advance(h *waveHost) {
	switch {
	case h.State != wave.StateDown:
	case h.assignment.Phase == pool.Draining:
		b.confirm(h)
	case !b.now.Before(h.backAt):
		b.comeBack(h)
	}
}

// confirm lets the entries report, which arrives a tick later, and reboots the
// host when the drain is complete.
func (b *waveBench) confirm(h *waveHost) {
	var ids []pool.Sender
	running := 0
	for _, s := range h.senders {
		h.drains.Confirm(h.Name, s.id, s.report)
		ids = append(ids, s.id)
		s.ends = slices.DeleteFunc(s.ends, func(end time.Time) bool { return !end.After(b.now) })
		s.report = pool.Confirmation{InFlight: len(s.ends)}
		if b.now.Before(s.hearsAt) {
			s.ends = append(s.ends, b.now.Add(b.deployment.runTime(b.random)))
		} else {
			s.report.Epoch = h.assignment.Epoch
		}
		running += len(s.ends)
	}
	quiet := h.drains.IsDrained(b.now, h.assignment, ids, nil, time.Minute)
	if b.grace > 0 {
		quiet = b.now.Sub(h.drainAt) >= b.grace
	}
	if !quiet {
		return
	}
	next, err := pool.CompleteDrain(h.assignment)
	if err != nil {
		panic(err)
	}
	b.cut += running
	h.assignment, h.backAt = next, b.now.Add(h.reboot)
}

func (b *waveBench) comeBack(h *waveHost) {
	if h.fails || b.scenario.badImage && b.repair.IsZero() {
		h.State, h.failedAt = wave.StateFailed, b.now
		h.Since = b.now
		b.lost++
		return
	}
	b.serveAgain(h)
}

func (b *waveBench) serveAgain(h *waveHost) {
	next, err := pool.Return(h.assignment)
	if err != nil {
		panic(err)
	}
	h.assignment, h.State, h.fails = next, wave.StateDone, false
	h.Since = b.now
}

// operate repairs hosts some time after they failed, and lets the wave go on.
func (b *waveBench) operate() {
	for _, p := range b.pools {
		for _, h := range p.hosts {
			if h.State == wave.StateFailed && b.now.Sub(h.failedAt) >= operatorTime {
				b.repair = b.now
				p.policy.resume(p.view())
				b.serveAgain(h)
			}
		}
	}
}

// loseRack takes the first host's rack down for some time.
func (b *waveBench) loseRack() {
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
				h.rackLost, h.State = h.State, wave.StateLost
			case since >= waveRackBackAt && h.State == wave.StateLost:
				h.State = h.rackLost
			}
		}
	}
}

// shortest is a lower bound of the roll-out without failures: a pool must keep
// its need and one host more, whose rack may be lost.
func (b *waveBench) shortest() time.Duration {
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
