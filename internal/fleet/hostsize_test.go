package fleet_test

import (
	"slices"
	"testing"

	"github.com/lovagedyke/lovagedyke/internal/fleet"
	"github.com/lovagedyke/lovagedyke/internal/policy"
)

func TestHostSizes(t *testing.T) {
	large := newHost(otherPool, "c")
	large.Capacity = policy.Resources{CPU: 32000, Memory: 65536}
	unknown := newHost(poolName, "d")
	unknown.Capacity = policy.Resources{}
	tests := map[string]struct {
		hosts []fleet.Host
		want  []fleet.HostSize
	}{
		"none listed yet": {},
		"two sizes": {
			hosts: []fleet.Host{large, newHost(poolName, "a"), downHost("b")},
			want:  []fleet.HostSize{{Capacity: endpointSize, Count: 2}, {Capacity: large.Capacity, Count: 1}},
		},
		"one of unknown size": {hosts: []fleet.Host{newHost(poolName, "a"), unknown}},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t, simulationConfig{})
			if c.hosts != nil {
				s.leader.UpdateHosts(c.hosts, s.now, s.now)
			}
			if got := s.leader.HostSizes(); !slices.Equal(got, c.want) {
				t.Errorf("sizes: got %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against a gang that is accepted, and waits for ever, although no state of its pool could hold it.
func TestMaxTasksAtOnce(t *testing.T) {
	sizes := []fleet.HostSize{
		{Capacity: policy.Resources{CPU: 16000, Memory: 64000}, Count: 3},
		{Capacity: policy.Resources{CPU: 8000, Memory: 64000, GPU: 2}, Count: 2},
	}
	tests := map[string]struct {
		size           policy.Resources
		maxPerEndpoint int
		isBestEffort   bool
		sizes          []fleet.HostSize
		want           int
	}{
		"by CPU":               {size: policy.Resources{CPU: 1000, Memory: 10}, sizes: sizes, want: 3*16 + 2*8},
		"by memory":            {size: policy.Resources{CPU: 10, Memory: 30000}, sizes: sizes, want: 5 * 2},
		"by GPU":               {size: policy.Resources{CPU: 10, GPU: 1}, sizes: sizes, want: 2 * 2},
		"by tasks on a host":   {size: policy.Resources{CPU: 1000}, maxPerEndpoint: 3, sizes: sizes, want: 5 * 3},
		"larger than any host": {size: policy.Resources{CPU: 20000}, sizes: sizes},
		"CPU is not reserved":  {size: policy.Resources{CPU: 20000, Memory: 32000}, isBestEffort: true, sizes: sizes, want: 5 * 2},
		"no hosts":             {size: policy.Resources{CPU: 1000}},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			step := tasks(1)
			step.Resources, step.MaxPerEndpoint, step.BestEffort = c.size, c.maxPerEndpoint, c.isBestEffort
			if got := fleet.MaxTasksAtOnce(step, c.sizes); got != c.want {
				t.Errorf("tasks: got %d, want %d", got, c.want)
			}
		})
	}
}
