package roster

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"
)

// AckPrefix starts the keys of the acknowledgement rows, one for each identity.
const AckPrefix = "roster-ack/"

// AckKey is the row in which the member acknowledges roster versions.
func AckKey(id Identity) string {
	return AckPrefix + id.String()
}

// Ack is the value of an acknowledgement row: the member no longer acts under
// versions below Version, and what it granted under them is in the table.
type Ack struct {
	Identity
	Version uint64 `json:"version"`
}

// Encode returns the row's value.
func (a Ack) Encode() []byte {
	value, err := json.Marshal(a)
	if err != nil {
		panic(err)
	}
	return value
}

// Acks maps each identity to the version that it acknowledged.
type Acks map[Identity]uint64

// Add decodes an acknowledgement row into the map.
func (a Acks) Add(value []byte) error {
	var ack Ack
	if err := json.Unmarshal(value, &ack); err != nil {
		return fmt.Errorf("acknowledgement row does not decode: %w", err)
	}
	a[ack.Identity] = max(a[ack.Identity], ack.Version)
	return nil
}

// Obsolete returns the identities whose acknowledgement rows can be deleted:
// they are neither members nor part of a former generation.
func (r Roster) ObsoleteAcks(acks Acks) []Identity {
	var obsolete []Identity
	for id := range acks {
		if !r.Contains(id) && !mentions(r.Past, id) {
			obsolete = append(obsolete, id)
		}
	}
	slices.SortFunc(obsolete, func(a, b Identity) int { return strings.Compare(a.String(), b.String()) })
	return obsolete
}

// Standing tells whether the present home of a key may act on it.
type KeyState int

// Standings of a key.
const (
	// Settled: all that former homes granted is in the table.
	Reconciled KeyState = iota
	// Waiting: a former home may still act, or its grants are not flushed.
	Pending
	// Lost: home and second of a former generation both ended unflushed.
	Lost
)

// Status returns the standing of key, and the time of the latest loss if it is
// Lost. A former generation is settled by its home's acknowledgement, or by its
// second's once the home is proven gone. A home that is merely cut off keeps
// the key waiting: it could still answer for it.
func (r Roster) Status(key string, acks Acks) (standing KeyState, lostAt time.Time) {
	for _, generation := range r.Past {
		state, at := generation.status(key, acks, r.Departures)
		if state == Pending {
			return Pending, time.Time{}
		}
		if state == Lost && !at.Before(lostAt) {
			standing = Lost
			lostAt = at
		}
	}
	return standing, lostAt
}

// status returns the standing of key with regard to this generation.
func (g Generation) status(key string, acks Acks, gone []Departure) (KeyState, time.Time) {
	home, second := g.Pair(key)
	if acks[home.Identity] > g.Version {
		return Reconciled, time.Time{}
	}
	homeAt, homeGone := departed(gone, home.Identity)
	if !homeGone {
		return Pending, time.Time{}
	}
	// Without a second nothing can have been granted outside the table.
	if second.Name == "" || acks[second.Identity] > g.Version {
		return Reconciled, time.Time{}
	}
	secondAt, secondGone := departed(gone, second.Identity)
	if !secondGone {
		return Pending, time.Time{}
	}
	if secondAt.After(homeAt) {
		return Lost, secondAt
	}
	return Lost, homeAt
}

// closed reports whether every key is settled, or was lost before the limit.
func (g Generation) closed(keys []string, acks Acks, gone []Departure, limit time.Time) bool {
	for _, key := range keys {
		standing, at := g.status(key, acks, gone)
		if standing == Pending {
			return false
		}
		if standing == Lost && at.After(limit) {
			return false
		}
	}
	return true
}

// departed returns when the identity was proven gone.
func departed(gone []Departure, id Identity) (at time.Time, ok bool) {
	i := slices.IndexFunc(gone, func(d Departure) bool { return d.Identity == id })
	if i < 0 {
		return time.Time{}, false
	}
	return gone[i].At, true
}
