package fleet

import (
	"slices"
	"strings"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/job"
	"github.com/lovagedyke/lovagedyke/internal/policy"
)

const (
	// looksEvery is the time between two looks at an endpoint on which something runs.
	looksEvery = 1500 * time.Millisecond
	// idleLooksEvery is the same for an empty endpoint: its clock, on which leases
	// are, must not drift far from our estimate.
	idleLooksEvery = 20 * time.Second
	// idleDrift is the most that an empty endpoint's clock has drifted when it gets work.
	idleDrift = idleLooksEvery * 2 / 100
	// listedEnds is how many ends one report lists at most (the platform's page of calls).
	listedEnds = 500
	// unhealthyPause is how long an endpoint that refuses or fails work gets none.
	unhealthyPause = 700 * time.Millisecond
	// troubleLimit is how many runs of different jobs fail in a row before an endpoint counts as failing.
	troubleLimit = 3
	// troublePause is how long a failing endpoint gets no work; it doubles up to troubleMost.
	troublePause = 2 * time.Second
	troubleMost  = 16 * time.Second
)

// endpoint is what the leader knows of an endpoint.
type endpoint struct {
	row EndpointRow
	// listed is false once the endpoint has left the platform's list.
	listed bool
	// listedAt is when this life of the endpoint was first listed.
	listedAt time.Time
	// gone is true once the platform's list of hosts shows that nothing can
	// run in this life of the endpoint any more.
	gone bool
	// reached is true once this life of the endpoint has answered under our token.
	reached bool
	born    time.Time
	clock   time.Duration
	clockAt time.Time
	// leaseUntil is the latest lease that was ever sent, on the endpoint's clock.
	leaseUntil time.Duration
	runs       map[runKey]*run
	// seen is the number of the newest end that was read; ackable is the newest
	// that may be acknowledged, and acked the newest that was.
	seen, ackable, acked int64
	unwritten            []unwrittenEnd
	// pausedUntil is when the endpoint gets work again.
	pausedUntil time.Time
	trouble     trouble
	lookedAt    time.Time
	// blocked is true while the endpoint lists an end of a job that is not known yet.
	blocked bool
	// silent is true since a look got no answer: no lease is prolonged on a
	// guess, or it would never be over.
	silent bool
	// fullUntil keeps work away after the endpoint had less room than expected.
	fullUntil time.Time
	// leaving is set while the host is being emptied for a move or upkeep.
	leaving bool
	tail    tailState
}

// trouble counts runs that failed on an endpoint without a success in between.
type trouble struct {
	jobs  map[job.ID]bool
	pause time.Duration
}

// unwrittenEnd is an end whose row is part of a batch that is not written yet.
type unwrittenEnd struct {
	number int64
	batch  uint64
}

// runKey names a run on an endpoint.
type runKey struct {
	task job.Task
	run  int64
}

// runState is how much is known of a run.
type runState int

const (
	// runStarting runs were ordered, and not answered yet.
	runStarting runState = iota
	// runLive runs are on the endpoint.
	runLive
	// runDoubtful runs were ordered and the answer was lost.
	runDoubtful
	// runStopping runs are being stopped.
	runStopping
)

// run is a run that is or may be on an endpoint.
type run struct {
	key      runKey
	endpoint *endpoint
	job      *jobState
	state    runState
	// orderedAt is when the start was decided, answeredAt when the endpoint said yes.
	orderedAt, answeredAt time.Time
	// wasDoubtful is true once a start got no answer: it may be carried out late.
	wasDoubtful bool
	// stopTakenAt is when the endpoint answered a stop.
	stopTakenAt time.Time
	// stopAt is when the next stop is sent to a stopping run.
	stopAt time.Time
	// away is why a stop was ordered; it is for the journal.
	why   string
	share int
	saved string
	// percent is the pace that was ordered.
	percent  int
	tail     time.Duration
	reserved policy.Resources
	// atWorkAt is when the endpoint first reported the run at work.
	atWorkAt time.Time
}

// newEndpoint returns an endpoint of which only its row is known.
func newEndpoint(row EndpointRow, now time.Time) *endpoint {
	return &endpoint{row: row, listed: true, listedAt: now, born: row.Born, runs: map[runKey]*run{}}
}

// used is what the endpoint's runs take of its capacity.
func (h *endpoint) used() policy.Resources {
	var sum policy.Resources
	for _, r := range h.runs {
		sum = sum.Plus(r.reserved)
	}
	return sum
}

// room is what the endpoint has left.
func (h *endpoint) room() policy.Resources {
	return h.row.Capacity.Minus(h.used())
}

// rack returns the endpoint's rack, by its labels: the kind stands first.
func (h *endpoint) rack() string {
	for _, label := range h.row.Labels {
		if strings.HasPrefix(label, "r") && strings.Contains(label, "-") {
			return label
		}
	}
	return ""
}

// hasLabel reports whether the endpoint carries a label.
func (h *endpoint) hasLabel(label string) bool {
	return label == "" || slices.Contains(h.row.Labels, label)
}

// takesWork reports whether the endpoint may get new runs.
func (h *endpoint) takesWork(now time.Time) bool {
	return h.listed && h.reached && !h.gone && !h.silent && !h.row.Draining && !h.leaving &&
		!now.Before(h.pausedUntil) && !now.Before(h.fullUntil) && h.isFresh(now)
}

// isFresh reports whether the endpoint has answered lately. One on which nothing
// runs is not looked at all the time: the platform's list tells when it is gone.
func (h *endpoint) isFresh(now time.Time) bool {
	if len(h.runs) == 0 {
		return true
	}
	return now.Sub(h.lookedAt) < 2*looksEvery+time.Second
}

// clockNow estimates the endpoint's clock.
func (h *endpoint) clockNow(now time.Time) time.Duration {
	return h.clock + now.Sub(h.clockAt)
}

// nextLease returns the lease to send now, on the endpoint's clock.
func (h *endpoint) nextLease(now time.Time) time.Duration {
	if h.clockAt.IsZero() {
		return 0
	}
	h.leaseUntil = max(h.leaseUntil, h.clockNow(now)+leaseTime)
	return h.leaseUntil
}

// leaseOver reports whether nothing that we started can still run, even if the
// endpoint's clock is as slow as it may be.
func (h *endpoint) leaseOver(now time.Time) bool {
	least := h.clock + time.Duration(float64(now.Sub(h.clockAt))*(1-clockSlowness))
	return least > h.leaseUntil+leaseMargin
}

// EndpointListed notes an endpoint's row in the platform's list.
func (l *Leader) EndpointListed(row EndpointRow, now time.Time) {
	known, ok := l.endpoints[row.ID]
	if !ok {
		l.endpoints[row.ID] = newEndpoint(row, now)
		l.note("endpoint listed", "endpoint", row.ID, "pool", row.Pool, "draining", row.Draining)
		return
	}
	if !row.Born.Equal(known.born) && row.Born.After(known.born) {
		l.newLife(known, row.Born, "list", now)
	}
	if row.Draining != known.row.Draining {
		l.note("endpoint draining", "endpoint", row.ID, "pool", row.Pool, "draining", row.Draining, "runs", len(known.runs))
	}
	known.row = row
	if !known.listed {
		known.listed = true
		l.note("endpoint listed again", "endpoint", row.ID, "pool", row.Pool)
	}
}

// EndpointUnlisted notes that an endpoint has left the platform's list. Its runs count
// until their lease is over.
func (l *Leader) EndpointUnlisted(id EndpointID, now time.Time) {
	h, ok := l.endpoints[id]
	if !ok || !h.listed {
		return
	}
	h.listed = false
	l.note("endpoint unlisted", "endpoint", id, "pool", h.row.Pool, "runs", len(h.runs))
	l.forgetEndpoint(h, now)
}

// forgetEndpoint drops an endpoint that is gone and on which nothing can run any more.
func (l *Leader) forgetEndpoint(h *endpoint, now time.Time) {
	if h.listed || len(h.runs) > 0 {
		return
	}
	if !h.reached && !h.gone && now.Before(l.inheritedUntil()) {
		return
	}
	delete(l.endpoints, h.row.ID)
}

// newLife notes that an endpoint has started again: nothing of before runs there.
func (l *Leader) newLife(h *endpoint, born time.Time, source string, now time.Time) {
	l.note("endpoint has a new life", "endpoint", h.row.ID, "source", source, "lost-runs", len(h.runs))
	for _, r := range h.runs {
		l.runLost(r, "endpoint began a new life", now)
	}
	h.born = born
	h.reached, h.gone, h.listedAt = false, false, now
	h.clock, h.clockAt, h.leaseUntil = 0, time.Time{}, 0
	h.seen, h.ackable, h.acked, h.unwritten = 0, 0, 0, nil
	h.trouble = trouble{}
}

// EndpointIDs lists the endpoints that are known.
func (l *Leader) EndpointIDs() []EndpointID {
	ids := make([]EndpointID, 0, len(l.endpoints))
	for id := range l.endpoints {
		ids = append(ids, id)
	}
	return ids
}

// AddressOf returns where an endpoint is, or false if it is not known.
func (l *Leader) AddressOf(id EndpointID) (EndpointAddress, bool) {
	h, ok := l.endpoints[id]
	if !ok {
		return EndpointAddress{}, false
	}
	return EndpointAddress{ID: id, Address: h.row.Address}, true
}

// lookWait is how long an endpoint may wait for an end before it answers a look.
const lookWait = 1200 * time.Millisecond

// NextLook tells whether an endpoint should be looked at now, and with what. The
// endpoint must not have another look under way.
func (l *Leader) NextLook(id EndpointID, now time.Time) (Hold, bool) {
	h, ok := l.endpoints[id]
	if !ok {
		return Hold{}, false
	}
	hold := Hold{}
	if h.ackable > h.acked {
		// Sent only when it is news: a new life of the endpoint numbers its ends anew.
		hold.AckedUpTo = h.ackable
	}
	switch {
	case h.gone:
		return hold, false
	case !h.reached:
		return hold, true
	case h.blocked && now.Sub(h.lookedAt) < unknownPause:
		return hold, false
	case len(h.unwritten) > 0 && now.Sub(h.lookedAt) < looksEvery:
		// Ends that cannot be acknowledged yet would be listed again at once.
		return hold, false
	case len(h.runs) == 0 && h.ackable == h.acked && !h.blocked:
		return hold, h.silent || now.Sub(h.lookedAt) > idleLooksEvery
	}
	if !h.silent && l.confirmed(now) {
		hold.Lease = h.nextLease(now)
	}
	if len(h.runs) > 0 && len(h.unwritten) == 0 && !h.blocked {
		hold.Wait = lookWait
	}
	return hold, true
}

// LookFailed notes that an endpoint did not answer a look.
func (l *Leader) LookFailed(id EndpointID, reply Reply, now time.Time) {
	h, ok := l.endpoints[id]
	if !ok {
		return
	}
	if reply.Outcome == OrderOtherLife {
		// The ID at this address is another one: the endpoint that we mean is gone.
		l.newLife(h, h.born, "refusal", now)
		h.listed = false
		l.forgetEndpoint(h, now)
		return
	}
	h.pausedUntil = now.Add(unhealthyPause)
	h.silent = true
	if h.clockAt.IsZero() || !h.leaseOver(now) {
		return
	}
	for _, r := range h.runs {
		l.runLost(r, "lease is over", now)
	}
	l.forgetEndpoint(h, now)
}

// Looked takes an endpoint's report. sentAt is when the look was sent: runs that
// were answered later may be missing in it.
func (l *Leader) Looked(id EndpointID, hold Hold, sentAt time.Time, look Look, now time.Time) {
	h, ok := l.endpoints[id]
	if !ok {
		return
	}
	if look.Born.After(h.born) {
		l.newLife(h, look.Born, "report", now)
		hold.AckedUpTo = 0
	}
	if !h.reached {
		l.note("endpoint reached", "endpoint", id, "pool", h.row.Pool, "running", len(look.Running), "ended", len(look.Ended))
	}
	h.reached, h.silent, h.gone = true, false, false
	h.clock, h.clockAt = look.Clock, now
	h.lookedAt = now
	h.acked = max(h.acked, hold.AckedUpTo)
	// Ends go first, so that a run that has ended is not taken for a lost one.
	h.blocked = false
	for _, ended := range look.Ended {
		if !l.ended(h, ended, now) {
			// It is listed again, and all after it, until it can be applied.
			h.blocked = true
			break
		}
	}
	h.advanceAcks(l.ledger.written)
	present := make(map[runKey]bool, len(look.Running))
	for _, running := range look.Running {
		key := runKey{running.Task, running.Run}
		present[key] = true
		l.reported(h, key, running, now)
	}
	if len(look.Ended) >= listedEnds || h.blocked {
		return
	}
	for key, r := range h.runs {
		if !present[key] {
			l.missing(r, sentAt, now)
		}
	}
}

// missing takes that a report, for which the look was sent at sentAt, does not
// list a run.
func (l *Leader) missing(r *run, sentAt, now time.Time) {
	switch r.state {
	case runLive:
		if r.answeredAt.Before(sentAt) {
			l.runLost(r, "endpoint no longer lists it", now)
		}
	case runDoubtful:
		// The start may still be carried out: a stop that is answered prevents it.
		if r.answeredAt.Before(sentAt) {
			l.stopRun(r, "start was not answered", now)
		}
	case runStopping:
		isSure := !r.wasDoubtful && !r.answeredAt.IsZero() && r.answeredAt.Before(sentAt)
		if isSure || !r.stopTakenAt.IsZero() && r.stopTakenAt.Before(sentAt) {
			l.runLost(r, "endpoint no longer lists it", now)
		}
	}
}

// advanceAcks moves ackable over the ends whose rows are written.
func (h *endpoint) advanceAcks(written uint64) {
	for len(h.unwritten) > 0 && h.unwritten[0].batch <= written {
		h.ackable = h.unwritten[0].number
		h.unwritten = h.unwritten[1:]
	}
}

// reported takes a run that an endpoint lists.
func (l *Leader) reported(h *endpoint, key runKey, running RunningTask, now time.Time) {
	r, ok := h.runs[key]
	if !ok {
		r = l.adopt(h, key, now)
	}
	if r == nil {
		return
	}
	if r.state == runStarting || r.state == runDoubtful {
		r.state = runLive
		r.answeredAt = now
	}
	if running.Saved != "" {
		r.saved = running.Saved
	}
	r.share = running.Share
	r.tail = running.Tail
	if r.atWorkAt.IsZero() && running.Share >= 100 {
		r.atWorkAt = now
	}
}

// adopt takes over a run that an earlier leader started, or whose order was
// carried out late. Runs that should not be there are stopped.
func (l *Leader) adopt(h *endpoint, key runKey, now time.Time) *run {
	if !l.loaded {
		return nil
	}
	r := &run{key: key, endpoint: h, state: runLive, orderedAt: now, answeredAt: now, percent: 100}
	j := l.jobs[key.task.Job]
	if j == nil && !l.isAbsent(key.task.Job) {
		// Its row may be on the way to us. What the run takes is not known until then.
		l.fetch(key.task.Job)
		h.fullUntil = now.Add(unknownPause)
		return nil
	}
	if j == nil {
		h.runs[key] = r
		l.stopRun(r, "no such job", now)
		return r
	}
	step, ok := j.stepOf(key.task)
	if !ok {
		return nil
	}
	r.job = j
	r.reserved = step.Reserved()
	h.runs[key] = r
	duplicate := len(j.active[key.task]) > 0
	l.claim(r)
	j.begun = true
	j.noteRun(key)
	l.note("run adopted", "job", key.task.Job, "step", key.task.Step, "index", key.task.Index, "run", key.run, "endpoint", h.row.ID)
	switch {
	case j.over():
		l.stopRun(r, "job is over", now)
	case j.progress.IsDone(key.task):
		l.stopRun(r, "task is done", now)
	case duplicate && !step.Speculative:
		l.stopRun(r, "task runs elsewhere", now)
	default:
		j.dropPending(key.task)
	}
	return r
}
