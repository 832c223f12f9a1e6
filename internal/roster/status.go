package roster

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"
)

// AckPrefix is the prefix of the keys of acknowledgement rows.
const AckPrefix = "roster-ack/"

// AckKey returns the key of the row in which the member acknowledges roster
// versions.
func AckKey(id Identity) string {
	return AckPrefix + id.String()
}

// Ack is the value of an acknowledgement row. The member no longer acts under
// versions below Version, and everything that it granted under them is in the
// table.
type Ack struct {
	Identity
	Version uint64 `json:"version"`
}

// Encode returns the value of the acknowledgement row.
func (a Ack) Encode() []byte {
	value, err := json.Marshal(a)
	if err != nil {
		panic(err)
	}
	return value
}

// Acks maps each identity to the newest version that it acknowledged.
type Acks map[Identity]uint64

// Add decodes the value of an acknowledgement row and adds it to the map.
func (a Acks) Add(value []byte) error {
	var ack Ack
	if err := json.Unmarshal(value, &ack); err != nil {
		return fmt.Errorf("decode acknowledgement row: %w", err)
	}
	a[ack.Identity] = max(a[ack.Identity], ack.Version)
	return nil
}

// ObsoleteAcks returns the identities whose acknowledgement rows can be deleted:
// they are neither members nor part of a former generation.
func (r Roster) ObsoleteAcks(acks Acks) []Identity {
	var obsolete []Identity
	for id := range acks {
		if !r.Contains(id) && !activeIn(r.Past, id) {
			obsolete = append(obsolete, id)
		}
	}
	slices.SortFunc(obsolete, func(a, b Identity) int { return strings.Compare(a.String(), b.String()) })
	return obsolete
}

// KeyState tells whether the present primary of a key may act on it.
type KeyState int

// States of a key.
const (
	// Reconciled: all grants of former primaries are in the table.
	Reconciled KeyState = iota
	// Pending: a former primary may still act, or its grants may not be in the
	// table yet.
	Pending
	// Lost: the primary and the secondary of a former generation both ended
	// before their grants were in the table.
	Lost
)

// Status returns the state of a key, and the time of the latest loss if it is
// Lost. A former generation is reconciled by the acknowledgement of its primary,
// or of its secondary once the primary is proven to have ended. A primary that is
// only unreachable keeps the key pending, because it could still act on it.
func (r Roster) Status(key string, acks Acks) (state KeyState, lostAt time.Time) {
	for _, generation := range r.Past {
		former, at := generation.status(key, acks, r.Departures)
		if former == Pending {
			return Pending, time.Time{}
		}
		if former == Lost && !at.Before(lostAt) {
			state = Lost
			lostAt = at
		}
	}
	return state, lostAt
}

// status returns the state of a key with regard to this generation.
func (g Generation) status(key string, acks Acks, departures []Departure) (KeyState, time.Time) {
	primary, secondary := g.Pair(key)
	if acks[primary.Identity] > g.Version {
		return Reconciled, time.Time{}
	}
	primaryAt, primaryGone := departureTime(departures, primary.Identity)
	if !primaryGone {
		return Pending, time.Time{}
	}
	// Without a secondary nothing can have been granted outside the table.
	if secondary.Name == "" || acks[secondary.Identity] > g.Version {
		return Reconciled, time.Time{}
	}
	secondaryAt, secondaryGone := departureTime(departures, secondary.Identity)
	if !secondaryGone {
		return Pending, time.Time{}
	}
	if secondaryAt.After(primaryAt) {
		return Lost, secondaryAt
	}
	return Lost, primaryAt
}

// prunable reports whether each key is reconciled, or was lost before the limit.
func (g Generation) prunable(keys []string, acks Acks, departures []Departure, limit time.Time) bool {
	for _, key := range keys {
		state, at := g.status(key, acks, departures)
		if state == Pending {
			return false
		}
		if state == Lost && at.After(limit) {
			return false
		}
	}
	return true
}

// departureTime returns the time at which the identity was proven to have ended.
func departureTime(departures []Departure, id Identity) (at time.Time, ok bool) {
	i := slices.IndexFunc(departures, func(d Departure) bool { return d.Identity == id })
	if i < 0 {
		return time.Time{}, false
	}
	return departures[i].At, true
}
