package limit

import (
	"encoding/json"
	"fmt"
	"slices"
)

// KeyPrefix starts the key of every limit row in the table.
const KeyPrefix = "limit/"

// Key returns the key of the table row that holds the team's Grant.
func Key(team string) string {
	return KeyPrefix + team
}

// Member names one incarnation of a process as "<name>/<incarnation>". A
// restarted process is a new member and holds nothing.
type Member string

// Grant is the value of a team's row: how many permits each member was minted.
// A writer changes the row only on condition of the version that it read, and
// never deletes it, since generations must not start over.
//
// Within a generation Limit and each entry of Granted only rise. The sum of
// Granted and of the carried bounds never exceeds Limit.
type Allocation struct {
	Team       string `json:"team"`
	Generation uint64 `json:"generation"`
	Limit      int    `json:"limit"`
	// Granted lists every member that may trade permits in this generation.
	Granted map[Member]int `json:"granted"`
	// Carried lists members that did not report when their generation ended.
	// They stay in that generation until a manager has their report.
	Carried map[Member]Carry `json:"carried,omitempty"`
}

// ParseGrant decodes a row's value and refuses one that would mint more than
// its limit, since work must not start on a row that another hand has spoilt.
func ParseAllocation(value []byte) (Allocation, error) {
	var g Allocation
	if err := json.Unmarshal(value, &g); err != nil {
		return Allocation{}, fmt.Errorf("limit row is not valid JSON: %w", err)
	}
	if g.Team == "" || g.Generation == 0 {
		return Allocation{}, fmt.Errorf("limit row of team %q has generation %d", g.Team, g.Generation)
	}
	for m, n := range g.Granted {
		if n < 0 {
			return Allocation{}, fmt.Errorf("limit row of team %q grants %d permits to %q", g.Team, n, m)
		}
	}
	if minted := g.Total(); minted > g.Limit {
		return Allocation{}, fmt.Errorf("limit row of team %q mints %d permits above its limit of %d", g.Team, minted, g.Limit)
	}
	return g, nil
}

// Carry bounds what unreported members hold in a generation that has ended.
// Only the sum over all members with the same generation is a bound: they may
// have traded among each other, so that a single value may even be negative.
type Carry struct {
	Generation uint64 `json:"generation"`
	Bound      int    `json:"bound"`
}

// Minted returns the permits that the row accounts for.
func (g Allocation) Total() int {
	sum := 0
	for _, n := range g.Granted {
		sum += n
	}
	for _, carry := range g.Carried {
		sum += carry.Bound
	}
	return sum
}

// expects returns the generation that the member trades in according to the
// row, and false when the row does not know the member.
func (g Allocation) expects(m Member) (uint64, bool) {
	if carry, ok := g.Carried[m]; ok {
		return carry.Generation, true
	}
	_, ok := g.Granted[m]
	return g.Generation, ok
}

// members returns all members of the row in order.
func (g Allocation) members() []Member {
	all := make([]Member, 0, len(g.Granted)+len(g.Carried))
	for m := range g.Granted {
		all = append(all, m)
	}
	for m := range g.Carried {
		all = append(all, m)
	}
	slices.Sort(all)
	return all
}
