package fleet

// tier is a kind of need for hosts; lower ones are met first.
type tier int

const (
	// tierMinimum is what a pool keeps, and what its lasting tasks take.
	tierMinimum tier = iota
	// tierOnTime is work that can meet its objective, or will arrive soon.
	tierOnTime
	// tierLate is work that is still of some use.
	tierLate
	// tierAll is all that waits.
	tierAll

	tierCount
)

// allocate divides hosts over pools that need more than there are. Each need
// counts the hosts that a pool wants for a layer and those below it. A layer is
// met in all pools before the next one begins, so that a pool's backlog that
// comes too late anyway takes no hosts from another's work that is in time. The
// layer that can't be met in full is divided evenly, up to what each pool wants.
func allocate(total int, needs [][tierCount]int) []int {
	allocated := make([]int, len(needs))
	for t := range tierCount {
		wanted := 0
		for i, need := range needs {
			wanted += max(0, need[t]-allocated[i])
		}
		if wanted > total {
			distributeEvenly(total, allocated, needs, t)
			return allocated
		}
		for i, need := range needs {
			allocated[i] = max(allocated[i], need[t])
		}
		total -= wanted
	}
	return allocated
}

// distributeEvenly hands out hosts one by one, each to the pool that wants more and has got
// the fewest of this layer.
func distributeEvenly(total int, allocated []int, needs [][tierCount]int, t tier) {
	received := make([]int, len(needs))
	for ; total > 0; total-- {
		best := -1
		for i, need := range needs {
			if allocated[i] < need[t] && (best < 0 || received[i] < received[best]) {
				best = i
			}
		}
		if best < 0 {
			return
		}
		allocated[best]++
		received[best]++
	}
}
