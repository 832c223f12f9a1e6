package fleet

import (
	"testing"

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
