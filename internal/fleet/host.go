package fleet

import (
	"time"

	"github.com/lovagedyke/lovagedyke/internal/policy"
)

// HostID names a host, which outlives the endpoints that run on it.
type HostID string

// HostState is what the platform says of a host.
type HostState string

// States of a host.
const (
	HostUp          HostState = "up"
	HostMoving      HostState = "moving"
	HostMaintenance HostState = "upkeep"
	HostDown        HostState = "down"
)

// Host is a host as the platform lists it.
type Host struct {
	ID         HostID
	Pool       string
	State      HostState
	DataCentre string
	Labels     []string
	Capacity   policy.Resources
	// Endpoint is the incarnation that runs there, or "".
	Endpoint EndpointID
}

// WaveRow is a wave of upkeep as operators ask for it.
type WaveRow struct {
	Number int64
	Hosts  []HostID
	// Within is how long the whole wave may take.
	TimeLimit time.Duration
	// AtOnce is how many of its hosts may be down at one time.
	MaxDown int
}

// ChangeOutcome is the platform's answer to a change of a host.
type ChangeOutcome string

// Outcomes of changes to hosts.
const (
	// ChangeTaken changes are under way or were made before.
	ChangeAccepted ChangeOutcome = "taken"
	// ChangeBusy hosts are not up, or are leaving.
	ChangeBusy ChangeOutcome = "busy"
	// ChangeFenced changes came from a leader that has a successor.
	ChangeFenced ChangeOutcome = "fenced"
	// ChangeOtherWave hosts do not belong to the wave.
	ChangeOtherWave ChangeOutcome = "other-wave"
	// ChangeImpossible changes name no host, or a pool of other hosts.
	ChangeImpossible ChangeOutcome = "impossible"
	// ChangeRefused changes were not made: the platform is busy or away.
	ChangeRefused ChangeOutcome = "refused"
	// ChangeUnknown changes got no answer and may have been made.
	ChangeUnknown ChangeOutcome = "unknown"
)
