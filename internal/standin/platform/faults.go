package platform

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/duration"
)

// Faults are the ways in which the platform misbehaves on request.
type Faults struct {
	// Down refuses every call with 503.
	Down bool `json:"down,omitempty"`
	// Slow delays every call, half of it before and half after the effect.
	Slow duration.Text `json:"slow,omitzero"`
	// LoseAnswers cuts the connection after a commit took effect.
	LoseAnswers LossCount `json:"lose-answers,omitzero"`
	// ListLag, if set, is how far the host list lags from now on, for all.
	ListLag *duration.Text `json:"list-lag,omitempty"`
	// BrokenReboots names hosts that do not come back from a reboot.
	BrokenReboots []string `json:"broken-reboots,omitempty"`
	// Processes limits the faults to callers of these names.
	Processes []string `json:"processes,omitempty"`
}

// LossCount is a number of answers to lose; JSON true means all of them.
type LossCount int

// loseAll is the LossCount without end.
const loseAll LossCount = -1

// MarshalJSON implements json.Marshaler.
func (c LossCount) MarshalJSON() ([]byte, error) {
	if c == loseAll {
		return []byte("true"), nil
	}
	return json.Marshal(int(c))
}

// UnmarshalJSON implements json.Unmarshaler.
func (c *LossCount) UnmarshalJSON(data []byte) error {
	var all bool
	if json.Unmarshal(data, &all) == nil {
		*c = 0
		if all {
			*c = loseAll
		}
		return nil
	}
	var count uint32
	if err := json.Unmarshal(data, &count); err != nil {
		return errors.Newf("lose-answers: %s is neither a boolean nor a count", data)
	}
	*c = LossCount(count)
	return nil
}

// lose reports whether to lose one more answer.
func (c *LossCount) lose() bool {
	if *c > 0 {
		*c--
		return true
	}
	return *c == loseAll
}

// faultSet holds the faults of all callers and those of single processes.
type faultSet struct {
	all       Faults
	byProcess map[string]*Faults
	lag       time.Duration
}

// newFaultSet returns a set without faults but with the lag.
func newFaultSet(lag time.Duration) *faultSet {
	return &faultSet{byProcess: make(map[string]*Faults), lag: lag}
}

// set puts faults in force: for the processes they name, or else for everybody,
// which clears those of single processes.
func (s *faultSet) set(faults Faults) {
	if faults.ListLag != nil {
		s.lag = faults.ListLag.Duration
	}
	if len(faults.Processes) == 0 {
		s.all = faults
		clear(s.byProcess)
		return
	}
	for _, process := range faults.Processes {
		own := faults
		own.Processes = nil
		s.byProcess[process] = &own
	}
}

// of returns the faults that a process meets.
func (s *faultSet) of(process string) *Faults {
	if own, ok := s.byProcess[process]; ok {
		return own
	}
	return &s.all
}
