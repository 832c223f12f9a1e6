package roster

import (
	"slices"
	"strings"
	"time"
)

// Evidence is the proof that a member may be removed. Silence of a member is not
// evidence.
type Evidence string

// Kinds of evidence.
const (
	// EvidenceHostGone means that the host has been missing from the platform's
	// list for longer than the list's lag.
	EvidenceHostGone Evidence = "host-gone"
	// EvidenceReplaced means that a newer process responds at the member's
	// address.
	EvidenceReplaced Evidence = "replaced"
	// EvidenceAcknowledged means that the member is leaving and acknowledged
	// a version in which it holds no keys.
	EvidenceAcknowledged Evidence = "acknowledged"
)

// Join adds a member. An older incarnation of the same name is replaced if it has
// the same address, which proves that it has ended. An older incarnation at
// another address must be removed first. Joining with an older incarnation than
// the present one, or with the same one, changes nothing.
func Join(r Roster, member Member, now time.Time) (next Roster, changed bool) {
	old, exists := r.Find(member.Name)
	if exists && old.Incarnation >= member.Incarnation {
		return r, false
	}
	if exists && old.Address != member.Address {
		return r, false
	}
	members := without(r.Members, member.Name)
	members = append(members, member)
	var departures []Departure
	if exists {
		departures = []Departure{{Identity: old.Identity, At: now}}
	}
	return advance(r, members, departures)
}

// Leave marks the member as leaving; its keys move to other members.
func Leave(r Roster, id Identity) (next Roster, changed bool) {
	member, ok := r.Find(id.Name)
	if !ok || member.Identity != id || member.State == StateLeaving {
		return r, false
	}
	member.State = StateLeaving
	members := append(without(r.Members, id.Name), member)
	return advance(r, members, nil)
}

// Remove removes a member, given evidence that it will not act again.
func Remove(r Roster, id Identity, evidence Evidence, now time.Time) (next Roster, changed bool) {
	member, ok := r.Find(id.Name)
	if !ok || member.Identity != id {
		return r, false
	}
	var departures []Departure
	switch evidence {
	case EvidenceHostGone, EvidenceReplaced:
		departures = []Departure{{Identity: id, At: now}}
	case EvidenceAcknowledged:
		if member.State != StateLeaving {
			return r, false
		}
	default:
		return r, false
	}
	return advance(r, without(r.Members, id.Name), departures)
}

// Prune drops the generations whose keys are all reconciled, and those with lost
// keys once the retention has passed since the loss. The version does not change.
func Prune(r Roster, keys []string, acks Acks, now time.Time, retention time.Duration) (next Roster, changed bool) {
	next = r
	next.Past = nil
	for _, generation := range r.Past {
		if !generation.prunable(keys, acks, r.Departures, now.Add(-retention)) {
			next.Past = append(next.Past, generation)
		}
	}
	next.Departures = nil
	for _, departure := range r.Departures {
		if activeIn(next.Past, departure.Identity) {
			next.Departures = append(next.Departures, departure)
		}
	}
	return next, len(next.Past) != len(r.Past) || len(next.Departures) != len(r.Departures)
}

// advance returns the next version of the roster with the given members and
// additional departures. It changes nothing if there would be more than
// maxGenerations former generations.
func advance(r Roster, members []Member, departures []Departure) (Roster, bool) {
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	next := Roster{Version: r.Version + 1, Members: members}
	next.Past = slices.Clone(r.Past)
	next.Departures = append(slices.Clone(r.Departures), departures...)
	if active := r.Active(); len(active) > 0 && !slices.Equal(active, next.Active()) {
		next.Past = append(next.Past, Generation{Version: r.Version, Active: active})
	}
	if len(next.Past) > maxGenerations {
		return r, false
	}
	return next, true
}

// without returns a copy of the members without the named one.
func without(members []Member, name string) []Member {
	return slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.Name == name })
}

// activeIn reports whether the identity was active in any of the generations.
func activeIn(past []Generation, id Identity) bool {
	return slices.ContainsFunc(past, func(g Generation) bool {
		return slices.ContainsFunc(g.Active, func(m Member) bool { return m.Identity == id })
	})
}
