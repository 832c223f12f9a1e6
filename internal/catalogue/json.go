package catalogue

import (
	"encoding/json"
	"time"

	"github.com/lovagedyke/lovagedyke/pkg/api"
)

// API converts the catalogue to the type of the operators' API, sorted by name.
func (c Catalogue) API() api.Catalogue {
	out := api.Catalogue{Teams: []api.Team{}, Entries: []api.Entry{}}
	for _, name := range c.TeamNames() {
		out.Teams = append(out.Teams, api.Team(c.Teams[name]))
	}
	for _, name := range c.EntryNames() {
		out.Entries = append(out.Entries, c.Entries[name].API())
	}
	return out
}

// FromAPI converts a catalogue from the type of the operators' API. Missing
// values are set to their defaults. Each mistake is reported as a problem that
// names the field.
func FromAPI(in api.Catalogue) (Catalogue, Problems) {
	var problems Problems
	c := New()
	for _, team := range in.Teams {
		if _, repeated := c.Teams[team.Name]; repeated {
			problems.Add(Problem{Field: fieldName("team", team.Name, ""), Message: "stands twice", Want: "one team a name"})
		}
		c.Teams[team.Name] = withTeamDefaults(Team(team))
	}
	for _, entry := range in.Entries {
		if _, repeated := c.Entries[entry.Name]; repeated {
			problems.Add(Problem{Field: fieldName(entry.Kind, entry.Name, ""), Message: "stands twice", Want: "one service or queue a name"})
		}
		c.Entries[entry.Name] = withEntryDefaults(entryFromAPI(entry), c.Teams)
	}
	return c, append(problems, c.Validate()...)
}

// API converts the entry to the type of the operators' API.
func (e Entry) API() api.Entry {
	return api.Entry{
		Name:         e.Name,
		Kind:         string(e.Kind),
		Team:         e.Team,
		Class:        string(e.Class),
		Open:         e.Open,
		Shares:       e.Shares,
		Limit:        e.Limit,
		MaxBody:      e.MaxBody,
		Deadline:     api.Duration(e.Deadline),
		LongestRun:   api.Duration(e.LongestRun),
		Availability: e.Availability,
		Pool:         e.Pool,
		Revision:     e.Revision,
	}
}

// MarshalJSON implements json.Marshaler.
func (e Entry) MarshalJSON() ([]byte, error) {
	return json.Marshal(e.API())
}

// UnmarshalJSON implements json.Unmarshaler.
func (e *Entry) UnmarshalJSON(data []byte) error {
	var in api.Entry
	if err := json.Unmarshal(data, &in); err != nil {
		return err
	}
	*e = entryFromAPI(in)
	return nil
}

func entryFromAPI(in api.Entry) Entry {
	return Entry{
		Name:         in.Name,
		Kind:         Kind(in.Kind),
		Team:         in.Team,
		Class:        Class(in.Class),
		Open:         in.Open,
		Shares:       in.Shares,
		Limit:        in.Limit,
		MaxBody:      in.MaxBody,
		Deadline:     time.Duration(in.Deadline),
		LongestRun:   time.Duration(in.LongestRun),
		Availability: in.Availability,
		Pool:         in.Pool,
		Revision:     in.Revision,
	}
}

// MarshalJSON implements json.Marshaler.
func (t Team) MarshalJSON() ([]byte, error) {
	return json.Marshal(api.Team(t))
}

// UnmarshalJSON implements json.Unmarshaler.
func (t *Team) UnmarshalJSON(data []byte) error {
	return json.Unmarshal(data, (*api.Team)(t))
}
