package control

import (
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/fleet"
)

// workJournal keeps the fields of the last line of each event.
type workJournal map[string]map[string]any

// Info implements Journal.
func (j workJournal) Info(event string, fields ...any) {
	line := map[string]any{}
	for i := 0; i+1 < len(fields); i += 2 {
		line[fields[i].(string)] = fields[i+1]
	}
	j[event] = line
}

// Error implements Journal.
func (j workJournal) Error(event string, fields ...any) { j.Info(event, fields...) }

// Guards against a leader of which nothing says what it spends its time on, and how long its orders
// wait.
func TestWorkIsLoggedByPart(t *testing.T) {
	start := time.Now()
	w := newWork(start)
	w.add(partDecisions, 0, 40*time.Millisecond)
	w.add(partDecisions, 0, 50*time.Millisecond)
	w.add(partReports, 30*time.Millisecond, time.Millisecond)
	w.startSent(20 * time.Millisecond)
	w.startSent(10 * time.Millisecond)
	w.hostChangeSent(2 * time.Second)
	journal := workJournal{}
	w.log(journal, fleet.Effort{Forecasts: 5}, 4, start.Add(workLogInterval/2))
	if len(journal) != 0 {
		t.Errorf("lines before the interval is over: got %v, want none", journal)
	}
	w.log(journal, fleet.Effort{Forecasts: 7, Visited: 3}, 4, start.Add(workLogInterval))
	tests := map[string]any{
		"interval": "1s", "steps": 2, "time-decisions": "90ms", "reports": 1, "starts": 2, "unsent-starts": 4, "start-wait": "20ms",
		"host-changes-sent": 1, "host-change-wait": "2s", "lock-wait": "30ms", "time-orders": "0s", "forecasts": 7, "visited": 3, "time-reports": "1ms",
	}
	for field, want := range tests {
		if got := journal["leader work"][field]; got != want {
			t.Errorf("%s: got %v, want %v", field, got, want)
		}
	}
	w.log(journal, fleet.Effort{Forecasts: 8, Visited: 3}, 4, start.Add(2*workLogInterval))
	if got, want := journal["leader work"]["time-decisions"], "0s"; got != want {
		t.Errorf("decisions in the second interval: got %v, want %v", got, want)
	}
	if got, want := journal["leader work"]["forecasts"], 1; got != want {
		t.Errorf("forecasts in the second interval: got %v, want %v", got, want)
	}
}
