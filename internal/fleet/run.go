package fleet

import (
	"fmt"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/job"
	"github.com/lovagedyke/lovagedyke/internal/policy"
	"github.com/lovagedyke/lovagedyke/internal/runtimes"
)

// runKey identifies a run of a task.
type runKey struct {
	task job.Task
	run  int64
}

// String names the run in the journal: job, occurrence, step, index and run number.
func (k runKey) String() string {
	return fmt.Sprintf("%s.%d.%d.%d run %d", k.task.Job, k.task.Occurrence, k.task.Step, k.task.Index, k.run)
}

// runState is what the leader knows about a run.
type runState int

const (
	// runStarting runs have been ordered but not answered.
	runStarting runState = iota
	// runLive runs are on the endpoint.
	runLive
	// runUnconfirmed runs have been ordered, but the answer was lost.
	runUnconfirmed
	// runStopping runs are being stopped.
	runStopping
)

// String returns the state's name, for the journal.
func (s runState) String() string {
	switch s {
	case runStarting:
		return "starting"
	case runLive:
		return "live"
	case runUnconfirmed:
		return "unconfirmed"
	case runStopping:
		return "stopping"
	default:
		return "unknown"
	}
}

// run is a run that is or may be on an endpoint.
type run struct {
	// expected is how long the run was expected to take when that was first asked for, or 0.
	expected time.Duration
	key      runKey
	endpoint *endpoint
	job      *jobState
	state    runState
	// incarnation is the start time of the endpoint's incarnation for which the start was
	// ordered, and lease the deadline on its clock.
	incarnation time.Time
	lease       time.Duration
	// awaitsAnswer is true until the start that this leader ordered is answered.
	awaitsAnswer bool
	// reported is true once the endpoint's current incarnation has reported the run.
	reported bool
	// seenAt is when the newest report that lists the run was requested.
	seenAt time.Time
	// orderedAt is when the start was ordered, sentAt when it was last confirmed to be sent, and
	// answeredAt when the endpoint confirmed it.
	orderedAt, sentAt, answeredAt time.Time
	// wasUnconfirmed is true once a start got no answer: it may be executed late.
	wasUnconfirmed bool
	// stopAcceptedAt is when the endpoint accepted a stop.
	stopAcceptedAt time.Time
	// stopAt is when the next stop is sent to a stopping run.
	stopAt time.Time
	// reason is why the run is being stopped, for the journal.
	reason       string
	speedPercent int
	// activity is what reports say about the run's progress.
	activity runtimes.Activity
	// isKeptLogged is true once the journal says that the run is overdue and kept.
	isKeptLogged bool
	checkpoint   string
	// percent is the throttle that was ordered.
	percent     int
	tailLatency time.Duration
	reserved    policy.Resources
	// inheritedStopsEnd is when all stops that an earlier leader may have ordered have ended.
	inheritedStopsEnd time.Time
	// onTrial is true while no other run may start beside the run, whose task is suspected.
	onTrial bool
	// isSolo is true if not even others on trial may start beside it.
	isSolo bool
	// hasBegun is true once the endpoint has confirmed the start.
	hasBegun bool
	// gang is the attempt to start a gang to which the run belongs, or nil.
	gang *gangAttempt
	// isUnsent is true until the start is sent.
	isUnsent bool
	// isHeld is true until the record of the run's start is stored, and the start is sent.
	isHeld bool
	// isFormerLeaders is true if a former leader started the run, and did not doubt it any more.
	isFormerLeaders bool
	// verdict is what the end of the endpoint says about the run, crash the end for which it
	// is suspected, and crashOrder its place among the suspects.
	verdict verdict
	// wasAlone is true if no other suspected run was on the endpoint when it ended.
	wasAlone   bool
	crash      *crash
	crashOrder int
	// fullSpeedAt is when the endpoint first reported the run at full speed.
	fullSpeedAt time.Time
}

// isUnresolved reports whether the start may still be carried out: it has no answer, and
// the endpoint has accepted no stop.
func (r *run) isUnresolved() bool {
	return (r.answeredAt.IsZero() || r.wasUnconfirmed && !r.reported) && r.stopAcceptedAt.IsZero()
}

// wasRunningBefore reports whether the endpoint has confirmed, before a time, that it runs
// the run: it has ended with the incarnation of the endpoint if that is seen to have ended
// since. A run without an answer may yet be started by the next incarnation.
func (r *run) wasRunningBefore(at time.Time) bool {
	return !r.answeredAt.IsZero() && r.answeredAt.Before(at) && (!r.wasUnconfirmed || r.reported)
}
