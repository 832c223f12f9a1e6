package fleet

import (
	"slices"
	"strings"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/job"
	"github.com/lovagedyke/lovagedyke/internal/policy"
)

const (
	// looksEvery is the time between two looks at a host on which something runs.
	looksEvery = 1500 * time.Millisecond
	// idleLooksEvery is the same for an empty host: its clock, on which leases
	// are, must not drift far from our estimate.
	idleLooksEvery = 20 * time.Second
	// idleDrift is the most that an empty host's clock has drifted when it gets work.
	idleDrift = idleLooksEvery * 2 / 100
	// listedEnds is how many ends one report lists at most (the platform's page of calls).
	listedEnds = 500
	// unhealthyPause is how long a host that refuses or fails work gets none.
	unhealthyPause = 700 * time.Millisecond
	// troubleLimit is how many runs of different jobs fail in a row before a host counts as failing.
	troubleLimit = 3
	// troublePause is how long a failing host gets no work; it doubles up to troubleMost.
	troublePause = 2 * time.Second
	troubleMost  = 16 * time.Second
)

// host is what the leader knows of a host.
type host struct {
	row HostRow
	// listed is false once the host has left the platform's list.
	listed bool
	// listedAt is when this life of the host was first listed.
	listedAt time.Time
	// gone is true once the platform's list of machines shows that nothing can
	// run in this life of the host any more.
	gone bool
	// reached is true once this life of the host has answered under our token.
	reached bool
	born    time.Time
	clock   time.Duration
	clockAt time.Time
	// leaseUntil is the latest lease that was ever sent, on the host's clock.
	leaseUntil time.Duration
	runs       map[runKey]*run
	// seen is the number of the newest end that was read; ackable is the newest
	// that may be acknowledged, and acked the newest that was.
	seen, ackable, acked int64
	unwritten            []unwrittenEnd
	// pausedUntil is when the host gets work again.
	pausedUntil time.Time
	trouble     trouble
	lookedAt    time.Time
	// blocked is true while the host lists an end of a job that is not known yet.
	blocked bool
	// silent is true since a look got no answer: no lease is prolonged on a
	// guess, or it would never be over.
	silent bool
	// fullUntil keeps work away after the host had less room than expected.
	fullUntil time.Time
	// leaving is set while the machine is being emptied for a move or upkeep.
	leaving bool
	tail    tailState
}

// trouble counts runs that failed on a host without a success in between.
type trouble struct {
	jobs  map[job.ID]bool
	pause time.Duration
}

// unwrittenEnd is an end whose row is part of a batch that is not written yet.
type unwrittenEnd struct {
	number int64
	batch  uint64
}

// runKey names a run on a host.
type runKey struct {
	task job.Task
	run  int64
}

// runState is how much is known of a run.
type runState int

const (
	// runStarting runs were ordered, and not answered yet.
	runStarting runState = iota
	// runLive runs are on the host.
	runLive
	// runDoubtful runs were ordered and the answer was lost.
	runDoubtful
	// runStopping runs are being stopped.
	runStopping
)

// run is a run that is or may be on a host.
type run struct {
	key   runKey
	host  *host
	job   *jobState
	state runState
	// orderedAt is when the start was decided, answeredAt when the host said yes.
	orderedAt, answeredAt time.Time
	// wasDoubtful is true once a start got no answer: it may be carried out late.
	wasDoubtful bool
	// stopTakenAt is when the host answered a stop.
	stopTakenAt time.Time
	// stopAt is when the next stop is sent to a stopping run.
	stopAt time.Time
	// away is why a stop was ordered; it is for the journal.
	why   string
	share int
	saved string
	// percent is the pace that was ordered.
	percent  int
	pacedAt  time.Time
	tail     time.Duration
	reserved policy.Resources
	// atWorkAt is when the host first reported the run at work.
	atWorkAt time.Time
}

// newHost returns a host of which only its row is known.
func newHost(row HostRow, now time.Time) *host {
	return &host{row: row, listed: true, listedAt: now, born: row.Born, runs: map[runKey]*run{}}
}

// used is what the host's runs take of its capacity.
func (h *host) used() policy.Resources {
	var sum policy.Resources
	for _, r := range h.runs {
		sum = sum.Plus(r.reserved)
	}
	return sum
}

// room is what the host has left.
func (h *host) room() policy.Resources {
	return h.row.Capacity.Minus(h.used())
}

// rack returns the host's rack, by its labels: the kind stands first.
func (h *host) rack() string {
	for _, label := range h.row.Labels {
		if strings.HasPrefix(label, "r") && strings.Contains(label, "-") {
			return label
		}
	}
	return ""
}

// hasLabel reports whether the host carries a label.
func (h *host) hasLabel(label string) bool {
	return label == "" || slices.Contains(h.row.Labels, label)
}

// takesWork reports whether the host may get new runs.
func (h *host) takesWork(now time.Time) bool {
	return h.listed && h.reached && !h.gone && !h.silent && !h.row.Draining && !h.leaving &&
		!now.Before(h.pausedUntil) && !now.Before(h.fullUntil) && h.isFresh(now)
}

// isFresh reports whether the host has answered lately. One on which nothing
// runs is not looked at all the time: the platform's list tells when it is gone.
func (h *host) isFresh(now time.Time) bool {
	if len(h.runs) == 0 {
		return true
	}
	return now.Sub(h.lookedAt) < 2*looksEvery+time.Second
}

// clockNow estimates the host's clock.
func (h *host) clockNow(now time.Time) time.Duration {
	return h.clock + now.Sub(h.clockAt)
}

// nextLease returns the lease to send now, on the host's clock.
func (h *host) nextLease(now time.Time) time.Duration {
	if h.clockAt.IsZero() {
		return 0
	}
	h.leaseUntil = max(h.leaseUntil, h.clockNow(now)+leaseTime)
	return h.leaseUntil
}

// leaseOver reports whether nothing that we started can still run, even if the
// host's clock is as slow as it may be.
func (h *host) leaseOver(now time.Time) bool {
	least := h.clock + time.Duration(float64(now.Sub(h.clockAt))*(1-clockSlowness))
	return least > h.leaseUntil+leaseMargin
}

// HostListed notes a host's row in the platform's list.
func (l *Leader) HostListed(row HostRow, now time.Time) {
	known, ok := l.hosts[row.ID]
	if !ok {
		l.hosts[row.ID] = newHost(row, now)
		l.note("host listed", "host", row.ID, "pool", row.Pool, "draining", row.Draining)
		return
	}
	if !row.Born.Equal(known.born) && row.Born.After(known.born) {
		l.newLife(known, row.Born, "list", now)
	}
	if row.Draining != known.row.Draining {
		l.note("host draining", "host", row.ID, "pool", row.Pool, "draining", row.Draining, "runs", len(known.runs))
	}
	known.row = row
	if !known.listed {
		known.listed = true
		l.note("host listed again", "host", row.ID, "pool", row.Pool)
	}
}

// HostUnlisted notes that a host has left the platform's list. Its runs count
// until their lease is over.
func (l *Leader) HostUnlisted(id HostID, now time.Time) {
	h, ok := l.hosts[id]
	if !ok || !h.listed {
		return
	}
	h.listed = false
	l.note("host unlisted", "host", id, "pool", h.row.Pool, "runs", len(h.runs))
	l.forgetHost(h, now)
}

// forgetHost drops a host that is gone and on which nothing can run any more.
func (l *Leader) forgetHost(h *host, now time.Time) {
	if h.listed || len(h.runs) > 0 {
		return
	}
	if !h.reached && !h.gone && now.Before(l.inheritedUntil()) {
		return
	}
	delete(l.hosts, h.row.ID)
}

// newLife notes that a host has started again: nothing of before runs there.
func (l *Leader) newLife(h *host, born time.Time, source string, now time.Time) {
	l.note("host has a new life", "host", h.row.ID, "source", source, "lost-runs", len(h.runs))
	for _, r := range h.runs {
		l.runLost(r, "host began a new life", now)
	}
	h.born = born
	h.reached, h.gone, h.listedAt = false, false, now
	h.clock, h.clockAt, h.leaseUntil = 0, time.Time{}, 0
	h.seen, h.ackable, h.acked, h.unwritten = 0, 0, 0, nil
	h.trouble = trouble{}
}

// HostIDs lists the hosts that are known.
func (l *Leader) HostIDs() []HostID {
	ids := make([]HostID, 0, len(l.hosts))
	for id := range l.hosts {
		ids = append(ids, id)
	}
	return ids
}

// AddressOf returns where a host is, or false if it is not known.
func (l *Leader) AddressOf(id HostID) (HostAddress, bool) {
	h, ok := l.hosts[id]
	if !ok {
		return HostAddress{}, false
	}
	return HostAddress{ID: id, Address: h.row.Address}, true
}

// lookWait is how long a host may wait for an end before it answers a look.
const lookWait = 1200 * time.Millisecond

// NextLook tells whether a host should be looked at now, and with what. The
// host must not have another look under way.
func (l *Leader) NextLook(id HostID, now time.Time) (Hold, bool) {
	h, ok := l.hosts[id]
	if !ok {
		return Hold{}, false
	}
	hold := Hold{}
	if h.ackable > h.acked {
		// Sent only when it is news: a new life of the host numbers its ends anew.
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

// LookFailed notes that a host did not answer a look.
func (l *Leader) LookFailed(id HostID, reply Reply, now time.Time) {
	h, ok := l.hosts[id]
	if !ok {
		return
	}
	if reply.Outcome == OrderOtherLife {
		// The ID at this address is another one: the host that we mean is gone.
		l.newLife(h, h.born, "refusal", now)
		h.listed = false
		l.forgetHost(h, now)
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
	l.forgetHost(h, now)
}

// Looked takes a host's report. sentAt is when the look was sent: runs that
// were answered later may be missing in it.
func (l *Leader) Looked(id HostID, hold Hold, sentAt time.Time, look Look, now time.Time) {
	h, ok := l.hosts[id]
	if !ok {
		return
	}
	if look.Born.After(h.born) {
		l.newLife(h, look.Born, "report", now)
		hold.AckedUpTo = 0
	}
	if !h.reached {
		l.note("host reached", "host", id, "pool", h.row.Pool, "running", len(look.Running), "ended", len(look.Ended))
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
			l.runLost(r, "host no longer lists it", now)
		}
	case runDoubtful:
		// The start may still be carried out: a stop that is answered prevents it.
		if r.answeredAt.Before(sentAt) {
			l.stopRun(r, "start was not answered", now)
		}
	case runStopping:
		isSure := !r.wasDoubtful && !r.answeredAt.IsZero() && r.answeredAt.Before(sentAt)
		if isSure || !r.stopTakenAt.IsZero() && r.stopTakenAt.Before(sentAt) {
			l.runLost(r, "host no longer lists it", now)
		}
	}
}

// advanceAcks moves ackable over the ends whose rows are written.
func (h *host) advanceAcks(written uint64) {
	for len(h.unwritten) > 0 && h.unwritten[0].batch <= written {
		h.ackable = h.unwritten[0].number
		h.unwritten = h.unwritten[1:]
	}
}

// reported takes a run that a host lists.
func (l *Leader) reported(h *host, key runKey, running RunningTask, now time.Time) {
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
func (l *Leader) adopt(h *host, key runKey, now time.Time) *run {
	if !l.loaded {
		return nil
	}
	r := &run{key: key, host: h, state: runLive, orderedAt: now, answeredAt: now, percent: 100}
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
	l.note("run adopted", "job", key.task.Job, "step", key.task.Step, "index", key.task.Index, "run", key.run, "host", h.row.ID)
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
