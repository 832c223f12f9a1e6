// Package roster holds the membership of the entries and managers, and names
// the two entries that answer for a key.
//
// The roster is one row of the platform's table, changed only by commits on
// condition of the row's version. While the table is down nothing can change
// it, so every process that knows a version can go on using it.
//
// A change of the active entries moves keys from one pair of entries to
// another. What the former pair granted while the table was down may not be in
// the table yet, so the roster keeps its former generations until each of
// their pairs is settled (see Status).
//
// The functions are pure and the values are not modified in place: a Roster
// can be shared between goroutines.
//
// # Usage
//
// Read the row, change the value, and commit on the version that was read:
//
//	next, changed := roster.Join(current, self)
//	if changed {
//		err = store.Commit(ctx, table.Txn{
//			Conditions: []table.Condition{{Key: roster.Key, Version: row.Version}},
//			Writes:     []table.Write{{Key: roster.Key, Value: next.Encode()}},
//		})
//	}
//	home, second := next.Pair("claim/17")
package roster

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"time"
)

// Key is the table row that holds the roster.
const Key = "roster"

// maxPast bounds the generations kept for settling. A change that would pass
// it is refused until the former ones settle or the retention ends.
const maxPast = 64

// Role is what a process does.
type Role string

// Roles of a member. Only entries hold keys.
const (
	RoleEntry   Role = "entry"
	RoleManager Role = "manager"
)

// State tells whether a member takes new work.
type State string

// States of a member. A leaving member holds no keys.
const (
	StateActive  State = "active"
	StateLeaving State = "leaving"
)

// Identity names one run of one process. Incarnations of a name grow.
type Identity struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
}

// String returns name and incarnation, as used in table keys.
func (i Identity) String() string {
	return fmt.Sprintf("%s/%d", i.Name, i.Incarnation)
}

// Member is one process of the deployment.
type Member struct {
	Identity
	// Host is the name of its host in the platform's list.
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

// Departure records a process that will never act again.
type Departure struct {
	Identity
	At time.Time `json:"at"`
}

// Generation is a former set of active entries; Version is the last roster
// version at which it was in force.
type Generation struct {
	Version uint64   `json:"version"`
	Active  []Member `json:"active"`
}

// Pair returns the entries that answered for key in this generation.
func (g Generation) Pair(key string) (home, second Member) {
	return pair(g.Active, key)
}

// Roster is the value of the row. Gone lists the members of former
// generations that are proven to have ended.
type Roster struct {
	Version    uint64       `json:"version"`
	Members    []Member     `json:"members"`
	Past       []Generation `json:"past,omitempty"`
	Departures []Departure  `json:"gone,omitempty"`
}

// Decode reads the row's value. An empty value is a roster without members.
func Decode(value []byte) (Roster, error) {
	var r Roster
	if len(value) == 0 {
		return r, nil
	}
	if err := json.Unmarshal(value, &r); err != nil {
		return Roster{}, fmt.Errorf("roster row does not decode: %w", err)
	}
	return r, nil
}

// Encode returns the row's value.
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

// Contains reports whether this very incarnation is a member.
func (r Roster) Contains(id Identity) bool {
	member, ok := r.Find(id.Name)
	return ok && member.Identity == id
}

// Active returns the entries that hold keys, in order of name.
func (r Roster) Active() []Member {
	var active []Member
	for _, member := range r.Members {
		if member.holdsKeys() {
			active = append(active, member)
		}
	}
	return active
}

// Pair returns the two entries that answer for key: its home, and a second in
// another data centre where there is one. A missing member is the zero Member.
func (r Roster) Pair(key string) (home, second Member) {
	return pair(r.Active(), key)
}
