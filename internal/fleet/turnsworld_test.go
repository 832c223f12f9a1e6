package fleet_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/fleet"
	"github.com/lovagedyke/lovagedyke/internal/job"
	"github.com/lovagedyke/lovagedyke/internal/policy"
)

const (
	// turnsTick is the resolution of a turnsWorld.
	turnsTick = 10 * time.Millisecond
	// turnsMove is how long a host is away when it is moved.
	turnsMove = 1500 * time.Millisecond
)

// turnsWorld is a large fleet in virtual time, with hosts that the leader moves between pools whose
// demand rises by turns.
type turnsWorld struct {
	leader  *fleet.Leader
	now     time.Time
	started time.Time
	random  *rand.Rand
	config  turnsConfig
	hosts   map[fleet.HostID]*turnsHost
	byID    map[fleet.EndpointID]*turnsHost
	ids     []fleet.HostID
	nextID  int
	count   int
	due     map[string]float64
	jobs    map[job.ID]*job.Submission
	// ends holds when runs end, by tick.
	ends map[int64][]turnsEnd
	// starts, moves and done count what the leader has started, moved, and the jobs that are done.
	starts, moves int
	listedAt      time.Time
	accepted      map[job.ID]time.Time
	done          map[job.ID]time.Duration
}

// turnsConfig configures a turnsWorld.
type turnsConfig struct {
	hosts int
	pools int
	// persistent is the number of persistent tasks in each pool.
	persistent int
	// rate returns the jobs a second that arrive in a pool.
	rate func(pool int, at time.Duration) float64
	// tasks is the number of tasks of a job, which take duration and cpu each.
	tasks    int
	duration time.Duration
	cpu      int64
}

type turnsHost struct {
	id      fleet.HostID
	pool    string
	runner  *worldEndpoint
	upAt    time.Time
	waiting *fleet.LeaseRenewal
	askedAt time.Time
}

type turnsEnd struct {
	host *turnsHost
	run  worldRun
	kind fleet.CompletionKind
}

func turnsPool(n int) string { return fmt.Sprintf("pool-%d", n) }

func newTurnsWorld(config turnsConfig) *turnsWorld {
	start := time.Date(2026, 12, 1, 6, 0, 0, 0, time.UTC)
	w := &turnsWorld{
		now: start, started: start, random: rand.New(rand.NewPCG(1, 2)), config: config,
		hosts: map[fleet.HostID]*turnsHost{}, byID: map[fleet.EndpointID]*turnsHost{}, due: map[string]float64{},
		jobs: map[job.ID]*job.Submission{}, ends: map[int64][]turnsEnd{}, accepted: map[job.ID]time.Time{}, done: map[job.ID]time.Duration{},
	}
	w.leader = fleet.New(fleet.Config{Token: 1, Now: start, Bounds: fleet.Bounds{
		MaxLease: 6 * time.Second, StatusRetention: 120 * time.Second, Move: turnsMove, Maintenance: 2 * time.Second,
		HostChangeExclusion: 3 * time.Second, Stop: 200 * time.Millisecond, HostChangesPerSecond: 590,
	}})
	policyConfig := policy.Config{Pools: []policy.Pool{{Name: spareName, Spare: true}}}
	for n := range config.pools {
		policyConfig.Pools = append(policyConfig.Pools, policy.Pool{Name: turnsPool(n), Guarded: true})
		policyConfig.Queues = append(policyConfig.Queues, policy.Queue{Name: turnsPool(n), Pool: turnsPool(n), MaxAttempts: 3, Stretch: 1.6, Target: 600 * time.Millisecond})
	}
	w.leader.SetPolicy(policy.New(policyConfig))
	w.leader.Load(nil, start, start)
	for n := range config.hosts {
		h := &turnsHost{id: fleet.HostID(fmt.Sprintf("h-%04d", n)), pool: turnsPool(n % config.pools)}
		w.hosts[h.id] = h
		w.ids = append(w.ids, h.id)
		w.boot(h)
	}
	w.list()
	for pool := range config.pools {
		for done := 0; done < config.persistent; done += 24 {
			step := persistentTasks(min(24, config.persistent-done), 3)
			step.MaxPerEndpoint, step.Resources = 1, policy.Resources{CPU: 2400, Memory: 22000}
			w.submit(pool, step)
		}
	}
	return w
}

// boot starts an endpoint on a host.
func (w *turnsWorld) boot(h *turnsHost) {
	if h.pool == spareName {
		return
	}
	w.nextID++
	h.runner = &worldEndpoint{id: fleet.EndpointID(fmt.Sprintf("i-%05d", w.nextID)), startedAt: w.now}
	w.byID[h.runner.id] = h
	row := endpointRow(h.runner.id)
	row.Host, row.Pool, row.StartedAt = string(h.id), h.pool, w.now
	w.leader.UpdateEndpoint(row, w.now)
}

// row returns a host's row in the list.
func (h *turnsHost) row() fleet.Host {
	row := fleet.Host{ID: h.id, Pool: h.pool, State: fleet.HostUp, Capacity: endpointSize}
	switch {
	case !h.upAt.IsZero():
		row.State = fleet.HostMoving
	case h.runner != nil:
		row.Endpoint = h.runner.id
	}
	return row
}

// list delivers the list of hosts.
func (w *turnsWorld) list() {
	w.listedAt = w.now
	rows := make([]fleet.Host, 0, len(w.ids))
	for _, id := range w.ids {
		rows = append(rows, w.hosts[id].row())
	}
	w.leader.UpdateHosts(rows, w.now, w.now)
}

// submit hands a job of one step in to a pool.
func (w *turnsWorld) submit(pool int, step job.Step) {
	w.count++
	j := &job.Submission{
		ID: jobID(w.count), Queue: turnsPool(pool), Pool: turnsPool(pool), MaxAttempts: 3, Stretch: 1.6, Target: 600 * time.Millisecond,
		Steps: []job.Step{step}, Accepted: w.now,
	}
	w.jobs[j.ID], w.accepted[j.ID] = j, w.now
	w.leader.AddJob(j, w.now, w.now)
}

// tick advances the world by one tick.
func (w *turnsWorld) tick() {
	w.now = w.now.Add(turnsTick)
	w.leader.ConfirmLeadership(w.now)
	w.arrive()
	w.end()
	for _, id := range w.ids {
		h := w.hosts[id]
		if !h.upAt.IsZero() && !w.now.Before(h.upAt) {
			h.upAt = time.Time{}
			w.boot(h)
		}
	}
	if w.now.Sub(w.listedAt) >= 300*time.Millisecond {
		w.list()
	}
}

// arrive hands in the jobs that are due.
func (w *turnsWorld) arrive() {
	for pool := range w.config.pools {
		name := turnsPool(pool)
		for w.due[name] += w.config.rate(pool, w.now.Sub(w.started)) * turnsTick.Seconds(); w.due[name] >= 1; w.due[name]-- {
			step := tasks(w.config.tasks)
			step.Resources = policy.Resources{CPU: w.config.cpu, Memory: 8200}
			step.Estimate = time.Duration(float64(w.config.duration) * math.Exp(0.9*w.random.NormFloat64()))
			w.submit(pool, step)
		}
	}
}

// end ends the runs that are due.
func (w *turnsWorld) end() {
	tick := w.now.UnixNano() / int64(turnsTick)
	for _, due := range w.ends[tick] {
		e := due.host.runner
		if e == nil || !slices.Contains(e.running, due.run) {
			continue
		}
		e.running = slices.DeleteFunc(e.running, func(r worldRun) bool { return r == due.run })
		e.count++
		e.ended = append(e.ended, fleet.Completion{Number: e.count, Task: due.run.task, Run: due.run.run, Kind: due.kind})
	}
	delete(w.ends, tick)
}

// endAfter lets a run end after a time.
func (w *turnsWorld) endAfter(h *turnsHost, r worldRun, d time.Duration, kind fleet.CompletionKind) {
	tick := w.now.Add(d).UnixNano()/int64(turnsTick) + 1
	w.ends[tick] = append(w.ends[tick], turnsEnd{host: h, run: r, kind: kind})
}

// report renews the leases that are due, and delivers the reports.
func (w *turnsWorld) report() int {
	reports := 0
	for _, id := range w.ids {
		h := w.hosts[id]
		if h.runner == nil {
			continue
		}
		if h.waiting == nil {
			renewal, isDue := w.leader.NextRenewal(h.runner.id, w.now)
			if !isDue {
				continue
			}
			h.waiting, h.askedAt = &renewal, w.now
			h.runner.ended = slices.DeleteFunc(h.runner.ended, func(c fleet.Completion) bool { return c.Number <= renewal.AckedUpTo })
		}
		if len(h.runner.ended) == 0 && w.now.Sub(h.askedAt) < h.waiting.Wait {
			continue
		}
		e := h.runner
		report := fleet.Report{Clock: w.now.Sub(e.startedAt), StartedAt: e.startedAt, Completions: slices.Clone(e.ended)}
		for _, r := range e.running {
			report.Running = append(report.Running, fleet.RunningTask{Task: r.task, Run: r.run, SpeedPercent: 100, CPU: 100})
		}
		w.leader.HandleReport(e.id, *h.waiting, h.askedAt, report, w.now)
		h.waiting = nil
		reports++
	}
	return reports
}

// step runs one step of the leader and carries out its orders.
func (w *turnsWorld) step() fleet.Orders {
	orders := w.leader.Step(w.now, w.now)
	for _, start := range orders.Starts {
		w.start(start)
	}
	for _, stop := range orders.Stops {
		w.stop(stop)
	}
	return orders
}

// stop carries out a stop.
func (w *turnsWorld) stop(stop fleet.Stop) {
	if h := w.byID[stop.Endpoint]; h != nil && h.runner != nil && h.runner.id == stop.Endpoint {
		for _, r := range h.runner.running {
			if r.task == stop.Task && r.run == stop.Run {
				w.endAfter(h, r, 100*time.Millisecond, fleet.CompletionStopped)
			}
		}
	}
	w.leader.HandleStopReply(stop, fleet.Reply{Outcome: fleet.OrderAccepted}, w.now)
}

// start carries out a start.
func (w *turnsWorld) start(start fleet.Start) {
	h := w.byID[start.Endpoint]
	if h == nil || h.runner == nil || h.runner.id != start.Endpoint || !w.leader.ConfirmStart(start, w.now) {
		w.leader.HandleStartReply(start, fleet.Reply{Outcome: fleet.OrderNotSent}, w.now)
		return
	}
	w.starts++
	r := worldRun{task: start.Task, run: start.Run, startedAt: w.now}
	h.runner.running = append(h.runner.running, r)
	if !w.jobs[start.Task.Job].Steps[start.Task.Step].Persistent {
		w.endAfter(h, r, time.Duration(float64(w.config.duration)*(0.6+0.8*w.random.Float64())), fleet.CompletionDone)
	}
	w.leader.HandleStartReply(start, fleet.Reply{Outcome: fleet.OrderAccepted}, w.now)
}

// move carries out a move.
func (w *turnsWorld) move(move fleet.Move) {
	h := w.hosts[move.Host]
	if !w.leader.ConfirmHostChange(move.Host, w.now) {
		return
	}
	w.moves++
	if h.runner != nil {
		w.leader.RemoveEndpoint(h.runner.id, w.now)
		delete(w.byID, h.runner.id)
	}
	h.runner, h.waiting, h.pool, h.upAt = nil, nil, move.Pool, w.now.Add(turnsMove)
	w.leader.HandleMoveReply(move, fleet.ChangeAccepted, w.now)
}

// write writes the batches that are due, and notes which jobs are done.
func (w *turnsWorld) write() {
	for {
		batch, ok := w.leader.NextBatch()
		if !ok {
			return
		}
		w.leader.MarkBatchWritten(batch, w.now)
		for id := range batch.Rows {
			if state, _ := w.leader.StateOf(id); state == job.Complete {
				w.done[id] = w.now.Sub(w.accepted[id])
			}
		}
	}
}

// threeTurns is the demand of a day on which three of four pools have a turn of far more than
// their mean, one after the other.
func threeTurns(pool int, at time.Duration) float64 {
	turn := int(at/(5*time.Second)) - 1
	if turn == pool {
		return 280
	}
	return 15
}

func largeTurns() turnsConfig {
	return turnsConfig{hosts: 1100, pools: 4, persistent: 50, rate: threeTurns, tasks: 13, duration: 640 * time.Millisecond, cpu: 2200}
}

// BenchmarkTurns measures the leader's work for a day of turns, a task.
func BenchmarkTurns(b *testing.B) {
	for b.Loop() {
		began := time.Now()
		w := newTurnsWorld(largeTurns())
		for w.now.Sub(w.started) < 25*time.Second {
			w.tick()
			w.report()
			for _, move := range w.step().Moves {
				w.move(move)
			}
			w.write()
		}
		b.ReportMetric(float64(time.Since(began).Nanoseconds())/float64(w.starts), "ns/start")
		b.ReportMetric(float64(w.starts), "starts")
		b.ReportMetric(float64(w.moves), "moves")
		b.ReportMetric(float64(len(w.done)), "done")
	}
}
