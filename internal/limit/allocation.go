package limit

import (
	"encoding/json"
	"fmt"
	"slices"
)

// KeyPrefix starts the key of every limit row in the table.
const KeyPrefix = "limit/"

// Key returns the key of the table row that holds the team's Allocation.
func Key(team string) string {
	return KeyPrefix + team
}

// Member names one incarnation of a process as "<name>/<incarnation>". A
// restarted process is a new member and holds nothing.
type Member string

// Allocation is the value of a team's row in the table: how many permits each
// member was granted. Writers update the row only on condition of the version
// that they read, and never delete it, since generations must not start over.
//
// Within a generation Limit and each entry of Granted only rise. The sum of
// Granted and of the carried bounds never exceeds Limit.
type Allocation struct {
	Team       string `json:"team"`
	Generation uint64 `json:"generation"`
	Limit      int    `json:"limit"`
	// Granted lists every member that may transfer permits in this generation.
	Granted map[Member]int `json:"granted"`
	// Carried lists members that did not report when their generation ended.
	// They stay in that generation until a manager has their report.
	Carried map[Member]Carry `json:"carried,omitempty"`
}

// ParseAllocation decodes a row's value. It rejects a row that allocates more
// permits than its limit, so that no work starts on a corrupted row.
func ParseAllocation(value []byte) (Allocation, error) {
	var row Allocation
	if err := json.Unmarshal(value, &row); err != nil {
		return Allocation{}, fmt.Errorf("limit row is not valid JSON: %w", err)
	}
	if row.Team == "" || row.Generation == 0 {
		return Allocation{}, fmt.Errorf("limit row of team %q has generation %d", row.Team, row.Generation)
	}
	for m, n := range row.Granted {
		if n < 0 {
			return Allocation{}, fmt.Errorf("limit row of team %q grants %d permits to %q", row.Team, n, m)
		}
	}
	if total := row.Total(); total > row.Limit {
		return Allocation{}, fmt.Errorf("limit row of team %q allocates %d permits, above its limit of %d", row.Team, total, row.Limit)
	}
	return row, nil
}

// Carry bounds the permits that unreported members hold in a generation that
// has ended. Only the sum over all members of the same generation is a bound:
// they may have transferred permits among each other, so a single value may
// even be negative.
type Carry struct {
	Generation uint64 `json:"generation"`
	Bound      int    `json:"bound"`
}

// Total returns the number of permits, granted and carried.
func (row Allocation) Total() int {
	sum := 0
	for _, n := range row.Granted {
		sum += n
	}
	for _, carry := range row.Carried {
		sum += carry.Bound
	}
	return sum
}

// generationOf returns the generation that the row assigns the member, or
// false if the row doesn't list the member.
func (row Allocation) generationOf(m Member) (uint64, bool) {
	if carry, ok := row.Carried[m]; ok {
		return carry.Generation, true
	}
	_, ok := row.Granted[m]
	return row.Generation, ok
}

// members returns all members of the row in order.
func (row Allocation) members() []Member {
	all := make([]Member, 0, len(row.Granted)+len(row.Carried))
	for m := range row.Granted {
		all = append(all, m)
	}
	for m := range row.Carried {
		all = append(all, m)
	}
	slices.Sort(all)
	return all
}
