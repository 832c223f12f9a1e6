package process

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/table"
)

// evacuationBound is how long after the store's answer a request or its withdrawal may take to
// reach all processes: half of the platform's evac_ms, since the leader's starts take time, too.
const evacuationBound = 2500 * time.Millisecond

// Guards against a leader that goes on with starts in an evacuated data centre since it has not
// heard of the request: its reads of the operators' rows are held up by a large configuration, or
// it does not reach the store. While no process does, the last request stays in force.
func TestEvacuationReachesAllProcesses(t *testing.T) {
	tests := map[string]struct {
		links []float64
		// queues is the size of a configuration that is written just before, or 0.
		queues int
		// storeCut is true if the last process does not reach the store.
		storeCut bool
		// storeAway is for how long no process reaches the store after the request.
		storeAway time.Duration
	}{
		"store away for all":             {links: []float64{200, 200, 200, 200}, storeAway: 20 * time.Second},
		"wide links":                     {links: []float64{200, 200, 200, 200}},
		"a process cut off the store":    {links: []float64{200, 200, 200, 200}, storeCut: true},
		"beside a large configuration":   {links: []float64{200, 200, 10, 10, 10, 10}, queues: 4250},
		"large configuration, store cut": {links: []float64{200, 200, 10, 10, 10, 10}, queues: 4250, storeCut: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startConfigurationFleet(t, test.links)
				defer f.stop()
				time.Sleep(3 * time.Second)
				if test.storeCut {
					f.network.cutOff(memberAddress(len(test.links)-1).String(), storeAddress)
				}
				f.writeEvacuation(t, table.Write{Key: "op//evacuate/suva", Value: []byte("{}")}, test.queues)
				f.wantEvacuated(t, "after the request", []string{"suva"})
				if test.storeAway > 0 {
					f.cutAllOff()
					time.Sleep(test.storeAway)
					f.wantEvacuated(t, "while the store is away", []string{"suva"})
					return
				}
				f.writeEvacuation(t, table.Write{Key: "op//evacuate/suva", Delete: true}, 0)
				f.wantEvacuated(t, "after the withdrawal", nil)
			})
		})
	}
}

// writeEvacuation writes or removes a row as the operator does, after a configuration with a number
// of queues unless that is 0, and lets the bound pass.
func (f *configurationFleet) writeEvacuation(t *testing.T, write table.Write, queues int) {
	t.Helper()
	if queues > 0 {
		f.store.WritePolicy(2, queues)
	}
	if err := f.processes[0].store.Commit(t.Context(), table.Txn{Writes: []table.Write{write}}); err != nil {
		t.Fatal(err)
	}
	time.Sleep(evacuationBound)
}

// cutAllOff cuts all processes off the store.
func (f *configurationFleet) cutAllOff() {
	for index := range f.processes {
		f.network.cutOff(memberAddress(index).String(), storeAddress)
	}
}

// wantEvacuated checks the evacuated data centres of each process.
func (f *configurationFleet) wantEvacuated(t *testing.T, when string, want []string) {
	t.Helper()
	for _, n := range f.processes {
		if got := n.evacuations.Current().DataCentres; !slices.Equal(got, want) {
			t.Errorf("evacuated at %s %s: got %v, want %v", n.settings.Name, when, got, want)
		}
	}
}
