// Package catalogue holds what operators declare: teams, services and queues.
//
// # Usage
//
// A catalogue is read from an INI file, in which every mistake is reported at
// once, or from the JSON of the operators' API:
//
//	desired, problems := catalogue.Parse("catalogue.ini", file)
//	if err := problems.Err(); err != nil {
//		return err
//	}
//	for _, change := range catalogue.Diff(current, desired) {
//		fmt.Println(change)
//	}
//
// Values are immutable by convention: Clone before changing a map.
package catalogue

import (
	"maps"
	"slices"
)

// Catalogue is the whole declaration, by name. Services and queues share one
// name space.
type Catalogue struct {
	Teams   map[string]Team
	Entries map[string]Entry
}

// New returns an empty catalogue.
func New() Catalogue {
	return Catalogue{Teams: make(map[string]Team), Entries: make(map[string]Entry)}
}

// Clone returns a catalogue whose maps may be changed.
func (c Catalogue) Clone() Catalogue {
	clone := New()
	maps.Copy(clone.Teams, c.Teams)
	for name, entry := range c.Entries {
		entry.Shares = maps.Clone(entry.Shares)
		clone.Entries[name] = entry
	}
	return clone
}

// TeamNames returns the teams' names in order.
func (c Catalogue) TeamNames() []string {
	return slices.Sorted(maps.Keys(c.Teams))
}

// EntryNames returns the entries' names in order.
func (c Catalogue) EntryNames() []string {
	return slices.Sorted(maps.Keys(c.Entries))
}

// Weight returns the team's weight when it competes for the entry: the one in
// the entry's shares, or the team's own share on an open queue, or 0 when the
// entry does not admit the team.
func (c Catalogue) Weight(entry Entry, team string) int {
	if weight, ok := entry.Shares[team]; ok {
		return weight
	}
	if entry.Admits(team) {
		return max(1, c.Teams[team].Share)
	}
	return 0
}

// Team is a group of submitters.
type Team struct {
	Name string
	// UpperLimit bounds what the team has running across the fleet.
	UpperLimit int
	// Share is the team's weight where an entry's shares name none.
	Share int
}
