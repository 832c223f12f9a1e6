package fleet

import (
	"fmt"

	"github.com/lovagedyke/lovagedyke/internal/job"
)

// CheckTallies returns an error if an endpoint's counts differ from its runs, or a job's from its tasks and
// open occurrences. The simulation calls it after each step.
func (l *Leader) CheckTallies() error {
	for id, e := range l.endpoints {
		var want runTally
		for _, r := range e.runs {
			want.add(r, 1)
		}
		if e.tally != want {
			return fmt.Errorf("runs of endpoint %s: counted %+v, want %+v", id, e.tally, want)
		}
	}
	for id, j := range l.jobs {
		want := map[job.StepKey]int{}
		for task := range j.active {
			want[task.StepKey()]++
		}
		for key, got := range j.activeTasks {
			if got != want[key] {
				return fmt.Errorf("active tasks of step %v of job %s: counted %d, want %d", key, id, got, want[key])
			}
			delete(want, key)
		}
		if len(want) > 0 {
			return fmt.Errorf("active tasks of job %s: counted none of %v", id, want)
		}
		if err := j.checkOccurrences(); err != nil {
			return fmt.Errorf("job %s: %w", id, err)
		}
	}
	return nil
}

// checkOccurrences returns an error if the counts of the job's open occurrences differ from its tasks.
func (j *jobState) checkOccurrences() error {
	active := map[int]int{}
	for task := range j.active {
		active[task.Occurrence]++
	}
	idle := 0
	for occurrence, state := range j.occurrences.states {
		if state.activeTasks != active[occurrence] {
			return fmt.Errorf("active tasks of occurrence %d: counted %d, want %d", occurrence, state.activeTasks, active[occurrence])
		}
		if state.isIdle() {
			idle++
		}
	}
	if got := j.occurrences.idle; got != idle {
		return fmt.Errorf("idle occurrences: counted %d, want %d", got, idle)
	}
	return nil
}
