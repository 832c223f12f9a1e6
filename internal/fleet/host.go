package fleet

import (
	"time"

	"github.com/lovagedyke/lovagedyke/internal/policy"
)

// HostID identifies a host, which outlives the endpoints that run on it.
type HostID string

// HostState is a host's state in the platform's list.
type HostState string

// States of a host.
const (
	HostUp          HostState = "up"
	HostMoving      HostState = "moving"
	HostMaintenance HostState = "upkeep"
	HostDown        HostState = "down"
)

// Host is a host in the platform's list.
type Host struct {
	ID         HostID
	Pool       string
	State      HostState
	DataCentre string
	Labels     []string
	Capacity   policy.Resources
	// Endpoint is the endpoint incarnation that runs on the host, or "".
	Endpoint EndpointID
}

// WaveRow is a maintenance wave as requested by operators.
type WaveRow struct {
	Number int64
	Hosts  []HostID
	// TimeLimit is how long the whole wave may take.
	TimeLimit time.Duration
	// MaxDown is how many hosts of the wave may be down at the same time.
	MaxDown int
}

// ChangeOutcome is the platform's answer to a host change.
type ChangeOutcome string

// Outcomes of host changes.
const (
	// ChangeAccepted changes are under way or were made before.
	ChangeAccepted ChangeOutcome = "taken"
	// ChangeBusy hosts are not up, or are leaving.
	ChangeBusy ChangeOutcome = "busy"
	// ChangeFenced changes came from a superseded leader.
	ChangeFenced ChangeOutcome = "fenced"
	// ChangeOtherWave hosts do not belong to the wave.
	ChangeOtherWave ChangeOutcome = "other-wave"
	// ChangeImpossible changes name an unknown host, or a pool that the host cannot join.
	ChangeImpossible ChangeOutcome = "impossible"
	// ChangeRefused changes were not made: the platform is busy or unavailable.
	ChangeRefused ChangeOutcome = "refused"
	// ChangeUnknown changes got no answer and may have been made.
	ChangeUnknown ChangeOutcome = "unknown"
)
