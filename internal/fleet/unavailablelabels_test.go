package fleet_test

import (
	"slices"
	"testing"

	"github.com/lovagedyke/lovagedyke/internal/fleet"
)

// Guards against jobs that are accepted although only an evacuated data centre could run them, and
// against refusals of jobs that another one can run.
func TestOutlookDuringEvacuation(t *testing.T) {
	tests := map[string]struct {
		evacuated    []string
		want         []string
		noDataCentre bool
	}{
		"none":             {},
		"one data centre":  {evacuated: []string{"dc-1"}, want: []string{"fast"}},
		"another":          {evacuated: []string{"dc-2"}},
		"all data centres": {evacuated: []string{"dc-1", "dc-2"}, want: []string{"a", "fast"}, noDataCentre: true},
		"an unknown one":   {evacuated: []string{"dc-9"}},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t, simulationConfig{})
			for id, labels := range map[fleet.EndpointID][]string{"one": {"a", "fast"}, "two": {"a"}} {
				row := endpointRow(id)
				row.Labels, row.DataCentre = labels, map[fleet.EndpointID]string{"one": "dc-1", "two": "dc-2"}[id]
				s.leader.UpdateEndpoint(row, s.now)
				s.renewLease(id)
			}
			s.leader.SetEvacuations(c.evacuated, s.now)
			got := s.leader.Outlook(s.now)
			if !slices.Equal(got.UnavailableLabels, c.want) || got.NoDataCentre != c.noDataCentre {
				t.Errorf("labels that are not available, no data centre: got %v and %t, want %v and %t",
					got.UnavailableLabels, got.NoDataCentre, c.want, c.noDataCentre)
			}
		})
	}
}
