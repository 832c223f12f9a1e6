// Package catalogue represents the teams, services and queues that operators
// declare.
//
// # Usage
//
// A catalogue is read from an INI file or from the JSON of the operators' API.
// All mistakes are reported at once:
//
//	desired, problems := catalogue.Parse("catalogue.ini", file)
//	if err := problems.Err(); err != nil {
//		return err
//	}
//	for _, change := range catalogue.Diff(current, desired) {
//		fmt.Println(change)
//	}
//
// Values are immutable by convention: call Clone before changing a map.
package catalogue

import (
	"maps"
	"slices"
)

// Catalogue holds all teams and entries by name. Services and queues share one
// namespace.
type Catalogue struct {
	Teams   map[string]Team
	Entries map[string]Entry
}

// New returns an empty catalogue.
func New() Catalogue {
	return Catalogue{Teams: make(map[string]Team), Entries: make(map[string]Entry)}
}

// Clone returns a copy whose maps may be changed.
func (c Catalogue) Clone() Catalogue {
	clone := New()
	maps.Copy(clone.Teams, c.Teams)
	for name, entry := range c.Entries {
		entry.Shares = maps.Clone(entry.Shares)
		clone.Entries[name] = entry
	}
	return clone
}

// TeamNames returns the sorted names of the teams.
func (c Catalogue) TeamNames() []string {
	return slices.Sorted(maps.Keys(c.Teams))
}

// EntryNames returns the sorted names of the entries.
func (c Catalogue) EntryNames() []string {
	return slices.Sorted(maps.Keys(c.Entries))
}

// Weight returns the team's weight in competing for the entry: the weight in
// the entry's shares, else the team's own share if the entry admits the team,
// as an open queue does, else 0.
func (c Catalogue) Weight(entry Entry, team string) int {
	if weight, ok := entry.Shares[team]; ok {
		return weight
	}
	if entry.Admits(team) {
		return max(1, c.Teams[team].Share)
	}
	return 0
}

// Team is a group of submitters with a common limit.
type Team struct {
	Name string
	// UpperLimit bounds the team's running work across the fleet.
	UpperLimit int
	// Share is the team's weight for entries whose shares don't list it.
	Share int
}
