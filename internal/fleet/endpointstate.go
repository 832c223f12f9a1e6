package fleet

import (
	"slices"
	"strings"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/job"
	"github.com/lovagedyke/lovagedyke/internal/policy"
	"github.com/lovagedyke/lovagedyke/internal/runtimes"
)

const (
	// renewalInterval is the time between two lease renewals of an endpoint with runs.
	renewalInterval = 1500 * time.Millisecond
	// idleRenewalInterval is the same for an idle endpoint. Its clock, on which leases
	// are based, must not drift far from the leader's estimate.
	idleRenewalInterval = 20 * time.Second
	// maxIdleClockDrift is the maximum drift of an idle endpoint's clock until it gets work.
	maxIdleClockDrift = idleRenewalInterval * 2 / 100
	// maxReportedCompletions is the platform's limit of completions in one report.
	maxReportedCompletions = 500
	// unhealthyPause is how long an endpoint gets no work after it rejected or failed an order.
	unhealthyPause = 700 * time.Millisecond
	// failureStreakLimit is how many different jobs must fail in a row for the endpoint
	// to be suspected.
	failureStreakLimit = 3
	// suspectPause is how long a suspected endpoint gets no work; it doubles up to
	// maxSuspectPause.
	suspectPause    = 2 * time.Second
	maxSuspectPause = 16 * time.Second
)

// endpoint is the leader's state of an endpoint.
type endpoint struct {
	row EndpointRow
	// listed is false once the endpoint has left the platform's list.
	listed bool
	// listedAt is when this incarnation was first listed.
	listedAt time.Time
	// presumed is evidence that this incarnation has ended, which it has not contradicted yet,
	// or nil.
	presumed *presumedEnd
	// gone is true once this incarnation can no longer run anything: its host was changed, or
	// it was presumed ended and has not answered since. goneAt is when that was last learnt.
	gone   bool
	goneAt time.Time
	// lastHost is the host that last named the endpoint in the host list, or "".
	lastHost HostID
	// missingSince is when the first of the host lists in a row was requested that lack the
	// endpoint although its host does not show that it has ended, or zero.
	missingSince time.Time
	// reached is true once this incarnation has answered under the leader's token.
	reached bool
	// isAwaited is true while the journal says that inherited tasks wait for the endpoint.
	isAwaited bool
	// startedAt identifies the incarnation of the last report, or that of the list before
	// the first report.
	startedAt time.Time
	// restartedAt is when this leader learnt that the endpoint has restarted under its ID, or
	// zero.
	restartedAt time.Time
	// stopUnansweredAt is when a stop last got no answer, or zero.
	stopUnansweredAt time.Time
	// mayHaveRestarted is true from a sign of a new incarnation, at suspectedAt, until a report
	// that was requested later, or that is of another incarnation.
	mayHaveRestarted bool
	suspectedAt      time.Time
	clock            time.Duration
	clockAt          time.Time
	// leaseUntil is the latest lease that was sent, on the endpoint's clock.
	leaseUntil time.Duration
	// foreignLeaseUntil is the latest lease that orders meant for an earlier incarnation may
	// have set, on the endpoint's clock, or 0.
	foreignLeaseUntil time.Duration
	// unreportedSince is since when the endpoint may have restarted and have runs that it has not
	// reported, or zero.
	unreportedSince time.Time
	// isSuccessor is true if this leader has known an earlier incarnation.
	isSuccessor bool
	// sendsLease is true if the newest renewal carries a lease, until that is answered, and lateLeaseUntil
	// until when an order with a lease that got no answer may be carried out.
	sendsLease     bool
	lateLeaseUntil time.Time
	// endedUnanswered holds runs whose end was reported before their start was answered.
	endedUnanswered map[runKey]bool
	runs            map[runKey]*run
	tally           runTally
	// unsentStarts counts the starts that are decided and not sent, and startTime is how long starts
	// take to be answered.
	unsentStarts int
	startTime    recentTime
	// lastRead is the number of the newest completion that was read, ackable the newest
	// that may be acknowledged, and acked the newest that has been.
	lastRead, ackable, acked int64
	unpersisted              []unpersistedCompletion
	// sentAck is what the newest renewal acknowledges, or 0 once that is answered, lateAckUntil
	// until when an acknowledgement without an answer may be carried out, and noWorkUntil the
	// same if that is on a later incarnation.
	sentAck                   int64
	lateAckUntil, noWorkUntil time.Time
	// pausedUntil is when the endpoint may get work again.
	pausedUntil   time.Time
	failureStreak failureStreak
	reportedAt    time.Time
	// askedAt is when the renewal was sent that the last report answers.
	askedAt time.Time
	// blocked is true while the endpoint reports a run or a completion of a job that is
	// not known yet.
	blocked bool
	// unresponsive is true after a failed lease renewal. The lease is not extended from
	// the estimated clock then, or it would never expire.
	unresponsive bool
	// hungUpAt is when the endpoint hung up on a renewal, and refusedAt when after that, or
	// before it had answered this leader, nothing listened at its address. They are zero if it
	// has answered since.
	hungUpAt, refusedAt time.Time
	// fullUntil is when the endpoint may get work again after a start exceeded its capacity,
	// and roomPause how long it got none the last time.
	fullUntil time.Time
	roomPause time.Duration
	// coldSince is when the endpoint became cold otherwise than by a change of its host, or zero,
	// and isReturning true while it is cold after the return of its data centre.
	coldSince   time.Time
	isReturning bool
	// leaving is true while the host is drained for a move or maintenance.
	leaving  bool
	throttle throttleState
	// slowness compares the durations of this incarnation's runs with those of its peers.
	slowness runtimes.Slowness
	// workedAt is when the endpoint last reported that a run works, endedAt when it last
	// reported a task as done.
	workedAt, endedAt time.Time
	// overdueSinceEnd counts the runs that were replaced as overdue since endedAt.
	overdueSinceEnd int
	// reportsWork is true once the endpoint has reported a run's CPU usage.
	reportsWork bool
}

// failureStreak tracks consecutive failures on an endpoint.
type failureStreak struct {
	jobs  map[job.ID]bool
	pause time.Duration
}

// unpersistedCompletion is a completion that is not stored yet.
type unpersistedCompletion struct {
	number int64
	// change is the change of the job's progress that records it, or 0 if there is nothing to record.
	change uint64
	// job is nil if the job does not exist.
	job *jobState
}

// newEndpoint returns the state of a newly listed endpoint.
func newEndpoint(row EndpointRow, now time.Time) *endpoint {
	return &endpoint{row: row, listed: true, listedAt: now, startedAt: row.StartedAt, runs: map[runKey]*run{}}
}

// isEmpty reports whether the endpoint has no runs and no unacknowledged completions.
// A later leader could not read such completions anywhere else.
func (e *endpoint) isEmpty() bool {
	return len(e.runs) == 0 && len(e.unpersisted) == 0 && e.ackable == e.acked
}

// hostID returns the host that runs the endpoint, or "" if it is not known.
func (e *endpoint) hostID() HostID {
	if e.row.Host != "" {
		return HostID(e.row.Host)
	}
	return e.lastHost
}

// isMissing reports whether the host list lacks the endpoint, which has not reported since.
func (e *endpoint) isMissing() bool {
	return !e.missingSince.IsZero() && !e.reportedAt.After(e.missingSince)
}

// noteFailure notes how a renewal failed.
func (e *endpoint) noteFailure(reply Reply, now time.Time) {
	switch {
	case reply.Outcome == OrderHungUp:
		e.hungUpAt = now
	case reply.Outcome == OrderRefused && (!e.hungUpAt.IsZero() || e.reportedAt.IsZero()):
		e.refusedAt = now
	}
}

// hasExited reports whether calls look as if the endpoint's process had exited: it hung up, and
// nothing listens at its address any more. A link that resets connections does not hang up; to
// a leader that has not reached the endpoint yet it looks the same.
func (e *endpoint) hasExited() bool {
	return !e.refusedAt.IsZero()
}

// hasLiveRun reports whether the endpoint has confirmed a run that is not being stopped.
func (e *endpoint) hasLiveRun() bool {
	for _, r := range e.runs {
		if r.state == runLive {
			return true
		}
	}
	return false
}

// occupiesHost reports whether a change of the host could end a run of the endpoint, or lose
// a completion that it can still report.
func (e *endpoint) occupiesHost() bool {
	return len(e.runs) > 0 || e.blocked || !e.gone && e.reached && !e.unresponsive && !e.isEmpty()
}

// available returns the endpoint's free capacity.
func (e *endpoint) available() policy.Resources {
	return e.row.Capacity.Minus(e.tally.reserved)
}

// rack returns the endpoint's rack, the first label of the form r...-...; the kind precedes it.
func (e *endpoint) rack() string {
	for _, label := range e.row.Labels {
		if strings.HasPrefix(label, "r") && strings.Contains(label, "-") {
			return label
		}
	}
	return ""
}

// hasLabel reports whether the endpoint carries a label.
func (e *endpoint) hasLabel(label string) bool {
	return label == "" || slices.Contains(e.row.Labels, label)
}

// acceptsWork reports whether the endpoint itself may get new runs.
func (e *endpoint) acceptsWork(now time.Time) bool {
	return e.listed && e.isKnown() && !e.gone && e.presumed == nil && !e.unresponsive && !e.row.Draining && !e.leaving &&
		!now.Before(e.pausedUntil) && !now.Before(e.noWorkUntil) && !now.Before(e.fullUntil) && e.isFresh(now)
}

// isFresh reports whether the endpoint has reported recently. An idle endpoint is
// rarely renewed: the platform's list shows when it is gone.
func (e *endpoint) isFresh(now time.Time) bool {
	if len(e.runs) == 0 {
		return true
	}
	return now.Sub(e.reportedAt) < 2*renewalInterval+time.Second
}

// clockNow estimates the endpoint's clock.
func (e *endpoint) clockNow(now time.Time) time.Duration {
	return e.clock + now.Sub(e.clockAt)
}

// UpdateEndpoint processes an endpoint's row in the platform's list.
func (l *Leader) UpdateEndpoint(row EndpointRow, now time.Time) {
	known, ok := l.endpoints[row.ID]
	if !ok {
		listed := newEndpoint(row, now)
		l.recallOrders(listed)
		l.addEndpoint(listed)
		l.log("endpoint listed", "endpoint", row.ID, "pool", row.Pool, "draining", row.Draining)
		l.noteWarmUp(listed, nil, now)
		return
	}
	if !row.StartedAt.Equal(known.row.StartedAt) && !row.StartedAt.Equal(known.startedAt) {
		known.gone = false
		l.suspectRestart(known, "list", now)
	}
	if row.Draining != known.row.Draining {
		l.log("endpoint changed its draining state", "endpoint", row.ID, "pool", row.Pool, "draining", row.Draining, "runs", len(known.runs))
	}
	l.setCapacity(known, row.Capacity)
	former := known.row
	l.setRow(known, row)
	l.noteWarmUp(known, &former, now)
	if !known.listed {
		known.listed = true
		l.log("endpoint back in the platform's list", "endpoint", row.ID, "pool", row.Pool)
	}
}

// RemoveEndpoint handles an endpoint that has left the platform's list. Its runs
// count as active until their lease has expired.
func (l *Leader) RemoveEndpoint(id EndpointID, now time.Time) {
	e, ok := l.endpoints[id]
	if !ok || !e.listed {
		return
	}
	e.listed = false
	l.log("endpoint removed from the platform's list", "endpoint", id, "pool", e.row.Pool, "runs", len(e.runs))
	l.forgetEndpoint(e, now)
}

// forgetEndpoint removes an unlisted endpoint once nothing can run on it any more.
func (l *Leader) forgetEndpoint(e *endpoint, now time.Time) {
	if e.listed || len(e.runs) > 0 {
		return
	}
	// A blocked endpoint has runs of jobs that are not known yet.
	mayHaveRuns := !e.isKnown() && !l.inheritedLeasesOver(e, now) || e.blocked && !l.leasesOver(e, now)
	if mayHaveRuns && !e.gone {
		return
	}
	l.deleteEndpoint(e, now)
}

// EndpointIDs returns the IDs of all known endpoints.
func (l *Leader) EndpointIDs() []EndpointID {
	ids := make([]EndpointID, 0, len(l.endpoints))
	for _, e := range l.endpointList {
		ids = append(ids, e.row.ID)
	}
	return ids
}

// EndpointCount returns the number of known endpoints.
func (l *Leader) EndpointCount() int {
	return len(l.endpoints)
}

// AddressOf returns the address of an endpoint, or false if it is not known.
func (l *Leader) AddressOf(id EndpointID) (EndpointAddress, bool) {
	e, ok := l.endpoints[id]
	if !ok {
		return EndpointAddress{}, false
	}
	return EndpointAddress{ID: id, Address: e.row.Address}, true
}

const (
	// reportWait is how long an endpoint may wait for a completion before it reports.
	reportWait = 600 * time.Millisecond
	// unresolvedReportWait is the same while the outcome of a start or stop is unknown;
	// a stop takes some hundred milliseconds.
	unresolvedReportWait = 100 * time.Millisecond
)
