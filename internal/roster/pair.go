package roster

import (
	"github.com/cespare/xxhash/v2"
)

// pair chooses home and second among the active members by rendezvous hashing.
// The second stands in another data centre where it can, so that the loss of
// one data centre does not take both.
func pair(active []Member, key string) (home, second Member) {
	home = best(active, key, func(Member) bool { return true })
	second = best(active, key, func(m Member) bool { return m.DataCentre != home.DataCentre })
	if second.Name == "" {
		second = best(active, key, func(m Member) bool { return m.Name != home.Name })
	}
	return home, second
}

// best returns the member with the highest weight for key among the allowed.
func best(active []Member, key string, allowed func(Member) bool) Member {
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
