package limit_test

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/table"
)

// check compares the running work with the limit in the table.
func (s *simulation) check() error {
	s.store.SetFaults(table.Faults{})
	defer s.store.SetFaults(s.faults)
	rows, err := s.store.Get(context.Background(), "limit/"+team)
	if err != nil {
		return err
	}
	var inForce struct {
		Limit int `json:"limit"`
	}
	if err := json.Unmarshal(rows[0].Value, &inForce); err != nil {
		return err
	}
	if len(s.running) > inForce.Limit {
		return fmt.Errorf("running %d, want at most the limit %d", len(s.running), inForce.Limit)
	}
	return nil
}

func (s *simulation) run(steps int) error {
	for range steps {
		s.step()
		if err := s.check(); err != nil {
			return err
		}
	}
	return nil
}

// quiesce ends all faults and work, and returns the permits that the live
// members hold once the managers have nothing left to do.
func (s *simulation) quiesce() (int, error) {
	s.setFaults(table.Faults{})
	for _, p := range s.procs {
		p.paused = false
		p.cut = false
	}
	for range 40 {
		s.advance(time.Second)
		for i, m := range s.managers {
			m.pending = nil
			s.refresh(m)
			s.manage(i)
			s.flush()
			s.manage(i)
			s.commit(i)
		}
		for _, p := range s.procs {
			s.readRow(p)
			s.gossip(p)
		}
		s.flush()
		if err := s.check(); err != nil {
			return 0, err
		}
	}
	sum := 0
	for _, p := range s.procs {
		sum += p.ledger.Status(team).Holding
	}
	return sum, nil
}

func (s *simulation) flush() {
	for len(s.inFlight) > 0 {
		message := s.inFlight[0]
		s.inFlight = s.inFlight[1:]
		message()
	}
}
