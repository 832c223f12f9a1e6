package fleet

// layer is a kind of need for hosts; lower ones are met first.
type layer int

const (
	// layerLeast is what a pool keeps, and what its lasting tasks take.
	layerLeast layer = iota
	// layerInTime is work that can meet its objective, or will arrive soon.
	layerInTime
	// layerLate is work that is still of some use.
	layerLate
	// layerAll is all that waits.
	layerAll

	layers
)

// portions divides hosts over pools that need more than there are. Each need
// counts the hosts that a pool wants for a layer and those below it. A layer is
// met in all pools before the next one begins, so that a pool's backlog that
// comes too late anyway takes no hosts from another's work that is in time. The
// layer that can't be met in full is divided evenly, up to what each pool wants.
func portions(total int, needs [][layers]int) []int {
	out := make([]int, len(needs))
	for at := range layers {
		wanted := 0
		for i, need := range needs {
			wanted += max(0, need[at]-out[i])
		}
		if wanted > total {
			raise(total, out, needs, at)
			return out
		}
		for i, need := range needs {
			out[i] = max(out[i], need[at])
		}
		total -= wanted
	}
	return out
}

// raise hands out hosts one by one, each to the pool that wants more and has got
// the fewest of this layer.
func raise(total int, out []int, needs [][layers]int, at layer) {
	got := make([]int, len(needs))
	for ; total > 0; total-- {
		best := -1
		for i, need := range needs {
			if out[i] < need[at] && (best < 0 || got[i] < got[best]) {
				best = i
			}
		}
		if best < 0 {
			return
		}
		out[best]++
		got[best]++
	}
}
