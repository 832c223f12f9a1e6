package member

import (
	"testing"

	"github.com/lovagedyke/lovagedyke/internal/fleet"
	"github.com/lovagedyke/lovagedyke/internal/job"
	"github.com/lovagedyke/lovagedyke/internal/member/memberpb"
	"github.com/lovagedyke/lovagedyke/internal/policy"
)

// Guards against gangs that no state of their pool could hold: they were accepted, and waited for ever.
func TestGangLargerThanAllEndpoints(t *testing.T) {
	sizes := []fleet.HostSize{{Capacity: policy.Resources{CPU: 8000, Memory: 1000}, Count: 10}}
	tests := map[string]struct {
		count   int
		isGang  bool
		sizes   []fleet.HostSize
		wantsOK bool
	}{
		"fits":                   {count: 80, isGang: true, sizes: sizes, wantsOK: true},
		"too many":               {count: 81, isGang: true, sizes: sizes},
		"no gang":                {count: 81, sizes: sizes, wantsOK: true},
		"hosts are not known":    {count: 81, isGang: true, wantsOK: true},
		"overflows a sum":        {count: 20_000, isGang: true, sizes: []fleet.HostSize{{Count: 1 << 62}, {Count: 1 << 62}}, wantsOK: true},
		"some hosts are smaller": {count: 85, isGang: true, sizes: append(sizes, fleet.HostSize{Capacity: policy.Resources{CPU: 5000, Memory: 1000}, Count: 1}), wantsOK: true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			leader := newLeader(nil)
			leader.config.HostSizes = func() []fleet.HostSize { return c.sizes }
			view := leader.view(unknownMembers)
			n := newLeader(nil)
			n.leading = false
			n.applyView(&memberpb.View{From: encodeMember(follower), Leading: true, Token: 9, HostSizes: view.HostSizes}, n.leaderHeardAt)
			step := job.Step{Count: c.count, Gang: c.isGang, Resources: policy.Resources{CPU: 1000, Memory: 1}}
			if c.sizes != nil && c.sizes[0].Capacity == (policy.Resources{}) {
				step.Resources = policy.Resources{}
			}
			for process, of := range map[string]*Node{"the leader": leader, "another process": n} {
				got := NewFleetClient(of, localFleet{}).Unschedulable(step)
				if (got == "") != c.wantsOK {
					t.Errorf("refusal by %s: got %q, want one: %t", process, got, !c.wantsOK)
				}
			}
		})
	}
}
