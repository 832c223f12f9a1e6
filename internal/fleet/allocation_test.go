package fleet

import (
	"slices"
	"testing"
)

// Pattern: backlog-beside-a-turn.
func TestAllocate(t *testing.T) {
	tests := map[string]struct {
		total int
		needs [][tierCount]int
		want  []int
	}{
		"enough for all":                    {total: 30, needs: [][tierCount]int{{4, 8, 8, 10}, {4, 4, 12, 20}}, want: []int{10, 20}},
		"late work waits for work on time":  {total: 40, needs: [][tierCount]int{{4, 4, 30, 400}, {4, 30, 30, 30}}, want: []int{10, 30}},
		"too late work waits for late work": {total: 40, needs: [][tierCount]int{{4, 4, 4, 400}, {4, 10, 30, 30}}, want: []int{10, 30}},
		"small needs are met first":         {total: 40, needs: [][tierCount]int{{4, 100, 100, 100}, {4, 6, 6, 6}}, want: []int{34, 6}},
		"equals share evenly":               {total: 40, needs: [][tierCount]int{{4, 100, 100, 100}, {4, 90, 90, 90}}, want: []int{20, 20}},
		"too few for the minimum":           {total: 5, needs: [][tierCount]int{{4, 4, 4, 4}, {4, 4, 4, 4}}, want: []int{3, 2}},
		"no pools":                          {total: 5, want: []int{}},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			if got := allocate(c.total, c.needs); !slices.Equal(got, c.want) {
				t.Errorf("allocation: got %v, want %v", got, c.want)
			}
		})
	}
}
