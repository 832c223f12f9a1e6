package experiment

import "time"

// observedWindow is the time over which a queue's load is averaged.
const observedWindow = time.Second

// parcel is work that arrived in one tick, in host-seconds.
type parcel struct {
	at   time.Time
	work float64
}

// fluidQueue is a queue of divisible work, first come first served.
type fluidQueue struct {
	waiting  []parcel
	arrivals []parcel
	backlogs []parcel
	backlog  float64
}

func (q *fluidQueue) arrive(at time.Time, work float64) {
	q.waiting = append(q.waiting, parcel{at, work})
	q.backlog += work
	q.arrivals = append(recent(q.arrivals, at), parcel{at, work})
}

// serve uses the capacity of a tick, in host-seconds, and returns what of it
// was used and how much of that work was late.
func (q *fluidQueue) serve(now time.Time, capacity float64) (served, late float64) {
	for len(q.waiting) > 0 && served < capacity {
		first := &q.waiting[0]
		work := min(first.work, capacity-served)
		served += work
		if now.Sub(first.at) > poolPatience {
			late += work
		}
		first.work -= work
		if first.work <= 0 {
			q.waiting = q.waiting[1:]
		}
	}
	q.backlog = max(0, q.backlog-served)
	q.backlogs = append(recent(q.backlogs, now), parcel{now, q.backlog})
	return served, late
}

// overdue is the waiting work that can only be late.
func (q *fluidQueue) overdue(now time.Time) float64 {
	sum := 0.0
	for _, p := range q.waiting {
		if now.Sub(p.at) > poolPatience {
			sum += p.work
		}
	}
	return sum
}

// observed is the load in hosts and the backlog as they were at a time. Work
// that the next tick will serve is no backlog.
func (q *fluidQueue) observed(at time.Time) (load float64, backlog time.Duration) {
	for _, p := range q.arrivals {
		if age := at.Sub(p.at); age >= 0 && age < observedWindow {
			load += p.work
		}
	}
	for _, p := range q.backlogs {
		if !p.at.After(at) {
			backlog = time.Duration(p.work * float64(time.Second))
		}
	}
	return load / observedWindow.Seconds(), backlog
}

// recent drops the parcels that no observation needs any more.
func recent(parcels []parcel, now time.Time) []parcel {
	for len(parcels) > 0 && now.Sub(parcels[0].at) > observationLag+observedWindow {
		parcels = parcels[1:]
	}
	return parcels
}
