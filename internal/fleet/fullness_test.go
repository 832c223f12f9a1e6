package fleet

import (
	"testing"

	"github.com/lovagedyke/lovagedyke/internal/policy"
)

func TestFullness(t *testing.T) {
	need := func(cpu, memory int64) policy.Resources { return policy.Resources{CPU: cpu, Memory: memory} }
	tests := map[string]struct {
		refused []policy.Resources
		need    policy.Resources
		want    bool
	}{
		"nothing refused":       {need: need(1, 1)},
		"the same":              {refused: []policy.Resources{need(4, 4)}, need: need(4, 4), want: true},
		"more of both":          {refused: []policy.Resources{need(4, 4)}, need: need(5, 6), want: true},
		"less of one":           {refused: []policy.Resources{need(4, 4)}, need: need(3, 9)},
		"covered by the second": {refused: []policy.Resources{need(9, 1), need(1, 9)}, need: need(2, 9), want: true},
		"between both":          {refused: []policy.Resources{need(9, 1), need(1, 9)}, need: need(8, 8)},
		"a smaller one later":   {refused: []policy.Resources{need(9, 9), need(2, 2)}, need: need(3, 3), want: true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			var full fullness
			for _, refused := range c.refused {
				full.note(refused)
			}
			if got := full.covers(c.need); got != c.want {
				t.Errorf("covers: got %v, want %v", got, c.want)
			}
		})
	}
}
