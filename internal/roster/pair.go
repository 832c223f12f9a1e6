package roster

import (
	"github.com/cespare/xxhash/v2"
)

// pair chooses the primary and secondary entry of a key among the active members
// by rendezvous hashing. The secondary is in another data centre if possible, so
// that the loss of one data centre does not affect both.
func pair(active []Member, key string) (primary, secondary Member) {
	primary = highestWeight(active, key, func(Member) bool { return true })
	secondary = highestWeight(active, key, func(m Member) bool { return m.DataCentre != primary.DataCentre })
	if secondary.Name == "" {
		secondary = highestWeight(active, key, func(m Member) bool { return m.Name != primary.Name })
	}
	return primary, secondary
}

// highestWeight returns the allowed member with the highest hash for the key.
func highestWeight(active []Member, key string, allowed func(Member) bool) Member {
	var winner Member
	var highest uint64
	for _, member := range active {
		if !allowed(member) {
			continue
		}
		weight := xxhash.Sum64String(key + "\x00" + member.Name)
		if winner.Name == "" || weight > highest {
			winner = member
			highest = weight
		}
	}
	return winner
}
