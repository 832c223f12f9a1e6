package place

import (
	"slices"
	"time"
)

const (
	// ratioWindow is the number of recent tasks of a queue that an estimate uses.
	ratioWindow = 64
	// priorWeight is the weight of a declaration, in observed tasks.
	priorWeight = 8
	// maxRatio limits the correction of a declaration in both directions.
	maxRatio = 16.0
	// memoryQuantile covers most tasks, because a task that runs out of memory
	// is killed.
	memoryQuantile = 0.95
	// cpuQuantile is the median, because a task that is short of processors only
	// runs slower.
	cpuQuantile = 0.5
)

// ratioHistory is a ring buffer of the ratios of actual to declared usage of a
// queue's most recent tasks.
type ratioHistory struct {
	values []float64
	next   int
}

// add records a ratio, limited to maxRatio in both directions.
func (r *ratioHistory) add(ratio float64) {
	ratio = min(max(ratio, 1/maxRatio), maxRatio)
	if len(r.values) < ratioWindow {
		r.values = append(r.values, ratio)
		return
	}
	r.values[r.next] = ratio
	r.next = (r.next + 1) % ratioWindow
}

// quantile returns the q-quantile of the ratios, weighted with a prior of 1.
func (r *ratioHistory) quantile(q float64) float64 {
	if len(r.values) == 0 {
		return 1
	}
	sorted := slices.Sorted(slices.Values(r.values))
	value := sorted[int(q*float64(len(sorted)-1)+0.5)]
	weight := float64(len(sorted)) / float64(len(sorted)+priorWeight)
	return 1 + weight*(value-1)
}

// estimate tracks the ratios of actual to declared usage of a queue's tasks.
type estimate struct {
	cpus    ratioHistory
	memory  ratioHistory
	runTime ratioHistory

	cpuFactor     float64
	memoryFactor  float64
	runTimeFactor float64
}

// newEstimate returns an estimate that equals the declarations.
func newEstimate() *estimate {
	return &estimate{cpuFactor: 1, memoryFactor: 1, runTimeFactor: 1}
}

// observeUsage records the peak usage of a finished task.
func (e *estimate) observeUsage(declared, peak Size) {
	if declared.CPUs > 0 && peak.CPUs > 0 {
		e.cpus.add(peak.CPUs / declared.CPUs)
		e.cpuFactor = e.cpus.quantile(cpuQuantile)
	}
	if declared.Memory > 0 && peak.Memory > 0 {
		e.memory.add(float64(peak.Memory) / float64(declared.Memory))
		e.memoryFactor = e.memory.quantile(memoryQuantile)
	}
}

// observeRunTime records the run time of a task that succeeded.
func (e *estimate) observeRunTime(declared, took time.Duration) {
	if declared <= 0 || took <= 0 {
		return
	}
	e.runTime.add(took.Seconds() / declared.Seconds())
	e.runTimeFactor = e.runTime.quantile(cpuQuantile)
}

// need returns the expected usage of a task with the declared size.
func (e *estimate) need(declared Size) Size {
	return Size{
		CPUs:         declared.CPUs * e.cpuFactor,
		Memory:       scaleMemory(declared.Memory, e.memoryFactor),
		Accelerators: declared.Accelerators,
	}
}
