package place

import (
	"slices"
	"time"
)

const (
	// ratioWindow is how many tasks of a queue an estimate looks back on.
	ratioWindow = 64
	// priorWeight is the number of tasks that a declaration weighs as much as.
	priorWeight = 8
	// maxRatio bounds how far experience may move a declaration, either way.
	maxRatio = 16.0
	// memoryQuantile covers most tasks, for lack of memory kills a task.
	memoryQuantile = 0.95
	// cpuQuantile is the middle, for lack of processors only slows a task.
	cpuQuantile = 0.5
)

// ratios remembers how a queue's last tasks compared with their declarations.
type ratios struct {
	values []float64
	next   int
}

// add remembers one ratio, bounded.
func (r *ratios) add(ratio float64) {
	ratio = min(max(ratio, 1/maxRatio), maxRatio)
	if len(r.values) < ratioWindow {
		r.values = append(r.values, ratio)
		return
	}
	r.values[r.next] = ratio
	r.next = (r.next + 1) % ratioWindow
}

// quantile returns the quantile, drawn towards 1 while there are few values.
func (r *ratios) quantile(q float64) float64 {
	if len(r.values) == 0 {
		return 1
	}
	sorted := slices.Sorted(slices.Values(r.values))
	value := sorted[int(q*float64(len(sorted)-1)+0.5)]
	weight := float64(len(sorted)) / float64(len(sorted)+priorWeight)
	return 1 + weight*(value-1)
}

// estimate learns how far off a queue's declarations are.
type estimate struct {
	cpus    ratios
	memory  ratios
	runTime ratios

	cpuFactor     float64
	memoryFactor  float64
	runTimeFactor float64
}

// newEstimate returns an estimate that trusts declarations.
func newEstimate() *estimate {
	return &estimate{cpuFactor: 1, memoryFactor: 1, runTimeFactor: 1}
}

// learn takes in the greatest usage of a finished task.
func (e *estimate) learn(declared, peak Size) {
	if declared.CPUs > 0 && peak.CPUs > 0 {
		e.cpus.add(peak.CPUs / declared.CPUs)
		e.cpuFactor = e.cpus.quantile(cpuQuantile)
	}
	if declared.Memory > 0 && peak.Memory > 0 {
		e.memory.add(float64(peak.Memory) / float64(declared.Memory))
		e.memoryFactor = e.memory.quantile(memoryQuantile)
	}
}

// learnRunTime takes in the run time of a task that ended by itself.
func (e *estimate) learnRunTime(declared, took time.Duration) {
	if declared <= 0 || took <= 0 {
		return
	}
	e.runTime.add(took.Seconds() / declared.Seconds())
	e.runTimeFactor = e.runTime.quantile(cpuQuantile)
}

// need is what a task with that declaration is expected to use.
func (e *estimate) need(declared Size) Size {
	return Size{
		CPUs:         declared.CPUs * e.cpuFactor,
		Memory:       scaleMemory(declared.Memory, e.memoryFactor),
		Accelerators: declared.Accelerators,
	}
}
