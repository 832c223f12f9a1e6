package fleet

import (
	"time"

	"github.com/lovagedyke/lovagedyke/internal/job"
	"github.com/lovagedyke/lovagedyke/internal/policy"
)

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
	// runUnconfirmed runs were ordered and the answer was lost.
	runUnconfirmed
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
	// wasUnconfirmed is true once a start got no answer: it may be carried out late.
	wasUnconfirmed bool
	// stopAcceptedAt is when the endpoint answered a stop.
	stopAcceptedAt time.Time
	// stopAt is when the next stop is sent to a stopping run.
	stopAt time.Time
	// reason is the reason of an ordered stop, for the journal.
	reason       string
	speedPercent int
	checkpoint   string
	// percent is the pace that was ordered.
	percent     int
	tailLatency time.Duration
	reserved    policy.Resources
	// inheritedStopsEnd is when stops that an earlier leader may have ordered are over.
	inheritedStopsEnd time.Time
	// fullSpeedAt is when the endpoint first reported the run at work.
	fullSpeedAt time.Time
}
