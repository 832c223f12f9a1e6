package roster

import (
	"slices"
	"strings"
	"time"
)

// Evidence is why a member may be removed. Silence is no evidence.
type Evidence string

// Kinds of evidence.
const (
	// EvidenceHostGone means that the platform's list has been without the
	// host for longer than the list's lag.
	EvidenceHostGone Evidence = "host-gone"
	// EvidenceReplaced means that a newer process answers at its address.
	EvidenceReplaced Evidence = "replaced"
	// EvidenceAcknowledged means that the member is leaving and acknowledged
	// a version in which it holds no keys.
	EvidenceAcknowledged Evidence = "acknowledged"
)

// Join adds a member. An older incarnation of the name is replaced if it stood
// at the same address, which proves that it has ended; at another address it
// must be removed first. A join by an older incarnation changes nothing.
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
	var gone []Departure
	if exists {
		gone = []Departure{{Identity: old.Identity, At: now}}
	}
	return advance(r, members, gone)
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

// Remove takes the member out, given evidence that it will not act again.
func Remove(r Roster, id Identity, evidence Evidence, now time.Time) (next Roster, changed bool) {
	member, ok := r.Find(id.Name)
	if !ok || member.Identity != id {
		return r, false
	}
	var gone []Departure
	switch evidence {
	case EvidenceHostGone, EvidenceReplaced:
		gone = []Departure{{Identity: id, At: now}}
	case EvidenceAcknowledged:
		if member.State != StateLeaving {
			return r, false
		}
	default:
		return r, false
	}
	return advance(r, without(r.Members, id.Name), gone)
}

// Prune drops the generations whose keys are all settled, and those with lost
// keys once retention has passed since the loss. The version does not change.
func Prune(r Roster, keys []string, acks Acks, now time.Time, retention time.Duration) (next Roster, changed bool) {
	next = r
	next.Past = nil
	for _, generation := range r.Past {
		if !generation.closed(keys, acks, r.Departures, now.Add(-retention)) {
			next.Past = append(next.Past, generation)
		}
	}
	next.Departures = nil
	for _, departure := range r.Departures {
		if mentions(next.Past, departure.Identity) {
			next.Departures = append(next.Departures, departure)
		}
	}
	return next, len(next.Past) != len(r.Past) || len(next.Departures) != len(r.Departures)
}

// advance returns the next version with the members and the departures added.
func advance(r Roster, members []Member, gone []Departure) (Roster, bool) {
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	next := Roster{Version: r.Version + 1, Members: members}
	next.Past = slices.Clone(r.Past)
	next.Departures = append(slices.Clone(r.Departures), gone...)
	if active := r.Active(); len(active) > 0 && !slices.Equal(active, next.Active()) {
		next.Past = append(next.Past, Generation{Version: r.Version, Active: active})
	}
	if len(next.Past) > maxPast {
		return r, false
	}
	return next, true
}

// without returns a copy of the members but for the name.
func without(members []Member, name string) []Member {
	return slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.Name == name })
}

// mentions reports whether the identity was active in a generation.
func mentions(past []Generation, id Identity) bool {
	return slices.ContainsFunc(past, func(g Generation) bool {
		return slices.ContainsFunc(g.Active, func(m Member) bool { return m.Identity == id })
	})
}
