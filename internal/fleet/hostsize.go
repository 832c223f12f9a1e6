package fleet

import (
	"cmp"
	"math"
	"slices"

	"github.com/lovagedyke/lovagedyke/internal/job"
	"github.com/lovagedyke/lovagedyke/internal/policy"
)

// maxHostSizes bounds the different sizes of hosts that are told to other processes.
const maxHostSizes = 64

// HostSize is a number of hosts of the same size.
type HostSize struct {
	Capacity policy.Resources
	Count    int
}

// HostSizes returns the sizes of all hosts, also of those that are away or evacuated, or nil if they are
// not known or differ too much.
func (l *Leader) HostSizes() []HostSize {
	if !l.hosts.isLoaded {
		return nil
	}
	l.visit(len(l.hosts.list))
	counts := map[policy.Resources]int{}
	for _, h := range l.hosts.list {
		if h.row.Capacity == (policy.Resources{}) {
			return nil
		}
		counts[h.row.Capacity]++
	}
	if len(counts) > maxHostSizes {
		return nil
	}
	sizes := make([]HostSize, 0, len(counts))
	for capacity, count := range counts {
		sizes = append(sizes, HostSize{Capacity: capacity, Count: count})
	}
	slices.SortFunc(sizes, func(a, b HostSize) int {
		return cmp.Or(cmp.Compare(a.Capacity.CPU, b.Capacity.CPU), cmp.Compare(a.Capacity.Memory, b.Capacity.Memory), cmp.Compare(a.Capacity.GPU, b.Capacity.GPU))
	})
	return sizes
}

// MaxTasksAtOnce returns how many of a step's tasks run at the same time if all hosts are in its pool and
// have no other work.
func MaxTasksAtOnce(step job.Step, sizes []HostSize) int {
	most := 0
	for _, size := range sizes {
		perHost := fitting(step.Reserved(), size.Capacity)
		if step.MaxPerEndpoint > 0 {
			perHost = min(perHost, step.MaxPerEndpoint)
		}
		if perHost > (math.MaxInt-most)/max(1, size.Count) {
			return math.MaxInt
		}
		most += perHost * size.Count
	}
	return most
}

// fitting returns how many times an amount fits into a capacity.
func fitting(amount, capacity policy.Resources) int {
	times := int64(math.MaxInt)
	for _, resource := range [][2]int64{{amount.CPU, capacity.CPU}, {amount.Memory, capacity.Memory}, {amount.GPU, capacity.GPU}} {
		if resource[0] > 0 {
			times = min(times, max(0, resource[1]/resource[0]))
		}
	}
	return int(times)
}
