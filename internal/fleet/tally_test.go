package fleet

import "fmt"

// CheckTallies returns an error if an endpoint's counts differ from its runs. The
// simulation calls it after each step.
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
	return nil
}
