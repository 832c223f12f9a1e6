package overload_test

import (
	"testing"

	"github.com/lovagedyke/lovagedyke/internal/overload"
)

// Guards against sizes that are compared with jobs of long ago, or of which the classes do not hold
// the largest tenth and the fifth below it.
func TestSizesClasses(t *testing.T) {
	sizes := overload.New(overload.Config{Window: 100})
	for n := range 500 {
		sizes.Observe(float64(1000 + n%100))
	}
	for n := range 100 {
		sizes.Observe(float64(n % 100))
	}
	tests := map[string]struct {
		size float64
		want overload.Class
	}{
		"the smallest":          {size: 0, want: overload.Small},
		"below three tenths":    {size: 68, want: overload.Small},
		"the fifth above them":  {size: 75, want: overload.Large},
		"the largest tenth":     {size: 95, want: overload.Largest},
		"larger than any other": {size: 2000, want: overload.Largest},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			if got := sizes.Observe(c.size); got != c.want {
				t.Errorf("class: got %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against large jobs that are deferred again and again: a class that is in time too rarely is
// favoured until it has caught up.
func TestSizesFavour(t *testing.T) {
	tests := map[string]struct {
		class        overload.Class
		small, large int // of 10 each, how many are in time
		want         bool
	}{
		"all in time":              {class: overload.Largest, small: 10, large: 10},
		"the largest too rarely":   {class: overload.Largest, small: 9, large: 4, want: true},
		"the largest often enough": {class: overload.Largest, small: 9, large: 8},
		"small ones never":         {class: overload.Small, small: 1, large: 9},
		"none in time":             {class: overload.Largest},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			sizes := overload.New(overload.Config{})
			for n := range 10 {
				sizes.Count(overload.Small, n < c.small)
				sizes.Count(overload.Largest, n < c.large)
			}
			if got := sizes.IsFavoured(c.class); got != c.want {
				t.Errorf("favoured: got %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against a value that grows in proportion to the work, which would make small jobs
// worthless, or not at all, which would make large ones wait for ever.
func TestSizesValue(t *testing.T) {
	sizes := overload.New(overload.Config{})
	if got := sizes.Value(3); got != 1 {
		t.Errorf("value without other jobs: got %v, want 1", got)
	}
	sizes.Observe(1)
	sizes.Observe(3)
	for size, want := range map[float64]float64{0: 0.5, 2: 1, 4: 1.5} {
		if got := sizes.Value(size); got != want {
			t.Errorf("value of %v host-seconds: got %v, want %v", size, got, want)
		}
	}
}
