package fleet_test

import (
	"fmt"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/fleet"
	"github.com/lovagedyke/lovagedyke/internal/job"
)

// entryDelay is how long after its start an endpoint's entry shows its new life.
const entryDelay = 200 * time.Millisecond

// longAgo is when the endpoints of a world started that have not restarted.
var longAgo = time.UnixMilli(1000)

// lateOrder is an order that an endpoint leaves unanswered and carries out at a time.
type lateOrder struct {
	at       time.Time
	execute  func()
	endpoint fleet.EndpointID
}

// worldEnd identifies the end of a run.
type worldEnd struct {
	endpoint *storeWorldEndpoint
	born     time.Time
	number   int64
}

// restartDark lets an endpoint crash and start again under its ID after a time. What is sent to it
// meanwhile is carried out by its next life.
func (w *storeWorld) restartDark(id fleet.EndpointID, down time.Duration) {
	e := w.endpoints[id]
	e.darkUntil = w.now.Add(down)
	e.running, e.ran, e.ended, e.count = map[job.Task]storeWorldRun{}, map[job.Task]int64{}, nil, 0
	e.token, e.leaseUntil = 0, time.Time{}
}

// isDark reports whether an endpoint is down.
func (e *storeWorldEndpoint) isDark() bool {
	return !e.darkUntil.IsZero()
}

// holds keeps an order for the next life of an endpoint that is down.
func (e *storeWorldEndpoint) holds(order func()) bool {
	if !e.isDark() || e.isCut {
		return false
	}
	e.waiting = append(e.waiting, order)
	return true
}

// restartDue starts the next lives of endpoints whose time is over, and shows them in the list.
func (w *storeWorld) restartDue() {
	for _, id := range w.ids() {
		e := w.endpoints[id]
		if e.isDark() && !w.now.Before(e.darkUntil) {
			e.darkUntil, e.born, e.startedAt = time.Time{}, w.now, w.now.Round(0)
			e.listAt = w.now.Add(entryDelay)
			waiting := e.waiting
			e.waiting = nil
			for _, order := range waiting {
				order()
			}
		}
		w.listDue(id)
	}
}

// listDue shows in the list what has changed of an endpoint.
func (w *storeWorld) listDue(id fleet.EndpointID) {
	e := w.endpoints[id]
	switch {
	case e.isSilent && !e.isExpired && w.now.Sub(e.silentSince) > worldEntryLifetime:
		e.isExpired = true
		if w.leader != nil {
			w.leader.RemoveEndpoint(id, w.now)
		}
	case !e.isSilent && !e.isDark() && (e.isExpired || !e.listAt.IsZero() && !w.now.Before(e.listAt)):
		e.isExpired, e.listAt, e.listedAs = false, time.Time{}, e.startedAt
		if w.leader != nil {
			w.leader.UpdateEndpoint(w.rowOf(id), w.now)
		}
	}
}

// rowOf returns an endpoint's entry in the list.
func (w *storeWorld) rowOf(id fleet.EndpointID) fleet.EndpointRow {
	row := endpointRow(id)
	row.Capacity, row.StartedAt = w.config.capacity, w.endpoints[id].listedAs
	return row
}

// cutOff cuts an endpoint off from all leaders, and from the store as well if it is to lose its entry.
func (w *storeWorld) cutOff(id fleet.EndpointID, fromStore bool) {
	e := w.endpoints[id]
	e.isCut = true
	if fromStore && !e.isSilent {
		e.isSilent, e.silentSince = true, w.now
	}
}

// reconnect ends an endpoint's cut.
func (w *storeWorld) reconnect(id fleet.EndpointID) {
	w.endpoints[id].isCut, w.endpoints[id].isSilent = false, false
}

// killLeader ends the leader's process: nothing acts until the next one takes over.
func (w *storeWorld) killLeader() {
	w.leader, w.former = nil, nil
	for _, e := range w.endpoints {
		e.isRenewed = false
	}
}

// delays keeps an order to be carried out late, without an answer, if it is drawn.
func (w *storeWorld) delays(id fleet.EndpointID, order func()) bool {
	if w.isLate == nil {
		return false
	}
	delay, ok := w.isLate()
	if ok {
		w.late = append(w.late, lateOrder{w.now.Add(delay), order, id})
	}
	return ok
}

// carryOutLate carries out the late orders that are due, on whichever life there is.
func (w *storeWorld) carryOutLate() {
	var waiting []lateOrder
	due := w.late
	w.late = nil
	for _, order := range due {
		if w.now.Before(order.at) {
			waiting = append(waiting, order)
			continue
		}
		order.execute()
	}
	w.late = append(waiting, w.late...)
}

// noteAcked records that an end is acknowledged: its task must not start any more, unless the endpoint
// has held no lease since the end.
func (w *storeWorld) noteAcked(e *storeWorldEndpoint, end fleet.Completion) {
	if end.Kind != fleet.CompletionDone || w.mayRunAgain(end.Task) || e.lapsedAt.After(e.endedAt[end.Number]) {
		return
	}
	w.acked[end.Task] = true
	if w.restarted[worldEnd{e, e.born, end.Number}] {
		w.repeat("task %v was started again after an end that is acknowledged", end.Task)
	}
}

// checkEnds checks that a task that starts is not done.
func (w *storeWorld) checkEnds(task job.Task) {
	if w.mayRunAgain(task) {
		return
	}
	if w.acked[task] {
		w.repeat("task %v is started after its end was acknowledged", task)
	}
	for _, e := range w.endpoints {
		for _, end := range e.ended {
			if end.Task == task && end.Kind == fleet.CompletionDone {
				w.restarted[worldEnd{e, e.born, end.Number}] = true
			}
		}
	}
}

// repeat notes a start of a task that is done.
func (w *storeWorld) repeat(format string, args ...any) {
	w.repeats = append(w.repeats, w.now.Sub(w.started).String()+": "+fmt.Sprintf(format, args...))
}

// mayRunAgain reports whether a task may start after a successful end.
func (w *storeWorld) mayRunAgain(task job.Task) bool {
	step := w.jobs[task.Job].Submission.Steps[task.Step]
	return step.Persistent || step.Speculative || step.Gang
}
