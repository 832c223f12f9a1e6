package courier

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/fleet"
	"github.com/lovagedyke/lovagedyke/internal/record"
)

const (
	// directPerCore and directPerMbps are how many endpoints a leader calls itself,
	// per CPU core and per Mbit/s of its link.
	directPerCore = 450.0
	directPerMbps = 18.0
	// carriedPerCore and carriedPerMbps are how many a courier is given: it accepts
	// callers' jobs as well.
	carriedPerCore = 150.0
	carriedPerMbps = 15.0
	// messagesPerCore is how many messages a second a leader sends to all couriers, per CPU core.
	messagesPerCore = 800.0
	// maxMessageInterval bounds the time between two messages to one courier: orders wait for it.
	maxMessageInterval = 120 * time.Millisecond
)

// messageInterval returns the shortest time between two messages of a leader to each of its couriers.
// A message costs the leader more than the orders in it.
func messageInterval(couriers int, leader record.Member) time.Duration {
	if leader.CPUCores <= 0 {
		return 0
	}
	interval := time.Duration(float64(couriers) / (messagesPerCore * leader.CPUCores) * float64(time.Second))
	return min(maxMessageInterval, interval)
}

// directLimit returns how many endpoints a leader calls without couriers.
func directLimit(leader record.Member) float64 {
	return limitOf(leader, directPerCore, directPerMbps)
}

// carried returns how many endpoints a courier is given.
func carried(member record.Member) float64 {
	return limitOf(member, carriedPerCore, carriedPerMbps)
}

// limitOf returns the lower of two limits; a figure that is not known sets none.
func limitOf(member record.Member, perCore, perMbps float64) float64 {
	limit := math.Inf(1)
	if member.CPUCores > 0 {
		limit = member.CPUCores * perCore
	}
	if member.LinkMbps > 0 {
		limit = min(limit, member.LinkMbps*perMbps)
	}
	return limit
}

// chooseCouriers returns the members that carry a leader's orders to so many
// endpoints: as few as can, or none if the leader can do without.
func chooseCouriers(endpoints int, leader record.Member, members []record.Member) []record.Member {
	if float64(endpoints) <= directLimit(leader) {
		return nil
	}
	able := slices.DeleteFunc(slices.Clone(members), func(member record.Member) bool {
		// An unknown size is that of an older version, which carries nothing.
		return member.CPUCores <= 0 || member.LinkMbps <= 0
	})
	slices.SortFunc(able, func(a, b record.Member) int {
		return cmp.Or(cmp.Compare(carried(b), carried(a)), cmp.Compare(a.Name, b.Name))
	})
	room := 0.0
	for i, member := range able {
		room += carried(member)
		if room >= float64(endpoints) {
			return able[:i+1]
		}
	}
	return able
}

// courierOf returns the index of the courier that carries an endpoint's orders, or
// -1 if there is none. Weighted rendezvous hashing: a courier that comes or goes
// changes the way to no other's endpoints.
func courierOf(endpoint fleet.EndpointID, couriers []record.Member) int {
	best, bestScore := -1, math.Inf(-1)
	for i, member := range couriers {
		hash := fnv.New64a()
		_, _ = hash.Write([]byte(member.Name)) // never fails
		_, _ = hash.Write([]byte{0})
		_, _ = hash.Write([]byte(endpoint))
		uniform := (float64(mix(hash.Sum64())>>11) + 0.5) / (1 << 53)
		if score := -carried(member) / math.Log(uniform); score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// mix spreads a hash's low bits over all of it, as splitmix64 does: FNV alone
// leaves names that differ in the last byte close together.
func mix(hash uint64) uint64 {
	hash = (hash ^ hash>>30) * 0xbf58476d1ce4e5b9
	hash = (hash ^ hash>>27) * 0x94d049bb133111eb
	return hash ^ hash>>31
}
