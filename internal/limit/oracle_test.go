package limit_test

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/table"
)

// check compares what really runs with the limit in the table.
func (w *world) check() error {
	w.store.SetFaults(table.Faults{})
	defer w.store.SetFaults(w.faults)
	rows, err := w.store.Get(context.Background(), "limit/"+team)
	if err != nil {
		return err
	}
	var inForce struct {
		Limit int `json:"limit"`
	}
	if err := json.Unmarshal(rows[0].Value, &inForce); err != nil {
		return err
	}
	if len(w.running) > inForce.Limit {
		return fmt.Errorf("running %d, want at most the limit %d", len(w.running), inForce.Limit)
	}
	return nil
}

func (w *world) run(steps int) error {
	for range steps {
		w.step()
		if err := w.check(); err != nil {
			return err
		}
	}
	return nil
}

// settle ends all disturbance and work, and returns what the live members hold
// once the managers have nothing left to do.
func (w *world) settle() (int, error) {
	w.setFaults(table.Faults{})
	for _, p := range w.procs {
		p.paused = false
		p.cut = false
	}
	for range 40 {
		w.advance(time.Second)
		for i, m := range w.managers {
			m.pending = nil
			w.refresh(m)
			w.manage(i)
			w.flush()
			w.manage(i)
			w.commit(i)
		}
		for _, p := range w.procs {
			w.readRow(p)
			w.trade(p)
		}
		w.flush()
		if err := w.check(); err != nil {
			return 0, err
		}
	}
	sum := 0
	for _, p := range w.procs {
		sum += p.ledger.Status(team).Holding
	}
	return sum, nil
}

func (w *world) flush() {
	for len(w.inFlight) > 0 {
		message := w.inFlight[0]
		w.inFlight = w.inFlight[1:]
		message()
	}
}
