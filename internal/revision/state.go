package revision

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/lovagedyke/lovagedyke/internal/catalogue"
	"github.com/lovagedyke/lovagedyke/internal/keyring"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

// Keys of the table's rows.
const (
	Prefix        = "config/"
	headKey       = Prefix + "head"
	operationsKey = Prefix + "operations"
	teamPrefix    = Prefix + "team/"
	entryPrefix   = Prefix + "entry/"
	keyPrefix     = Prefix + "key/"

	evacuationPrefix = Prefix + "evacuation/"
)

// State is the configuration at one revision. It is immutable. Revision 0 is
// the empty configuration before the first change.
type State struct {
	Revision  uint64
	Catalogue catalogue.Catalogue
	Keys      keyring.Keyring
	// Evacuations holds the evacuated data centres by name.
	Evacuations map[string]Evacuation
	// Malformed lists the keys of evacuation rows that could not be read when
	// the state was last loaded or changed.
	Malformed []string
}

// Empty returns the state at revision 0.
func Empty() State {
	return State{Catalogue: catalogue.New(), Keys: keyring.Of(), Evacuations: make(map[string]Evacuation)}
}

// Rows returns the table's rows that represent the state, without the head.
func (s State) Rows() (map[string][]byte, error) {
	rows := make(map[string][]byte)
	for name, team := range s.Catalogue.Teams {
		if err := encodeRow(rows, teamPrefix+name, team); err != nil {
			return nil, err
		}
	}
	for name, entry := range s.Catalogue.Entries {
		if err := encodeRow(rows, entryPrefix+name, entry); err != nil {
			return nil, err
		}
	}
	for _, key := range s.Keys.Keys() {
		if err := encodeRow(rows, keyPrefix+key.ID, key); err != nil {
			return nil, err
		}
	}
	for dataCentre, evacuation := range s.Evacuations {
		if err := encodeRow(rows, evacuationPrefix+dataCentre, evacuation); err != nil {
			return nil, err
		}
	}
	return rows, nil
}

func encodeRow(rows map[string][]byte, key string, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("row %q cannot be encoded: %w", key, err)
	}
	rows[key] = text
	return nil
}

// Snapshot returns the change from the empty state to s, which transfers the
// complete state to a process that has none.
func (s State) Snapshot() (Change, error) {
	rows, err := s.Rows()
	change := Change{Revision: s.Revision, Whole: true}
	for key, value := range rows {
		change.Rows = append(change.Rows, table.Write{Key: key, Value: value})
	}
	return change, err
}

// Change is the difference between two revisions.
type Change struct {
	Base     uint64        `json:"base"`
	Revision uint64        `json:"revision"`
	Rows     []table.Write `json:"rows,omitempty"`
	// Whole means that the rows are the complete state and replace any other.
	Whole bool `json:"whole,omitempty"`
}

// Empty reports whether nothing changed: the declared state was already in
// force, or an operation was repeated.
func (c Change) Empty() bool {
	return c.Base == c.Revision
}

// Apply returns the state after a change. It only moves forward: ok is false if
// the change is not newer, is malformed, or neither holds the complete state
// nor starts at the state's revision.
func Apply(state State, change Change) (next State, ok bool) {
	switch {
	case change.Revision <= state.Revision:
		return state, false
	case change.Whole:
		next = Empty()
	case change.Base != state.Revision:
		return state, false
	default:
		next = State{
			Catalogue: state.Catalogue.Clone(), Keys: state.Keys, Evacuations: cloneEvacuations(state.Evacuations),
		}
	}
	if err := next.applyRows(change.Rows); err != nil {
		return state, false
	}
	next.Revision = change.Revision
	return next, true
}

// applyRows changes the maps of s, owned by the caller, in place. The keyring
// is replaced once for all rows, since each replacement copies it.
func (s *State) applyRows(rows []table.Write) error {
	keys := make(map[string]keyring.Key)
	var removed []string
	for _, row := range rows {
		kind, name, _ := strings.Cut(strings.TrimPrefix(row.Key, Prefix), "/")
		var err error
		switch kind + "/" {
		case strings.TrimPrefix(teamPrefix, Prefix):
			err = applyTo(s.Catalogue.Teams, name, row)
		case strings.TrimPrefix(entryPrefix, Prefix):
			err = applyTo(s.Catalogue.Entries, name, row)
		case strings.TrimPrefix(keyPrefix, Prefix):
			removed = append(removed, name)
			err = applyTo(keys, name, row)
		case strings.TrimPrefix(evacuationPrefix, Prefix):
			s.applyEvacuation(name, row)
		default:
			err = fmt.Errorf("row %q has an unknown kind", row.Key)
		}
		if err != nil {
			return err
		}
	}
	if len(removed) > 0 {
		s.Keys = s.Keys.Without(removed...).With(slices.Collect(maps.Values(keys))...)
	}
	return nil
}

func applyTo[V any](values map[string]V, name string, row table.Write) error {
	if row.Delete {
		delete(values, name)
		return nil
	}
	var value V
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return fmt.Errorf("row %q is malformed: %w", row.Key, err)
	}
	values[name] = value
	return nil
}

// diff returns the change from before to after as the next revision. Entries,
// keys and evacuations that differ are given that revision.
func diff(before, after State) (Change, error) {
	change := Change{Base: before.Revision, Revision: before.Revision}
	old, err := before.Rows()
	if err != nil {
		return change, err
	}
	revised := after.withRevisions(before)
	rows, err := revised.Rows()
	if err != nil {
		return change, err
	}
	for key, value := range rows {
		if !bytes.Equal(old[key], value) {
			change.Rows = append(change.Rows, table.Write{Key: key, Value: value})
		}
	}
	for key := range old {
		if _, kept := rows[key]; !kept {
			change.Rows = append(change.Rows, table.Write{Key: key, Delete: true})
		}
	}
	if len(change.Rows) > 0 {
		change.Revision++
	}
	return change, nil
}

// withRevisions sets the revision of each entry, key and evacuation: the old one
// if nothing else differs, otherwise the one that follows before's.
func (s State) withRevisions(before State) State {
	next := before.Revision + 1
	out := State{Catalogue: s.Catalogue.Clone(), Keys: s.Keys, Evacuations: s.evacuationsWithRevisions(before)}
	changed := make(map[string]bool)
	for _, change := range catalogue.Diff(before.Catalogue, s.Catalogue) {
		changed[change.Name] = changed[change.Name] || change.Kind != "team"
	}
	for name, entry := range out.Catalogue.Entries {
		entry.Revision = before.Catalogue.Entries[name].Revision
		if changed[name] {
			entry.Revision = next
		}
		out.Catalogue.Entries[name] = entry
	}
	keys := s.Keys.Keys()
	for i, key := range keys {
		old, known := before.Keys.Get(key.ID)
		key.Revision = old.Revision
		if !known || key.Team != old.Team || key.Withdrawn != old.Withdrawn || !bytes.Equal(key.Hash, old.Hash) {
			key.Revision = next
		}
		keys[i] = key
	}
	out.Keys = keyring.Of(keys...)
	return out
}
