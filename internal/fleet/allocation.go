package fleet

// tier is a class of host demand; lower tiers are satisfied first.
type tier int

const (
	// tierMinimum is the minimum size of a pool, and the demand of its persistent tasks.
	tierMinimum tier = iota
	// tierOnTime adds work that can meet its objective, and work expected to arrive soon.
	tierOnTime
	// tierLate adds work that will be late but still of use.
	tierLate
	// tierAll adds all remaining work.
	tierAll

	tierCount
)

// allocate divides hosts among pools that need more than there are. Each need is
// cumulative: the hosts that a pool wants for a tier and all lower ones. A tier is
// satisfied in all pools before the next one, so that a backlog that will be too late
// takes no hosts from another pool's work that can be on time. The first tier that
// cannot be satisfied is divided evenly, up to what each pool wants.
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

// distributeEvenly allocates hosts one by one, each to the pool that still wants
// hosts and has received the fewest in this tier.
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
