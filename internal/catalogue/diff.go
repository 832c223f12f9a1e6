package catalogue

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Op is the kind of change made to a team or entry.
type Op string

// Ops of a change.
const (
	OpAdd    Op = "add"
	OpChange Op = "change"
	OpRemove Op = "remove"
)

// Change is the difference of one team or entry.
type Change struct {
	Op   Op     `json:"op"`
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Fields lists "name: old -> new" for each field that differs.
	Fields []string `json:"fields,omitempty"`
}

// String returns "+ service orders", "~ team acme (share: 1 -> 2)" or "- queue plans".
func (c Change) String() string {
	sign := map[Op]string{OpAdd: "+", OpChange: "~", OpRemove: "-"}[c.Op]
	text := fmt.Sprintf("%s %s %s", sign, c.Kind, c.Name)
	if len(c.Fields) > 0 {
		text += " (" + strings.Join(c.Fields, ", ") + ")"
	}
	return text
}

// Diff returns the changes that turn before into after: teams first, then
// entries, each sorted by name. Revisions are not compared.
func Diff(before, after Catalogue) []Change {
	var changes []Change
	for _, name := range sortedUnion(before.Teams, after.Teams) {
		a, inBefore := before.Teams[name]
		b, inAfter := after.Teams[name]
		changes = appendChange(changes, "team", name, teamFields(a, inBefore), teamFields(b, inAfter))
	}
	for _, name := range sortedUnion(before.Entries, after.Entries) {
		a, inBefore := before.Entries[name]
		b, inAfter := after.Entries[name]
		kind := string(b.Kind)
		if !inAfter {
			kind = string(a.Kind)
		}
		changes = appendChange(changes, kind, name, entryFields(a, inBefore), entryFields(b, inAfter))
	}
	return changes
}

func appendChange(changes []Change, kind, name string, before, after []field) []Change {
	change := Change{Kind: kind, Name: name}
	switch {
	case before == nil:
		change.Op = OpAdd
	case after == nil:
		change.Op = OpRemove
	default:
		change.Op = OpChange
		for i := range before {
			if before[i].value != after[i].value {
				change.Fields = append(change.Fields, fmt.Sprintf("%s: %s -> %s", before[i].name, before[i].value, after[i].value))
			}
		}
		if len(change.Fields) == 0 {
			return changes
		}
	}
	return append(changes, change)
}

// sortedUnion returns the sorted keys of both maps, without duplicates.
func sortedUnion[V any](a, b map[string]V) []string {
	names := slices.AppendSeq(slices.Collect(maps.Keys(a)), maps.Keys(b))
	slices.Sort(names)
	return slices.Compact(names)
}
