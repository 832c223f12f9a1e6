package fleet

import (
	"testing"

	"github.com/lovagedyke/lovagedyke/internal/job"
	"github.com/lovagedyke/lovagedyke/internal/policy"
)

func TestUnplaceableSizes(t *testing.T) {
	size := func(cpu, memory int64) policy.Resources { return policy.Resources{CPU: cpu, Memory: memory} }
	tests := map[string]struct {
		rejected []policy.Resources
		size     policy.Resources
		want     bool
	}{
		"nothing rejected":       {size: size(1, 1)},
		"the same":               {rejected: []policy.Resources{size(4, 4)}, size: size(4, 4), want: true},
		"more of both":           {rejected: []policy.Resources{size(4, 4)}, size: size(5, 6), want: true},
		"less of one":            {rejected: []policy.Resources{size(4, 4)}, size: size(3, 9)},
		"larger than the second": {rejected: []policy.Resources{size(9, 1), size(1, 9)}, size: size(2, 9), want: true},
		"between both":           {rejected: []policy.Resources{size(9, 1), size(1, 9)}, size: size(8, 8)},
		"a smaller one later":    {rejected: []policy.Resources{size(9, 9), size(2, 2)}, size: size(3, 3), want: true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			var sizes unplaceableSizes
			for _, rejected := range c.rejected {
				sizes.add(rejected)
			}
			if got := sizes.contains(c.size); got != c.want {
				t.Errorf("contains: got %v, want %v", got, c.want)
			}
		})
	}
}

// Pattern: turns-beyond-the-pool. At the peak nearly all endpoints are full: trying each
// of them for each task takes a large part of a step.
func TestWithRoom(t *testing.T) {
	size := func(cpu, memory int64) policy.Resources { return policy.Resources{CPU: cpu, Memory: memory} }
	tests := map[string]struct {
		available, sizes []policy.Resources
		want             int
	}{
		"all full":                     {available: []policy.Resources{size(0, 9), size(1, 1)}, sizes: []policy.Resources{size(2, 2)}},
		"room for the smallest of two": {available: []policy.Resources{size(0, 9), size(2, 2)}, sizes: []policy.Resources{size(8, 8), size(2, 2)}, want: 1},
		"room for one in each part":    {available: []policy.Resources{size(2, 2)}, sizes: []policy.Resources{size(2, 8), size(8, 2)}, want: 1},
		"a size of nothing":            {available: []policy.Resources{size(0, 0), size(-1, 4)}, sizes: []policy.Resources{size(0, 0)}, want: 1},
		"no endpoint":                  {sizes: []policy.Resources{size(1, 1)}},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			var candidates []*candidateEndpoint
			for _, available := range c.available {
				candidates = append(candidates, &candidateEndpoint{available: available})
			}
			var groups []taskGroup
			for _, size := range c.sizes {
				groups = append(groups, taskGroup{step: &stepState{step: job.Step{Resources: size}}})
			}
			if got := len(newPass(candidates, groups).open); got != c.want {
				t.Errorf("endpoints with room: got %d, want %d", got, c.want)
			}
		})
	}
}
