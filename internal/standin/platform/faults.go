package platform

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/duration"
)

// Faults are the faults that the platform injects.
type Faults struct {
	// Down rejects every call with 503.
	Down bool `json:"down,omitempty"`
	// Slow is the delay of every call, half of it before and half after the effect.
	Slow duration.Text `json:"slow,omitzero"`
	// LoseAnswers closes the connection after a commit has taken effect.
	LoseAnswers LossCount `json:"lose-answers,omitzero"`
	// ListLag, if set, is the new delay of the host list, for all processes.
	ListLag *duration.Text `json:"list-lag,omitempty"`
	// BrokenReboots names the hosts that don't come back from a reboot.
	BrokenReboots []string `json:"broken-reboots,omitempty"`
	// Processes limits the faults to the named processes.
	Processes []string `json:"processes,omitempty"`
}

// LossCount is the number of responses to lose. In JSON, true means all of them.
type LossCount int

// loseAll means that all responses are lost.
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

// lose reports whether to lose the next response, and counts it.
func (c *LossCount) lose() bool {
	if *c > 0 {
		*c--
		return true
	}
	return *c == loseAll
}

// faultSet holds the default faults and those of individual processes.
type faultSet struct {
	all       Faults
	byProcess map[string]*Faults
	listLag   time.Duration
}

// newFaultSet returns a set without faults and with the host list's delay.
func newFaultSet(lag time.Duration) *faultSet {
	return &faultSet{byProcess: make(map[string]*Faults), listLag: lag}
}

// set sets the faults of the processes that they name. Faults that name none apply to
// all processes and replace those of individual processes.
func (s *faultSet) set(faults Faults) {
	if faults.ListLag != nil {
		s.listLag = faults.ListLag.Duration
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

// of returns the faults that apply to a process.
func (s *faultSet) of(process string) *Faults {
	if own, ok := s.byProcess[process]; ok {
		return own
	}
	return &s.all
}
