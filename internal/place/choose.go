package place

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// fullnessSteps is how finely the fullness of workers is told apart before
	// the spread over racks decides.
	fullnessSteps = 8
	// preemptHold is short, so that urgent work looks elsewhere when a worker
	// does not make room at once.
	preemptHold  = time.Second
	starvingHold = 10 * time.Minute
	// largePart is the part of a worker from which a task counts as large.
	largePart = 0.25
	// workersPerHold bounds the workers held for starving tasks.
	workersPerHold = 8
	// checkpointCost is what a checkpoint weighs against a throttling.
	checkpointCost = 10
)

// Choose decides where the task could start now. It counts nothing: the caller
// calls Place once the placement is to be made.
func (p *Placer) Choose(now time.Time, d Demand) Decision {
	need := p.Need(d)
	if best := p.best(now, d, need); best != nil {
		return Decision{Outcome: Placed, Worker: best.Name}
	}
	if p.exhausted(d) {
		return Decision{Outcome: Exhausted}
	}
	if w, ok := p.holds[d.Task]; ok && w.hold.inForce(now) && w.open(now, d) {
		return Decision{Outcome: Waits}
	}
	p.releaseHold(d.Task)
	if d.Class == Urgent {
		return p.preempt(now, d, need)
	}
	if d.Waited >= starvingAfter {
		p.keepRoom(now, d, need)
	}
	return Decision{Outcome: Waits}
}

// best returns the open worker that the task fills most, so that large tasks
// find room elsewhere; among like ones, that in the rack with the fewest tasks
// of the queue.
func (p *Placer) best(now time.Time, d Demand, need Size) *worker {
	var best *worker
	bestFullness, bestSpread := 0, 0
	for _, name := range p.names {
		w := p.workers[name]
		if !need.Fits(w.room()) || !w.open(now, d) {
			continue
		}
		fullness := int(w.used.Plus(need).fraction(w.Size) * fullnessSteps)
		spread := p.spread[rackQueue{dataCentre: w.DataCentre, rack: w.Rack, queue: d.Queue}]
		if best == nil || fullness > bestFullness || fullness == bestFullness && spread < bestSpread {
			best, bestFullness, bestSpread = w, fullness, spread
		}
	}
	return best
}

// exhausted reports whether the task failed on every worker that could take it.
func (p *Placer) exhausted(d Demand) bool {
	avoided := false
	for _, w := range p.workers {
		if w.leaving || !d.Declared.Fits(w.Size) {
			continue
		}
		if !slices.Contains(d.Avoid, w.Name) {
			return false
		}
		avoided = true
	}
	return avoided
}

// plan is what it takes to make room on one worker.
type plan struct {
	worker     *worker
	throttle   []*held
	checkpoint []*held
	cost       int
}

// preempt makes room for urgent work where that disturbs the least.
func (p *Placer) preempt(now time.Time, d Demand, need Size) Decision {
	best := plan{cost: math.MaxInt}
	for _, name := range p.names {
		w := p.workers[name]
		if !w.open(now, d) || !need.Fits(w.Size) {
			continue
		}
		if found, ok := makeRoom(w, d, need); ok && found.cost < best.cost {
			best = found
		}
	}
	if best.worker == nil {
		return Decision{Outcome: Waits}
	}
	return p.carryOut(now, d, best)
}

// carryOut marks the tasks that make room and holds the room for the demand.
func (p *Placer) carryOut(now time.Time, d Demand, chosen plan) Decision {
	decision := Decision{Outcome: Placed, Worker: chosen.worker.Name}
	for _, victim := range chosen.throttle {
		victim.throttled = true
		p.throttled[victim.demand.Task] = victim
		victim.need.CPUs *= throttledRate
		decision.Throttle = append(decision.Throttle, victim.demand.Task)
	}
	for _, victim := range chosen.checkpoint {
		victim.going = true
		decision.Checkpoint = append(decision.Checkpoint, victim.demand.Task)
		decision.Outcome = Preempts
	}
	chosen.worker.recount()
	p.keep(chosen.worker, &hold{task: d.Task, class: d.Class, until: now.Add(preemptHold)})
	return decision
}

// makeRoom plans which tasks of lower classes make room: throttling them, or else
// checkpoints, which free all that a task has.
func makeRoom(w *worker, d Demand, need Size) (plan, bool) {
	victims := w.victims(d.Class)
	if found, ok := byThrottling(w, victims, need); ok {
		return found, true
	}
	return byCheckpoints(w, victims, need)
}

// byThrottling frees processors alone.
func byThrottling(w *worker, victims []*held, need Size) (plan, bool) {
	found := plan{worker: w}
	room := w.room()
	for _, victim := range victims {
		if need.Fits(room) {
			break
		}
		if victim.throttled || victim.going {
			continue
		}
		found.throttle = append(found.throttle, victim)
		found.cost++
		room.CPUs += victim.need.CPUs * (1 - throttledRate)
	}
	return found, need.Fits(room)
}

// byCheckpoints moves tasks away.
func byCheckpoints(w *worker, victims []*held, need Size) (plan, bool) {
	found := plan{worker: w}
	room := w.room()
	for _, victim := range victims {
		if need.Fits(room) {
			break
		}
		if !victim.demand.Movable || victim.going {
			continue
		}
		found.checkpoint = append(found.checkpoint, victim)
		found.cost += checkpointCost
		room = room.Plus(victim.need)
	}
	return found, need.Fits(room)
}

// victims returns the tasks below the class: the lowest class first, and in it
// the youngest, which lose least.
func (w *worker) victims(class Class) []*held {
	victims := slices.DeleteFunc(w.sorted(), func(task *held) bool { return !class.above(task.demand.Class) })
	slices.SortStableFunc(victims, func(a, b *held) int {
		if order := b.demand.Class.Rank() - a.demand.Class.Rank(); order != 0 {
			return order
		}
		return b.placed.Compare(a.placed)
	})
	return victims
}

// keepRoom holds the emptiest fitting worker for a starving task. Small tasks
// need none, for room for them comes of itself; and held room may stand idle, so
// that few workers are held.
func (p *Placer) keepRoom(now time.Time, d Demand, need Size) {
	if len(p.holds) >= max(1, len(p.names)/workersPerHold) {
		return
	}
	var emptiest *worker
	for _, name := range p.names {
		w := p.workers[name]
		if !need.Fits(w.Size) || w.hold.inForce(now) || !w.open(now, d) {
			continue
		}
		if need.fraction(w.Size) < largePart {
			continue
		}
		if emptiest == nil || w.used.fraction(w.Size) < emptiest.used.fraction(emptiest.Size) {
			emptiest = w
		}
	}
	if emptiest != nil {
		p.keep(emptiest, &hold{task: d.Task, class: d.Class, until: now.Add(starvingHold)})
	}
}

// keep puts a hold in force.
func (p *Placer) keep(w *worker, kept *hold) {
	p.releaseHold(kept.task)
	if w.hold != nil {
		delete(p.holds, w.hold.task)
	}
	w.hold = kept
	p.holds[kept.task] = w
}

// Restore returns the throttled tasks for which there are processors again; they
// count as running at full speed from now on.
func (p *Placer) Unthrottle(now time.Time) []string {
	var restored []string
	for _, name := range slices.Sorted(maps.Keys(p.throttled)) {
		task := p.throttled[name]
		more := task.need.CPUs * (1/throttledRate - 1)
		if more > task.worker.room().CPUs || task.worker.hold.inForce(now) {
			continue
		}
		delete(p.throttled, name)
		task.throttled = false
		task.need.CPUs += more
		task.worker.recount()
		restored = append(restored, name)
	}
	return restored
}

// Expected is how long the declared time is expected to take on that queue.
func (p *Placer) ExpectedRunTime(queue string, declared time.Duration) time.Duration {
	if p.cfg.TrustDeclared {
		return declared
	}
	return time.Duration(float64(declared) * p.estimate(queue).runTimeFactor)
}
