package catalogue_test

import (
	"bytes"
	"encoding/json"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lovagedyke/lovagedyke/internal/catalogue"
	"github.com/lovagedyke/lovagedyke/pkg/api"
)

const sample = `# shop
[team acme]
upper-limit = 40
share = 2

[team bait]
upper-limit = 10

[service orders]
team = acme ; owner
class = urgent
shares = acme:2, bait:1
limit = 64
max-body = 4MiB
deadline = 2s
longest-run = 10s
availability = 0.999

[queue plans]
team = bait
open = true
pool = spare
`

func TestParseSample(t *testing.T) {
	c, problems := catalogue.Parse("sample.ini", strings.NewReader(sample))
	if err := problems.Err(); err != nil {
		t.Fatal(err)
	}
	want := catalogue.Entry{
		Name: "orders", Kind: catalogue.KindService, Team: "acme", Class: catalogue.ClassUrgent,
		Shares: map[string]int{"acme": 2, "bait": 1}, Limit: 64, MaxBody: 4 << 20,
		Deadline: 2 * time.Second, LongestRun: 10 * time.Second, Availability: 0.999, Pool: "default",
	}
	if got := c.Entries["orders"]; !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	admits := map[string]bool{"acme": true, "bait": true, "hook": false}
	for team, want := range admits {
		if got := c.Entries["orders"].Admits(team); got != want {
			t.Errorf("orders admits %s: got %v, want %v", team, got, want)
		}
	}
	if got, want := c.Weight(c.Entries["plans"], "acme"), 2; got != want {
		t.Errorf("weight on an open queue: got %d, want %d", got, want)
	}
}

func TestParseProblems(t *testing.T) {
	const head = "[team acme]\nupper-limit = 1\n"
	tests := map[string]struct {
		text string
		want []string
	}{
		"unknown team":      {head + "[service a]\nteam = acne\n", []string{`f:4: [service a] team "acne" is unknown (want "acme")`}},
		"unknown name":      {head + "[service a]\nteam = acme\nlimits = 3\n", []string{`f:5: [service a] limits is unknown (want "limit")`}},
		"unknown kind":      {head + "[servce a]\n", []string{`f:3: [servce a] has the unknown kind "servce" (want "service")`}},
		"no upper limit":    {"[team a]\n", []string{"f:1: [team a] upper-limit is missing (want how much the team may have running across the fleet)"}},
		"no unit":           {head + "[service a]\nteam = acme\ndeadline = 3\n", []string{`f:5: [service a] deadline "3" is malformed (want a duration such as 2s or 500ms)`}},
		"zero":              {head + "[service a]\nteam = acme\ndeadline = 0s\n", []string{`f:5: [service a] deadline "0s" is malformed (want a duration such as 2s or 500ms)`}},
		"two kinds a name":  {head + "[service a]\nteam = acme\n[queue a]\nteam = acme\n", []string{"f:5: [queue a] is already a service (want one service or queue a name)"}},
		"open service":      {head + "[service a]\nteam = acme\nopen = true\n", []string{"f:5: [service a] open is set on a service (want a queue, or open = false)"}},
		"repeated section":  {head + "[team acme]\nupper-limit = 2\n", []string{"f:3: [team acme] is already defined on line 1 (want one section per name)"}},
		"repeated name":     {head + "upper-limit = 2\n", []string{"f:3: upper-limit is already defined on line 2 (want one value per name)"}},
		"unclosed section":  {head + "[service a\nteam = acme\n", []string{"f:3: section is not closed (want [name])"}},
		"several, in order": {"x = 1\n[team a]\nupper-limit = -1\nshare\n", []string{"f:1: x is before the first section (want a [section] above it)", "f:3: [team a] upper-limit is -1 (want 0 to 1000000)", `f:4: line "share" has no "=" (want name = value)`}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			_, problems := catalogue.Parse("f", strings.NewReader(tc.text))
			if got, want := problems.Error(), strings.Join(tc.want, "\n"); got != want {
				t.Errorf("got\n%s\nwant\n%s", got, want)
			}
		})
	}
}

func TestFormatsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := drawCatalogue(t, "catalogue")
		got, problems := catalogue.Parse("f", bytes.NewReader(catalogue.Format(want)))
		if err := problems.Err(); err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(got, want) {
			t.Fatalf("INI: got %+v, want %+v", got, want)
		}
		got, problems = catalogue.FromAPI(want.API())
		if err := problems.Err(); err != nil || !reflect.DeepEqual(got, want) {
			t.Fatalf("API: got %+v (%v), want %+v", got, err, want)
		}
		for name, entry := range want.Entries {
			text, err := json.Marshal(entry)
			var back catalogue.Entry
			if err != nil || json.Unmarshal(text, &back) != nil || !reflect.DeepEqual(back, entry) {
				t.Fatalf("entry %s: got %+v (%v), want %+v", name, back, err, entry)
			}
		}
	})
}

// TestDiffIsComplete checks that applying the ops of a difference by name turns
// one catalogue into the other.
func TestDiffIsComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before, after := drawCatalogue(t, "before"), drawCatalogue(t, "after")
		got := before.Clone()
		for _, change := range catalogue.Diff(before, after) {
			if change.Kind == "team" {
				got.Teams[change.Name] = after.Teams[change.Name]
			} else {
				got.Entries[change.Name] = after.Entries[change.Name]
			}
			if change.Op == catalogue.OpRemove && change.Kind == "team" {
				delete(got.Teams, change.Name)
			} else if change.Op == catalogue.OpRemove {
				delete(got.Entries, change.Name)
			}
		}
		if !reflect.DeepEqual(got, after) {
			t.Fatalf("got %+v, want %+v", got, after)
		}
		if changes := catalogue.Diff(after, after); len(changes) != 0 {
			t.Fatalf("difference to itself: got %v, want none", changes)
		}
	})
}

func drawCatalogue(t *rapid.T, label string) catalogue.Catalogue {
	c := catalogue.New()
	names := []string{"acme", "bait", "hook"}
	for _, name := range names {
		c.Teams[name] = catalogue.Team{
			Name:       name,
			UpperLimit: rapid.IntRange(0, 3).Draw(t, label),
			Share:      rapid.IntRange(1, 3).Draw(t, label),
		}
	}
	team := rapid.SampledFrom(names)
	for _, name := range rapid.SliceOfNDistinct(rapid.StringMatching(`[a-c]`), 0, 3, rapid.ID).Draw(t, label) {
		e := catalogue.Entry{
			Name:         name,
			Kind:         rapid.SampledFrom([]catalogue.Kind{catalogue.KindService, catalogue.KindQueue}).Draw(t, label),
			Team:         team.Draw(t, label),
			Class:        rapid.SampledFrom([]catalogue.Class{catalogue.ClassUrgent, catalogue.ClassBatch}).Draw(t, label),
			Shares:       rapid.MapOfN(team, rapid.IntRange(1, 1000), 0, 3).Draw(t, label),
			Limit:        rapid.IntRange(0, 1000).Draw(t, label),
			MaxBody:      rapid.Int64Range(1, 1<<40).Draw(t, label),
			Deadline:     time.Duration(rapid.Int64Range(1, int64(time.Hour)).Draw(t, label)),
			LongestRun:   time.Duration(rapid.IntRange(1, 24).Draw(t, label)) * time.Hour,
			Availability: rapid.Float64Range(0.5, 0.99999).Draw(t, label),
			Pool:         "spare",
		}
		e.Shares[e.Team] = 1
		e.Open = e.Kind == catalogue.KindQueue
		c.Entries[name] = e
	}
	return c
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(sample))
	f.Add([]byte("[team a]\nupper-limit = 1\n[service \"b\"]\nteam=`a\nshares=a:1,,\n"))
	f.Add([]byte("\xef\xbb\xbf[queue -]\r\n- = \"\"\"x\nopen: yes\n[unclosed\n=\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		c, problems := catalogue.Parse("f", bytes.NewReader(text))
		if len(problems) > 0 {
			return
		}
		got, problems := catalogue.Parse("f", bytes.NewReader(catalogue.Format(c)))
		if err := problems.Err(); err != nil || !reflect.DeepEqual(got, c) {
			t.Fatalf("got %+v (%v), want %+v", got, err, c)
		}
	})
}

// FuzzFromAPI checks that a catalogue accepted from the API round-trips through
// a file.
func FuzzFromAPI(f *testing.F) {
	f.Add([]byte(`{"teams":[{"name":"a","upper-limit":1}],"entries":[{"name":"b","kind":"queue","team":"a","open":true,"deadline":"2s","shares":{"a":2}}]}`))
	f.Add([]byte(`{"teams":[{"name":""}],"entries":[{"name":"b","max-body":-1,"availability":1e-320,"longest-run":"1ns"}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		var in api.Catalogue
		if json.Unmarshal(text, &in) != nil {
			return
		}
		want, problems := catalogue.FromAPI(in)
		if len(problems) > 0 {
			return
		}
		for name, entry := range want.Entries {
			entry.Revision = 0
			want.Entries[name] = entry
		}
		got, problems := catalogue.Parse("f", bytes.NewReader(catalogue.Format(want)))
		if err := problems.Err(); err != nil || !reflect.DeepEqual(got, want) {
			t.Fatalf("got %+v (%v), want %+v", got, err, want)
		}
	})
}
