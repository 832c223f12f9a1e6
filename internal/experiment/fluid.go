package experiment

import "time"

// loadWindow is the time over which a queue's load is averaged.
const loadWindow = time.Second

// timedWork is an amount of work, in host-seconds, at a point in time.
type timedWork struct {
	at   time.Time
	work float64
}

// fluidQueue is a first-in, first-out queue of divisible work.
type fluidQueue struct {
	waiting  []timedWork
	arrivals []timedWork
	backlogs []timedWork
	backlog  float64
}

func (q *fluidQueue) enqueue(at time.Time, work float64) {
	q.waiting = append(q.waiting, timedWork{at, work})
	q.backlog += work
	q.arrivals = append(trimOld(q.arrivals, at), timedWork{at, work})
}

// serve performs as much work as the capacity, in host-seconds, allows. It returns
// the work performed, and how much of it waited longer than poolMaxStartDelay.
func (q *fluidQueue) serve(now time.Time, capacity float64) (served, late float64) {
	for len(q.waiting) > 0 && served < capacity {
		first := &q.waiting[0]
		work := min(first.work, capacity-served)
		served += work
		if now.Sub(first.at) > poolMaxStartDelay {
			late += work
		}
		first.work -= work
		if first.work <= 0 {
			q.waiting = q.waiting[1:]
		}
	}
	q.backlog = max(0, q.backlog-served)
	q.backlogs = append(trimOld(q.backlogs, now), timedWork{now, q.backlog})
	return served, late
}

// overdueWork returns the waiting work that is already late.
func (q *fluidQueue) overdueWork(now time.Time) float64 {
	sum := 0.0
	for _, p := range q.waiting {
		if now.Sub(p.at) > poolMaxStartDelay {
			sum += p.work
		}
	}
	return sum
}

// observation returns the load, in hosts, and the backlog as of a past time. The
// backlog is what remained after the serve call of that tick.
func (q *fluidQueue) observation(at time.Time) (load float64, backlog time.Duration) {
	for _, p := range q.arrivals {
		if age := at.Sub(p.at); age >= 0 && age < loadWindow {
			load += p.work
		}
	}
	for _, p := range q.backlogs {
		if !p.at.After(at) {
			backlog = time.Duration(p.work * float64(time.Second))
		}
	}
	return load / loadWindow.Seconds(), backlog
}

// trimOld drops the items that are too old for any later observation.
func trimOld(items []timedWork, now time.Time) []timedWork {
	for len(items) > 0 && now.Sub(items[0].at) > observationLag+loadWindow {
		items = items[1:]
	}
	return items
}
