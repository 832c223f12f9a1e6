package place

import "math"

// Size is an amount of processors, bytes of memory and accelerators.
type Size struct {
	CPUs         float64 `json:"cpus"`
	Memory       int64   `json:"memory"`
	Accelerators int     `json:"accelerators,omitempty"`
}

// Plus returns the sum.
func (s Size) Plus(other Size) Size {
	return Size{
		CPUs:         s.CPUs + other.CPUs,
		Memory:       s.Memory + other.Memory,
		Accelerators: s.Accelerators + other.Accelerators,
	}
}

// Minus returns the difference, which may be negative.
func (s Size) Minus(other Size) Size {
	return Size{
		CPUs:         s.CPUs - other.CPUs,
		Memory:       s.Memory - other.Memory,
		Accelerators: s.Accelerators - other.Accelerators,
	}
}

// Fits reports whether the size is within room.
func (s Size) Fits(room Size) bool {
	// Sums of fractions of a processor may miss an integer by a rounding error.
	const slack = 1e-9
	return s.CPUs <= room.CPUs+slack && s.Memory <= room.Memory && s.Accelerators <= room.Accelerators
}

// largest returns the larger of each amount.
func (s Size) largest(other Size) Size {
	return Size{
		CPUs:         max(s.CPUs, other.CPUs),
		Memory:       max(s.Memory, other.Memory),
		Accelerators: max(s.Accelerators, other.Accelerators),
	}
}

// fraction is the greatest part of whole that the size takes of any amount.
func (s Size) fraction(whole Size) float64 {
	part := 0.0
	if whole.CPUs > 0 {
		part = max(part, s.CPUs/whole.CPUs)
	}
	if whole.Memory > 0 {
		part = max(part, float64(s.Memory)/float64(whole.Memory))
	}
	if whole.Accelerators > 0 {
		part = max(part, float64(s.Accelerators)/float64(whole.Accelerators))
	}
	return part
}

// scaleMemory multiplies memory without overflow.
func scaleMemory(memory int64, factor float64) int64 {
	scaled := float64(memory) * factor
	if scaled >= math.MaxInt64 {
		return math.MaxInt64
	}
	return int64(math.Ceil(scaled))
}
