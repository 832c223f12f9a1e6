package evacuation

import (
	"fmt"
	"slices"
	"sync"
	"testing"
)

// recordingJournal keeps the lines that were logged.
type recordingJournal struct{ lines []string }

func (j *recordingJournal) Info(event string, fields ...any) {
	j.lines = append(j.lines, fmt.Sprint(event, " ", fields))
}

// Guards against a request or a withdrawal that an older view undoes: views of several processes
// arrive in any order.
func TestNewerSetTakesPrecedence(t *testing.T) {
	tests := map[string]struct {
		updates []Set
		want    Set
		// wantApplied tells for each update whether it was newer.
		wantApplied []bool
		wantChanges int
		wantLines   []string
	}{
		"request": {
			updates: []Set{NewSet(5, "suva")}, want: NewSet(5, "suva"), wantApplied: []bool{true}, wantChanges: 1,
			wantLines: []string{"evacuation requested [data-centre suva source test version 5]"},
		},
		"older view without the request": {
			updates: []Set{NewSet(5, "suva"), NewSet(4)}, want: NewSet(5, "suva"), wantApplied: []bool{true, false}, wantChanges: 1,
			wantLines: []string{"evacuation requested [data-centre suva source test version 5]"},
		},
		"withdrawal": {
			updates: []Set{NewSet(5, "suva"), NewSet(6)}, want: NewSet(6), wantApplied: []bool{true, true}, wantChanges: 2,
			wantLines: []string{
				"evacuation requested [data-centre suva source test version 5]",
				"evacuation withdrawn [data-centre suva source test version 6]",
			},
		},
		"older view with the request after its withdrawal": {
			updates: []Set{NewSet(6), NewSet(5, "suva")}, want: NewSet(6), wantApplied: []bool{true, false},
		},
		"another set of the same version": {
			updates: []Set{NewSet(5, "suva"), NewSet(5)}, want: NewSet(5, "suva"), wantApplied: []bool{true, false}, wantChanges: 1,
			wantLines: []string{"evacuation requested [data-centre suva source test version 5]"},
		},
		"view without any": {updates: []Set{{}}, wantApplied: []bool{false}},
		"repeated request": {
			updates: []Set{NewSet(5, "suva"), NewSet(7, "suva")}, want: NewSet(7, "suva"), wantApplied: []bool{true, true}, wantChanges: 1,
			wantLines: []string{"evacuation requested [data-centre suva source test version 5]"},
		},
		"one of two withdrawn": {
			updates: []Set{NewSet(5, "suva", "alofi"), NewSet(7, "suva")}, want: NewSet(7, "suva"), wantApplied: []bool{true, true}, wantChanges: 2,
			wantLines: []string{
				"evacuation requested [data-centre alofi source test version 5]",
				"evacuation requested [data-centre suva source test version 5]",
				"evacuation withdrawn [data-centre alofi source test version 7]",
			},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			journal, changes := &recordingJournal{}, 0
			holder := New(Config{Journal: journal, OnChange: func(Set) { changes++ }})
			var applied []bool
			for _, set := range test.updates {
				applied = append(applied, holder.Update(set, "test"))
			}
			if !slices.Equal(applied, test.wantApplied) {
				t.Errorf("applied: got %v, want %v", applied, test.wantApplied)
			}
			if got := holder.Current(); got.AsOf != test.want.AsOf || !slices.Equal(got.DataCentres, test.want.DataCentres) {
				t.Errorf("set: got %v, want %v", got, test.want)
			}
			if changes != test.wantChanges {
				t.Errorf("calls of OnChange: got %d, want %d", changes, test.wantChanges)
			}
			if !slices.Equal(journal.lines, test.wantLines) {
				t.Errorf("lines: got %q, want %q", journal.lines, test.wantLines)
			}
		})
	}
}

// Guards against starts in an evacuated data centre on an endpoint whose own is not known.
func TestSetProhibits(t *testing.T) {
	tests := map[string]struct {
		set        Set
		dataCentre string
		want       bool
	}{
		"evacuated":             {set: NewSet(1, "suva", "alofi"), dataCentre: "suva", want: true},
		"another":               {set: NewSet(1, "suva", "alofi"), dataCentre: "nadi"},
		"unknown":               {set: NewSet(1, "suva"), want: true},
		"unknown, none request": {set: NewSet(1)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := test.set.Prohibits(test.dataCentre); got != test.want {
				t.Errorf("prohibited: got %t, want %t", got, test.want)
			}
		})
	}
}

// Guards against a leader that is left with an older set because two updates cross: the last
// call of OnChange has the newest set.
func TestConcurrentUpdatesKeepTheirOrder(t *testing.T) {
	var last Set
	holder := New(Config{Journal: &recordingJournal{}, OnChange: func(set Set) { last = set }})
	var updates sync.WaitGroup
	for version := range uint64(200) {
		updates.Go(func() { holder.Update(NewSet(version+1, fmt.Sprint("d", version+1)), "test") })
	}
	updates.Wait()
	if want := NewSet(200, "d200"); last.AsOf != want.AsOf || holder.Current().AsOf != want.AsOf {
		t.Errorf("newest version: got %d and %d, want %d", last.AsOf, holder.Current().AsOf, want.AsOf)
	}
}
