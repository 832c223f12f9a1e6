package fleet

import "time"

const (
	// minStepPause batches events that arrive together into one step.
	minStepPause = 8 * time.Millisecond
	// stepPauseFactor times a step's duration is the pause after it, up to
	// maxStepPause: at peak load steps would else take half of the CPU.
	stepPauseFactor = 4
	maxStepPause    = 50 * time.Millisecond
)

// StepPause returns how long to wait after a step that took a time, before the next one.
func StepPause(took time.Duration) time.Duration {
	return min(maxStepPause, max(minStepPause, stepPauseFactor*took))
}
