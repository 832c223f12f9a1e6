package fleet

import (
	"time"
)

// maxHostListLag is how far rows of the host list may lag behind their hosts, and go back. The
// platform promises nothing; a lag beyond it harms only while the endpoint is out of reach.
const maxHostListLag = 5 * time.Second

// maxQuestionTime is how long a question takes at most. If its failure comes later, this process
// was paused, and the answer may lie in its socket.
const maxQuestionTime = 3 * time.Second

// presumedEnd is evidence that an endpoint has ended. The endpoint is asked after it, and taken for
// ended only without an answer: what it says of itself goes before what others say of it.
type presumedEnd struct {
	end endpointEnd
	// since is when the evidence was learnt.
	since time.Time
	// isFromList is true if the host list is the witness.
	isFromList bool
}

// knownSince returns since when the incarnation that answers as the endpoint has surely existed.
// Start times are no measure of it: hosts' wall clocks jump.
func (e *endpoint) knownSince() time.Time {
	since := e.listedAt
	if e.mayHaveRestarted && e.suspectedAt.After(since) {
		since = e.suspectedAt
	}
	if e.gone && e.goneAt.After(since) {
		since = e.goneAt
	}
	return since
}

// presumeEnded notes evidence that an endpoint has ended. What another endpoint says replaces
// what the host list says; otherwise the first evidence counts, since which it is asked.
func (l *Leader) presumeEnded(p presumedEnd) {
	e := p.end.endpoint
	switch {
	case e.gone && !e.hasRunBefore(p.end.at):
		return
	case e.presumed == nil:
		l.log("endpoint presumed ended", "endpoint", e.row.ID, "pool", e.row.Pool, "why", p.end.reason, "runs", len(e.runs),
			"evidence-age", age(p.end.at, p.since), "report-age", age(e.reportedAt, p.since), "answers", !e.unresponsive, "exited", e.hasExited())
	case p.isFromList || !e.presumed.isFromList:
		return
	}
	e.presumed = &p
}

// presumePredecessorsEnded presumes the other endpoints on a host ended once one of them has
// answered a renewal sent at sentAt: a host runs one at a time.
func (l *Leader) presumePredecessorsEnded(successor *endpoint, sentAt, now time.Time) {
	if successor.row.Host == "" {
		return
	}
	for e := range l.endpointsOf(HostID(successor.row.Host)) {
		if e == successor || e.row.Host == "" || !e.reportedAt.Before(sentAt) {
			continue
		}
		l.presumeEnded(presumedEnd{since: now, end: endpointEnd{
			endpoint: e, reason: "another endpoint reports from its host", isPlanned: l.endsByPlan(e), at: sentAt, together: 1,
		}})
	}
}

// confirmEnd takes an endpoint for ended that is presumed to be, and has not answered a question
// sent at sentAt.
func (l *Leader) confirmEnd(e *endpoint, sentAt, now time.Time) {
	if e.presumed == nil || sentAt.Before(e.presumed.since) || now.Sub(sentAt) > maxQuestionTime {
		return
	}
	end := e.presumed.end
	e.presumed = nil
	l.endpointEnded(end, now)
}

// contradictEnd clears an endpoint that is presumed ended, and has answered a question sent at
// sentAt.
func (l *Leader) contradictEnd(e *endpoint, sentAt, now time.Time) {
	if e.presumed == nil || sentAt.Before(e.presumed.since) {
		return
	}
	l.log("endpoint answers although presumed ended", "endpoint", e.row.ID, "pool", e.row.Pool, "why", e.presumed.end.reason,
		"presumed-ago", age(e.presumed.since, now), "life", e.startedAt.UnixMilli())
	e.presumed = nil
}
