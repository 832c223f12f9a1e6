package revision_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/revision"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

// evacuate returns an edit that evacuates the data centre since the given second.
func evacuate(dataCentre string, second int64) revision.Edit {
	return func(s revision.State) (revision.State, error) {
		return s.WithEvacuation(dataCentre, time.Unix(second, 0)), nil
	}
}

// withdraw returns an edit that withdraws the evacuation of the data centre.
func withdraw(dataCentre string) revision.Edit {
	return func(s revision.State) (revision.State, error) { return s.WithoutEvacuation(dataCentre), nil }
}

// transact commits an edit.
func transact(t *testing.T, store table.Store, edit revision.Edit) {
	t.Helper()
	if _, err := revision.Transaction(context.Background(), store, revision.Operation{}, edit); err != nil {
		t.Fatal(err)
	}
}

// load returns the newest state.
func load(t *testing.T, store table.Store) revision.State {
	t.Helper()
	state, err := revision.Load(context.Background(), store)
	if err != nil {
		t.Fatal(err)
	}
	return state
}

// Guards against a repeated request that moves the start of an evacuation or takes
// a revision of its own, a withdrawal that leaves one in force, and another change
// of the configuration that drops one.
func TestEvacuationChanges(t *testing.T) {
	tests := map[string]struct {
		edits        []revision.Edit
		want         []string
		wantRevision uint64
		wantSince    int64
	}{
		"given":                          {[]revision.Edit{evacuate("suva", 1)}, []string{"suva"}, 1, 1},
		"given again":                    {[]revision.Edit{evacuate("suva", 1), evacuate("suva", 2)}, []string{"suva"}, 1, 1},
		"given for two":                  {[]revision.Edit{evacuate("suva", 1), evacuate("nadi", 2)}, []string{"nadi", "suva"}, 2, 1},
		"withdrawn":                      {[]revision.Edit{evacuate("suva", 1), withdraw("suva")}, nil, 2, 0},
		"withdrawn without being given":  {[]revision.Edit{withdraw("suva")}, nil, 0, 0},
		"given again after a withdrawal": {[]revision.Edit{evacuate("suva", 1), withdraw("suva"), evacuate("suva", 3)}, []string{"suva"}, 3, 3},
		"kept by another change":         {[]revision.Edit{evacuate("suva", 1), addLimit}, []string{"suva"}, 2, 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			store := table.NewMemory()
			for _, edit := range tc.edits {
				transact(t, store, edit)
			}
			got := load(t, store)
			if !slices.Equal(got.EvacuatedDataCentres(), tc.want) || got.Revision != tc.wantRevision {
				t.Errorf("got %q at revision %d, want %q at %d", got.EvacuatedDataCentres(), got.Revision, tc.want, tc.wantRevision)
			}
			if evacuation, ok := got.Evacuations["suva"]; ok && evacuation.Since.Unix() != tc.wantSince {
				t.Errorf("since: got %s, want second %d", evacuation.Since, tc.wantSince)
			}
		})
	}
}

// Guards against one damaged row that stops the whole configuration from loading:
// no process would follow any later change. The key names the data centre, so a
// request with a damaged value stays in force.
func TestMalformedEvacuationRows(t *testing.T) {
	tests := map[string]struct {
		key, value    string
		want          []string
		wantMalformed []string
	}{
		"value is not JSON":    {"config/evacuation/nadi", "{", []string{"nadi", "suva"}, []string{"config/evacuation/nadi"}},
		"value of other types": {"config/evacuation/nadi", `{"since":3}`, []string{"nadi", "suva"}, []string{"config/evacuation/nadi"}},
		"value is empty":       {"config/evacuation/nadi", "", []string{"nadi", "suva"}, []string{"config/evacuation/nadi"}},
		"value is {}":          {"config/evacuation/nadi", "{}", []string{"nadi", "suva"}, nil},
		"no data centre":       {"config/evacuation/", "{}", []string{"suva"}, []string{"config/evacuation/"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			ctx := context.Background()
			store := table.NewMemory()
			transact(t, store, evacuate("suva", 1))
			if err := store.Commit(ctx, table.Txn{Writes: []table.Write{{Key: tc.key, Value: []byte(tc.value)}}}); err != nil {
				t.Fatal(err)
			}
			got := load(t, store)
			if !slices.Equal(got.EvacuatedDataCentres(), tc.want) || !slices.Equal(got.Malformed, tc.wantMalformed) {
				t.Errorf("got %q, malformed %q, want %q, malformed %q", got.EvacuatedDataCentres(), got.Malformed, tc.want, tc.wantMalformed)
			}
			for _, dataCentre := range tc.want {
				transact(t, store, withdraw(dataCentre))
			}
			if got := load(t, store).EvacuatedDataCentres(); len(got) != 0 {
				t.Errorf("after the withdrawal: got %q, want none", got)
			}
		})
	}
}

// Guards against work that starts at a host whose data centre the platform does
// not tell, while that data centre may be the evacuated one.
func TestIsEvacuated(t *testing.T) {
	tests := map[string]struct {
		evacuated  []string
		dataCentre string
		want       bool
	}{
		"none evacuated":         {nil, "suva", false},
		"unknown, none":          {nil, "", false},
		"evacuated":              {[]string{"suva"}, "suva", true},
		"another one evacuated":  {[]string{"nadi"}, "suva", false},
		"unknown, one evacuated": {[]string{"nadi"}, "", true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			state := revision.Empty()
			for _, dataCentre := range tc.evacuated {
				state = state.WithEvacuation(dataCentre, time.Unix(1, 0))
			}
			if got := state.IsEvacuated(tc.dataCentre); got != tc.want {
				t.Errorf("got %v, want %v", got, tc.want)
			}
		})
	}
}
