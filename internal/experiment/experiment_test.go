package experiment

import (
	"bytes"
	"math"
	"os"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lovagedyke/lovagedyke/internal/share"
)

func TestEngineRunsInOrder(t *testing.T) {
	e, got := newEngine(), []string{}
	e.after(2*time.Second, func() { got = append(got, "late") })
	e.after(time.Second, func() {
		got = append(got, "early")
		e.after(time.Second, func() { got = append(got, "later at the same time") })
	})
	e.after(time.Hour, func() { got = append(got, "never") })
	e.runFor(time.Minute)
	if want := []string{"early", "late", "later at the same time"}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	if want := time.Minute; e.elapsed() != want {
		t.Errorf("got %v elapsed, want %v", e.elapsed(), want)
	}
}

// TestMaxMinBoundMatchesDivide compares the bisection with share.Divide.
func TestMaxMinBoundMatchesDivide(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(0, 100).Draw(t, "capacity")
		weights, demands, demand := map[string]float64{}, []flowDemand{}, share.Demand{Entry: "e"}
		for i := range 6 {
			flow := share.Flow{Team: string(rune('a' + i)), Class: share.Class(rapid.IntRange(0, 2).Draw(t, "class"))}
			queued := rapid.IntRange(0, 40).Draw(t, "queued")
			weights[flow.Team] = rapid.Float64Range(0.2, 5).Draw(t, "weight")
			demands = append(demands, flowDemand{class: flow.Class, weight: weights[flow.Team], demand: float64(queued)})
			demand.Flows = append(demand.Flows, share.FlowDemand{Flow: flow, Queued: queued})
		}
		bound := maxMinBound(float64(capacity), demands)
		division := share.Divide(capacity, weights, []share.Demand{demand})
		for i, flow := range demand.Flows {
			if got, want := division.Quota["e"][flow.Flow], bound[i]; math.Abs(got-want) > 1e-6 {
				t.Fatalf("%v: got %v slots, want %v", flow.Flow, got, want)
			}
		}
	})
}

// TestShareTargets checks the share errors against their targets with one seed;
// the command measures five seeds.
func TestShareTargets(t *testing.T) {
	const shortTarget, longTarget = 0.15, 0.05
	for name, d := range map[string]Deployment{"tanoa": Deployments[0], "ripustus": Deployments[1]} {
		bench := newShareBench(d, shareScenarios[0].loads(d), 1)
		got := bench.run(newFleetSharing(gossipInterval)(bench))
		if got.overloads == 0 || got.refused == 0 {
			t.Errorf("%s: got %d starts beyond the slots and %d refusals, want some of both (the slots must be full)", name, got.overloads, got.refused)
		}
		t.Run(name+" 1 s", func(t *testing.T) {
			if got.short.maxDeviation > shortTarget {
				t.Errorf("got a share error of %.3f, want at most %v", got.short.maxDeviation, shortTarget)
			}
		})
		t.Run(name+" 10 s", func(t *testing.T) {
			if got.long.maxDeviation > longTarget {
				t.Errorf("got a share error of %.3f, want at most %v", got.long.maxDeviation, longTarget)
			}
		})
	}
}

func TestReportIsDeterministic(t *testing.T) {
	d := Deployment{
		Name: "small", Entries: 2, DataCentres: []string{"a", "b"}, Endpoints: 2,
		Weights: []float64{2, 1, 1}, RunTime: 200 * time.Millisecond,
	}
	run := func() Report {
		report := Report{}
		for _, part := range []Part{Route, Retry} {
			trials := trialsFor(part, d)
			report.add(trials[0], []outcome{trials[0].run(1), trials[0].run(2)})
		}
		report.add(shareTrials(d)[0], []outcome{shareTrials(d)[0].run(1)})
		return report
	}
	got := run()
	if want := run(); !reflect.DeepEqual(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	var table, js bytes.Buffer
	if err := got.WriteTable(&table); err != nil {
		t.Errorf("WriteTable: %v", err)
	}
	if err := got.WriteJSON(&js); err != nil {
		t.Errorf("WriteJSON: %v", err)
	}
	for _, want := range []string{"share, small", "route, small", "retry, small", "bound: max-min division"} {
		if !bytes.Contains(table.Bytes(), []byte(want)) {
			t.Errorf("got a table without %q", want)
		}
	}
	dir := t.TempDir()
	if err := got.WritePlots(dir); err != nil {
		t.Fatalf("WritePlots: %v", err)
	}
	if files, err := os.ReadDir(dir); err != nil || len(files) != 1 {
		t.Errorf("got %d plots, error %v, want 1", len(files), err)
	}
}
