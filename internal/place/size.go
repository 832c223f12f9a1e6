package place

import "math"

// Size is an amount of processors, memory in bytes, and accelerators.
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

// Fits reports whether the size fits into the available size.
func (s Size) Fits(available Size) bool {
	// Sums of fractional processors may exceed an integer by a rounding error.
	const slack = 1e-9
	return s.CPUs <= available.CPUs+slack && s.Memory <= available.Memory && s.Accelerators <= available.Accelerators
}

// componentMax returns the larger of the two for each resource.
func (s Size) componentMax(other Size) Size {
	return Size{
		CPUs:         max(s.CPUs, other.CPUs),
		Memory:       max(s.Memory, other.Memory),
		Accelerators: max(s.Accelerators, other.Accelerators),
	}
}

// fractionOf returns the largest fraction of whole that the size takes of any
// resource.
func (s Size) fractionOf(whole Size) float64 {
	fraction := 0.0
	if whole.CPUs > 0 {
		fraction = max(fraction, s.CPUs/whole.CPUs)
	}
	if whole.Memory > 0 {
		fraction = max(fraction, float64(s.Memory)/float64(whole.Memory))
	}
	if whole.Accelerators > 0 {
		fraction = max(fraction, float64(s.Accelerators)/float64(whole.Accelerators))
	}
	return fraction
}

// scaleMemory multiplies memory by a factor, limited to math.MaxInt64.
func scaleMemory(memory int64, factor float64) int64 {
	scaled := float64(memory) * factor
	if scaled >= math.MaxInt64 {
		return math.MaxInt64
	}
	return int64(math.Ceil(scaled))
}
