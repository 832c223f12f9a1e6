package fleet

import "time"

const (
	// minStepPause batches events that arrive together into one step.
	minStepPause = 8 * time.Millisecond
	// stepPauseFactor times a step's duration is the pause after it, up to longStepPause.
	stepPauseFactor = 4
	longStepPause   = 50 * time.Millisecond
	// behindStepPause is the pause of a leader that is behind with sending starts.
	behindStepPause = 120 * time.Millisecond
	// maxStepShare is the largest share of the time that steps take, however long one takes: what
	// they decide is of no use until it is sent.
	maxStepShare = 0.4
)

// StepPause returns how long to wait after a step that took a time, before the next one. While the
// leader is behind with sending starts, another step would only decide more of them.
func StepPause(took time.Duration, isBehind bool) time.Duration {
	pause := min(longStepPause, max(minStepPause, stepPauseFactor*took))
	if isBehind {
		pause = behindStepPause
	}
	return max(pause, time.Duration(float64(took)*(1/maxStepShare-1)))
}
