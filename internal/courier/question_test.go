package courier_test

import (
	"context"
	"testing"

	"github.com/lovagedyke/lovagedyke/internal/fleet"
)

// Guards against an endpoint being taken for ended without having been asked: the courier that
// carries the question is paused, or is itself cut off from the endpoint, which the leader reaches.
func TestQuestionByCourier(t *testing.T) {
	tests := map[string]func(s *system){
		"courier is paused":                           func(s *system) { s.link.set(false, true) },
		"courier's calls to the endpoint time out":    func(s *system) { s.carried.outcome = fleet.OrderUnknown },
		"courier's calls to the endpoint are refused": func(s *system) { s.carried.outcome = fleet.OrderRefused },
		"endpoint hangs up on the courier":            func(s *system) { s.carried.outcome = fleet.OrderHungUp },
	}
	for name, fail := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t)
			fail(s)
			_, got := s.client.RenewLease(context.Background(), target, token, fleet.LeaseRenewal{IsQuestion: true})
			if got.Outcome != fleet.OrderAccepted && got.Outcome != fleet.OrderNotSent {
				t.Errorf("question that the courier did not bring to an endpoint that the leader reaches: got %s after %d direct calls, want %s or %s",
					got.Outcome, s.direct.count(), fleet.OrderAccepted, fleet.OrderNotSent)
			}
		})
	}
}
