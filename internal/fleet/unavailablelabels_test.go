package fleet_test

import (
	"slices"
	"testing"
	"time"

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
			s.leader.UpdateHosts(nil, s.now, s.now)
			s.leader.SetEvacuations(c.evacuated, s.now)
			got := s.leader.Outlook(s.now)
			if !slices.Equal(got.UnavailableLabels, c.want) || got.NoDataCentre != c.noDataCentre {
				t.Errorf("labels that are not available, no data centre: got %v and %t, want %v and %t",
					got.UnavailableLabels, got.NoDataCentre, c.want, c.noDataCentre)
			}
		})
	}
}

// Guards against refusals by a new leader that does not know all hosts yet: they tell the data
// centres of endpoints whose rows name none, and the spare ones can be moved into a pool.
func TestOutlookDuringEvacuationBeforeHostsAreRead(t *testing.T) {
	tests := map[string]struct {
		// rowDataCentre is that of the endpoint by its row, and spare the data centre of a spare host.
		rowDataCentre, hostDataCentre, spare string
		// want and noDataCentre are the outlook once the hosts have been read.
		want         []string
		noDataCentre bool
	}{
		"by its host, open":      {hostDataCentre: remaining, spare: evacuated},
		"by its host, evacuated": {hostDataCentre: evacuated, spare: evacuated, want: []string{"a", "r1-1"}, noDataCentre: true},
		"spare host elsewhere":   {rowDataCentre: evacuated, hostDataCentre: evacuated, spare: remaining},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t, simulationConfig{token: 2, unloaded: true})
			s.leader.SetEvacuations([]string{evacuated}, s.now)
			s.addEndpointIn(c.rowDataCentre, "one")
			expect := func(when string, want []string, noDataCentre bool) {
				t.Helper()
				s.advance(time.Second)
				got := s.leader.Outlook(s.now)
				if !slices.Equal(got.UnavailableLabels, want) || got.NoDataCentre != noDataCentre {
					t.Errorf("labels that are not available, no data centre, %s: got %v and %t, want %v and %t",
						when, got.UnavailableLabels, got.NoDataCentre, want, noDataCentre)
				}
			}
			expect("before the hosts are read", nil, false)
			host, spare := newHost(poolName, "one"), spareHost(1)
			host.DataCentre, spare.DataCentre, spare.Labels = c.hostDataCentre, c.spare, []string{"a", "r1-1"}
			s.leader.UpdateHosts([]fleet.Host{host, spare}, s.now, s.now)
			expect("after that", c.want, c.noDataCentre)
		})
	}
}
