package fleet

import (
	"time"

	"github.com/lovagedyke/lovagedyke/internal/admission"
	"github.com/lovagedyke/lovagedyke/internal/job"
)

const (
	// startRateSlots slots of startRateSlot are the time over which starts are counted. A
	// pool must have been short for that long: before, it starts only what arrives.
	startRateSlots  = 8
	startRateSlot   = 250 * time.Millisecond
	startRateWindow = startRateSlots * startRateSlot
)

// startRate counts what a pool's started tasks need together, in cores, by slots of time.
type startRate struct {
	// current is the number of the newest slot.
	current int64
	// all and beyond are by the slots' numbers modulo startRateSlots+1: the newest slot is
	// not over.
	all, beyond [startRateSlots + 1]float64
}

// noteStart counts a start of a task that an endpoint has confirmed.
func (l *Leader) noteStart(j *jobState, step job.Step, now time.Time) {
	if step.Persistent {
		return
	}
	if l.outlook.starts == nil {
		l.outlook.starts = map[string]*startRate{}
	}
	pool := l.poolOf(j)
	rate := l.outlook.starts[pool]
	if rate == nil {
		rate = &startRate{}
		l.outlook.starts[pool] = rate
	}
	cores := l.coresOf(step.Reserved())
	slot := rate.advance(now.Sub(l.config.Now))
	rate.all[slot] += cores
	if j.beyondShare {
		rate.beyond[slot] += cores
	}
}

// advance clears the slots that have begun since the last call, at an age of the leader,
// and returns the index of the newest.
func (r *startRate) advance(age time.Duration) int64 {
	number := int64(age / startRateSlot)
	for n := max(r.current+1, number-startRateSlots); n <= number; n++ {
		r.all[n%(startRateSlots+1)], r.beyond[n%(startRateSlots+1)] = 0, 0
	}
	r.current = max(r.current, number)
	return r.current % (startRateSlots + 1)
}

// perSecond returns the cores of the tasks that were started in a second, of all tasks and
// of those beyond shares, in the slots that are over.
func (r *startRate) perSecond(age time.Duration) (all, beyond float64) {
	newest := r.advance(age)
	for slot := range int64(startRateSlots + 1) {
		if slot != newest {
			all += r.all[slot]
			beyond += r.beyond[slot]
		}
	}
	return all / startRateWindow.Seconds(), beyond / startRateWindow.Seconds()
}

// addWaits adds how long the work that can be in time takes to start at a
// rate, at an age of the leader.
func (w *waitingWork) addWaits(out *admission.PoolOutlook, rate *startRate, age time.Duration) {
	all, beyond := rate.perSecond(age)
	for priority := range out.AheadByPriority {
		out.WaitByPriority = append(out.WaitByPriority, waitAt(all, w.coresOnTime[priority]))
		out.BeyondWaitByPriority = append(out.BeyondWaitByPriority, waitAt(beyond, w.coresBeyond[priority]))
	}
}

// waitAt returns how long an amount takes at a rate, or 0 if the rate is 0.
func waitAt(perSecond, amount float64) time.Duration {
	if perSecond <= 0 {
		return 0
	}
	return time.Duration(amount / perSecond * float64(time.Second))
}
