package place

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// fullnessSteps is the number of levels to which the fullness of workers is
	// rounded. Among workers of the same level the spread over racks decides.
	fullnessSteps = 8
	// preemptionReservationTime is short, so that urgent work tries another worker
	// if this one does not free its resources at once.
	preemptionReservationTime = time.Second
	starvingReservationTime   = 10 * time.Minute
	// minReservedFraction is the fraction of a worker that a starving task must
	// need to get a reservation.
	minReservedFraction = 0.25
	// workersPerReservation limits reservations for starving tasks to one for
	// this many workers.
	workersPerReservation = 8
	// checkpointCost is the cost of a checkpoint, in throttlings.
	checkpointCost = 10
)

// Choose decides where the task could start now. It does not place the task: the
// caller calls Place for that.
func (p *Placer) Choose(now time.Time, d Demand) Decision {
	need := p.Need(d)
	if bestWorker := p.bestWorker(now, d, need); bestWorker != nil {
		return Decision{Outcome: Placed, Worker: bestWorker.Name}
	}
	if p.exhausted(d) {
		return Decision{Outcome: Exhausted}
	}
	if w, ok := p.reservations[d.Task]; ok && w.reservation.inForce(now) && w.accepts(now, d) {
		return Decision{Outcome: Waits}
	}
	p.releaseReservation(d.Task)
	if d.Class == Urgent {
		return p.preempt(now, d, need)
	}
	if d.Waited >= starvingAfter {
		p.reserveWorker(now, d, need)
	}
	return Decision{Outcome: Waits}
}

// bestWorker returns the worker that would be fullest with the task, so that
// others keep free capacity for large tasks. Among equally full workers it
// prefers the rack with the fewest tasks of the queue.
func (p *Placer) bestWorker(now time.Time, d Demand, need Size) *worker {
	var bestWorker *worker
	bestFullness, bestSpread := 0, 0
	for _, name := range p.names {
		w := p.workers[name]
		if !need.Fits(w.free()) || !w.accepts(now, d) {
			continue
		}
		fullness := int(w.used.Plus(need).fractionOf(w.Size) * fullnessSteps)
		spread := p.spread[rackQueue{dataCentre: w.DataCentre, rack: w.Rack, queue: d.Queue}]
		if bestWorker == nil || fullness > bestFullness || fullness == bestFullness && spread < bestSpread {
			bestWorker, bestFullness, bestSpread = w, fullness, spread
		}
	}
	return bestWorker
}

// exhausted reports whether the task must avoid every worker that it fits.
func (p *Placer) exhausted(d Demand) bool {
	avoided := false
	for _, w := range p.workers {
		if w.leaving || w.evacuated || !d.Declared.Fits(w.Size) {
			continue
		}
		if !slices.Contains(d.Avoid, w.Name) {
			return false
		}
		avoided = true
	}
	return avoided
}

// preemptionPlan lists the tasks to throttle and to checkpoint in order to free
// resources on one worker.
type preemptionPlan struct {
	worker     *worker
	throttle   []*placedTask
	checkpoint []*placedTask
	cost       int
}

// preempt frees resources for urgent work on the worker where that costs least.
func (p *Placer) preempt(now time.Time, d Demand, need Size) Decision {
	best := preemptionPlan{cost: math.MaxInt}
	for _, name := range p.names {
		w := p.workers[name]
		if !w.accepts(now, d) || !need.Fits(w.Size) {
			continue
		}
		if plan, ok := planPreemption(w, d, need); ok && plan.cost < best.cost {
			best = plan
		}
	}
	if best.worker == nil {
		return Decision{Outcome: Waits}
	}
	return p.applyPreemption(now, d, best)
}

// applyPreemption marks the tasks of the plan as throttled or checkpointing, and
// reserves the worker for the demand.
func (p *Placer) applyPreemption(now time.Time, d Demand, plan preemptionPlan) Decision {
	decision := Decision{Outcome: Placed, Worker: plan.worker.Name}
	for _, victim := range plan.throttle {
		victim.throttled = true
		p.throttled[victim.demand.Task] = victim
		victim.need.CPUs *= throttledRate
		decision.Throttle = append(decision.Throttle, victim.demand.Task)
	}
	for _, victim := range plan.checkpoint {
		victim.checkpointing = true
		decision.Checkpoint = append(decision.Checkpoint, victim.demand.Task)
		decision.Outcome = Preempts
	}
	plan.worker.recount()
	p.setReservation(plan.worker, &reservation{task: d.Task, class: d.Class, until: now.Add(preemptionReservationTime)})
	return decision
}

// planPreemption plans which tasks of lower classes to preempt. It prefers
// throttling; checkpoints free all resources of a task.
func planPreemption(w *worker, d Demand, need Size) (preemptionPlan, bool) {
	victims := w.victims(d.Class)
	if plan, ok := planThrottling(w, victims, need); ok {
		return plan, true
	}
	return planCheckpoints(w, victims, need)
}

// planThrottling plans preemption by throttling, which frees processors only.
func planThrottling(w *worker, victims []*placedTask, need Size) (preemptionPlan, bool) {
	plan := preemptionPlan{worker: w}
	free := w.free()
	for _, victim := range victims {
		if need.Fits(free) {
			break
		}
		if victim.throttled || victim.checkpointing {
			continue
		}
		plan.throttle = append(plan.throttle, victim)
		plan.cost++
		free.CPUs += victim.need.CPUs * (1 - throttledRate)
	}
	return plan, need.Fits(free)
}

// planCheckpoints plans preemption by checkpoints, which stop movable tasks so
// that they can restart elsewhere.
func planCheckpoints(w *worker, victims []*placedTask, need Size) (preemptionPlan, bool) {
	plan := preemptionPlan{worker: w}
	free := w.free()
	for _, victim := range victims {
		if need.Fits(free) {
			break
		}
		if !victim.demand.Movable || victim.checkpointing {
			continue
		}
		plan.checkpoint = append(plan.checkpoint, victim)
		plan.cost += checkpointCost
		free = free.Plus(victim.need)
	}
	return plan, need.Fits(free)
}

// victims returns the tasks of lower classes, the lowest class first and the
// youngest first within a class, because these lose the least work.
func (w *worker) victims(class Class) []*placedTask {
	victims := slices.DeleteFunc(w.sorted(), func(task *placedTask) bool { return !class.before(task.demand.Class) })
	slices.SortStableFunc(victims, func(a, b *placedTask) int {
		if order := b.demand.Class.Rank() - a.demand.Class.Rank(); order != 0 {
			return order
		}
		return b.placedAt.Compare(a.placedAt)
	})
	return victims
}

// reserveWorker reserves the emptiest fitting worker for a starving task. Small
// tasks get no reservation, because capacity for them becomes free without one.
// The number of reservations is limited, because reserved capacity may stay idle.
func (p *Placer) reserveWorker(now time.Time, d Demand, need Size) {
	if len(p.reservations) >= max(1, len(p.names)/workersPerReservation) {
		return
	}
	var emptiest *worker
	for _, name := range p.names {
		w := p.workers[name]
		if !need.Fits(w.Size) || w.reservation.inForce(now) || !w.accepts(now, d) {
			continue
		}
		if need.fractionOf(w.Size) < minReservedFraction {
			continue
		}
		if emptiest == nil || w.used.fractionOf(w.Size) < emptiest.used.fractionOf(emptiest.Size) {
			emptiest = w
		}
	}
	if emptiest != nil {
		p.setReservation(emptiest, &reservation{task: d.Task, class: d.Class, until: now.Add(starvingReservationTime)})
	}
}

// setReservation reserves the worker, replacing the reservations of both the
// worker and the task.
func (p *Placer) setReservation(w *worker, r *reservation) {
	p.releaseReservation(r.task)
	if w.reservation != nil {
		delete(p.reservations, w.reservation.task)
	}
	w.reservation = r
	p.reservations[r.task] = w
}

// Unthrottle returns the throttled tasks for which processors are free again.
// They count as running at full speed from now on.
func (p *Placer) Unthrottle(now time.Time) []string {
	var unthrottled []string
	for _, name := range slices.Sorted(maps.Keys(p.throttled)) {
		task := p.throttled[name]
		regained := task.need.CPUs * (1/throttledRate - 1)
		if regained > task.worker.free().CPUs || task.worker.reservation.inForce(now) {
			continue
		}
		delete(p.throttled, name)
		task.throttled = false
		task.need.CPUs += regained
		task.worker.recount()
		unthrottled = append(unthrottled, name)
	}
	return unthrottled
}

// ExpectedRunTime returns the expected run time of a task of the queue, given its
// declared run time.
func (p *Placer) ExpectedRunTime(queue string, declared time.Duration) time.Duration {
	if p.cfg.TrustDeclared {
		return declared
	}
	return time.Duration(float64(declared) * p.estimate(queue).runTimeFactor)
}
