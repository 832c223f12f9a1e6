// Package roster defines the membership of the entries and managers, and which
// two entries are responsible for a key.
//
// The roster is one row of the platform's table, changed only by commits on
// condition of the row's version. It cannot change while the table is down, so
// every process can continue to use the version that it knows.
//
// A change of the active entries moves keys from one pair of entries to
// another. Grants of the former pair, made while the table was down, may not be
// in the table yet. The roster therefore keeps each former generation until all
// of its keys are reconciled (see Status).
//
// The functions are pure and values are not modified in place, so a Roster can be
// shared between goroutines.
//
// # Usage
//
// Read the row, change the value, and commit on condition of the version that was
// read:
//
//	next, changed := roster.Join(current, self, now)
//	if changed {
//		err = store.Commit(ctx, table.Txn{
//			Conditions: []table.Condition{{Key: roster.Key, Version: row.Version}},
//			Writes:     []table.Write{{Key: roster.Key, Value: next.Encode()}},
//		})
//	}
//	primary, secondary := next.Pair("claim/17")
package roster

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"time"
)

// Key is the key of the table row that holds the roster.
const Key = "roster"

// maxGenerations is the maximum number of former generations. A change that would
// exceed it is refused until former generations are reconciled or their retention
// ends.
const maxGenerations = 64

// Role is the role of a process.
type Role string

// Roles of a member. Only entries are assigned keys.
const (
	RoleEntry   Role = "entry"
	RoleManager Role = "manager"
)

// State tells whether a member accepts new work.
type State string

// States of a member. A leaving member is assigned no keys.
const (
	StateActive  State = "active"
	StateLeaving State = "leaving"
)

// Identity identifies one run of a process. Later incarnations of a name have
// higher numbers.
type Identity struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
}

// String returns the name and incarnation, as used in table keys.
func (i Identity) String() string {
	return fmt.Sprintf("%s/%d", i.Name, i.Incarnation)
}

// Member is a process of the deployment.
type Member struct {
	Identity
	// Host is the name of the member's host in the platform's list.
	Host       string         `json:"host"`
	Role       Role           `json:"role"`
	Address    netip.AddrPort `json:"address"`
	DataCentre string         `json:"data-centre"`
	State      State          `json:"state"`
}

// holdsKeys reports whether keys are assigned to the member.
func (m Member) holdsKeys() bool {
	return m.Role == RoleEntry && m.State == StateActive
}

// Departure records that a process has ended and will not act again.
type Departure struct {
	Identity
	At time.Time `json:"at"`
}

// Generation is a former set of active entries. Version is the last roster
// version with this set.
type Generation struct {
	Version uint64   `json:"version"`
	Active  []Member `json:"active"`
}

// Pair returns the entries that were responsible for the key in this generation.
func (g Generation) Pair(key string) (primary, secondary Member) {
	return pair(g.Active, key)
}

// Roster is the value of the roster row. Departures lists the members of former
// generations that are proven to have ended.
type Roster struct {
	Version    uint64       `json:"version"`
	Members    []Member     `json:"members"`
	Past       []Generation `json:"past,omitempty"`
	Departures []Departure  `json:"gone,omitempty"`
}

// Decode decodes the value of the roster row. An empty value is a roster without
// members.
func Decode(value []byte) (Roster, error) {
	var r Roster
	if len(value) == 0 {
		return r, nil
	}
	if err := json.Unmarshal(value, &r); err != nil {
		return Roster{}, fmt.Errorf("decode roster row: %w", err)
	}
	return r, nil
}

// Encode returns the value of the roster row.
func (r Roster) Encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	return value
}

// Find returns the member with the name.
func (r Roster) Find(name string) (Member, bool) {
	i := slices.IndexFunc(r.Members, func(m Member) bool { return m.Name == name })
	if i < 0 {
		return Member{}, false
	}
	return r.Members[i], true
}

// Contains reports whether exactly this incarnation is a member.
func (r Roster) Contains(id Identity) bool {
	member, ok := r.Find(id.Name)
	return ok && member.Identity == id
}

// Active returns the entries that keys are assigned to, sorted by name.
func (r Roster) Active() []Member {
	var active []Member
	for _, member := range r.Members {
		if member.holdsKeys() {
			active = append(active, member)
		}
	}
	return active
}

// Pair returns the two entries that are responsible for the key. The secondary is
// in another data centre if possible. A missing member is the zero Member.
func (r Roster) Pair(key string) (primary, secondary Member) {
	return pair(r.Active(), key)
}
