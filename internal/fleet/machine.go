package fleet

import (
	"time"

	"github.com/lovagedyke/lovagedyke/internal/policy"
)

// MachineID names a machine, which outlives the hosts that run on it.
type MachineID string

// MachineState is what the platform says of a machine.
type MachineState string

// States of a machine.
const (
	MachineUp     MachineState = "up"
	MachineMoving MachineState = "moving"
	MachineUpkeep MachineState = "upkeep"
	MachineDown   MachineState = "down"
)

// Machine is a machine as the platform lists it.
type Machine struct {
	ID         MachineID
	Pool       string
	State      MachineState
	DataCentre string
	Labels     []string
	Capacity   policy.Resources
	// Host is the incarnation that runs there, or "".
	Host HostID
}

// WaveRow is a wave of upkeep as operators ask for it.
type WaveRow struct {
	Number   int64
	Machines []MachineID
	// Within is how long the whole wave may take.
	Within time.Duration
	// AtOnce is how many of its machines may be down at one time.
	AtOnce int
}

// ChangeOutcome is the platform's answer to a change of a machine.
type ChangeOutcome string

// Outcomes of changes to machines.
const (
	// ChangeTaken changes are under way or were made before.
	ChangeTaken ChangeOutcome = "taken"
	// ChangeBusy machines are not up, or are leaving.
	ChangeBusy ChangeOutcome = "busy"
	// ChangeFenced changes came from a leader that has a successor.
	ChangeFenced ChangeOutcome = "fenced"
	// ChangeOtherWave machines do not belong to the wave.
	ChangeOtherWave ChangeOutcome = "other-wave"
	// ChangeImpossible changes name no machine, or a pool of other machines.
	ChangeImpossible ChangeOutcome = "impossible"
	// ChangeRefused changes were not made: the platform is busy or away.
	ChangeRefused ChangeOutcome = "refused"
	// ChangeUnknown changes got no answer and may have been made.
	ChangeUnknown ChangeOutcome = "unknown"
)
