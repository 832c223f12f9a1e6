package fleet

import "github.com/lovagedyke/lovagedyke/internal/policy"

// runTally counts an endpoint's runs. A scheduling step looks at all endpoints, and
// must not look at each of their runs again for that.
type runTally struct {
	// reserved is what the runs reserve together.
	reserved policy.Resources
	// persistent and bestEffort count the runs of such tasks, stopping those that
	// are being stopped.
	persistent, bestEffort, stopping int
	// trials counts the runs on trial.
	trials int
}

// add adds a run n times; -1 removes it.
func (t *runTally) add(r *run, n int) {
	t.reserved = t.reserved.Plus(r.reserved.Times(int64(n)))
	if r.isPersistent() {
		t.persistent += n
	}
	if r.job != nil && r.step().BestEffort {
		t.bestEffort += n
	}
	if r.state == runStopping {
		t.stopping += n
	}
	if r.onTrial {
		t.trials += n
	}
}

// addRun adds a run to the endpoint's runs. Its job and size must not change after this.
func (e *endpoint) addRun(r *run) {
	e.runs[r.key] = r
	e.tally.add(r, 1)
}

// removeRun removes a run. It returns false if the endpoint does not have it.
func (e *endpoint) removeRun(r *run) bool {
	if e.runs[r.key] != r {
		return false
	}
	delete(e.runs, r.key)
	e.tally.add(r, -1)
	return true
}
