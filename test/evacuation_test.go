package test

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/standin/worker"
	"github.com/lovagedyke/lovagedyke/pkg/api"
	"github.com/lovagedyke/lovagedyke/pkg/client"
)

// evacuate starts an evacuation and waits until it is in force everywhere.
func (f *testFleet) evacuate(dataCentre string) api.ChangeResponse {
	f.t.Helper()
	response, err := f.operators.StartEvacuation(context.Background(), dataCentre, "")
	if err != nil || !f.inForce(response.Revision) {
		f.t.Fatalf("evacuate %s: got %+v, %v, want it in force", dataCentre, response, err)
	}
	return response
}

// release ends an evacuation and waits until that is in force everywhere.
func (f *testFleet) release(dataCentre string) {
	f.t.Helper()
	response, err := f.operators.StopEvacuation(context.Background(), dataCentre, "")
	if err != nil || !f.inForce(response.Revision) {
		f.t.Fatalf("release %s: got %+v, %v, want it in force", dataCentre, response, err)
	}
}

// evacuation returns the evacuation of the data centre as the managers list it.
func evacuation(operators *client.Client, dataCentre string) (api.Evacuation, bool) {
	list, err := operators.Evacuations(context.Background())
	if err != nil {
		return api.Evacuation{}, false
	}
	for _, evacuation := range list {
		if evacuation.DataCentre == dataCentre {
			return evacuation, true
		}
	}
	return api.Evacuation{}, false
}

// running returns how many requests and tasks the list shows in the data centre, or
// -1 if it does not list the data centre.
func (f *testFleet) running(dataCentre string) (requests, tasks int) {
	listed, ok := evacuation(f.operators, dataCentre)
	if !ok {
		return -1, -1
	}
	for _, host := range listed.Hosts {
		requests += host.Requests
		tasks += host.Tasks
	}
	return requests, tasks
}

// started returns the number of requests that the first two endpoints, in the
// default data centre, have started.
func (f *testFleet) started() int {
	return int(f.endpoints[0].Stats().Total.Started + f.endpoints[1].Stats().Total.Started)
}

// A data centre is evacuated under load and its manager restarts. Guards against a
// request that starts there once the evacuation is in force, a response that is cut,
// an evacuation that ends with a manager, and a data centre that stays unused after
// the withdrawal.
func TestEvacuationUnderLoad(t *testing.T) {
	f := newFleet(t, 2, 2)
	f.addEndpointIn("dc-2", "orders-3")
	f.eventually("managers list three hosts", func() bool { return len(f.poolHosts("p")) == 3 })
	config := f.loadConfig("entry-1", "entry-2")
	config.Rate, config.RunTime = 60, 50*time.Millisecond
	stop := f.startLoad(config)
	f.eventually("both data centres run requests", func() bool {
		return f.started() > 20 && f.endpoints[2].Stats().Total.Started > 0
	})
	f.evacuate(defaultDataCentre)
	before, elsewhere := f.started(), f.endpoints[2].Stats().Total.Started
	f.eventually("the list shows that nothing runs there", func() bool {
		requests, _ := f.running(defaultDataCentre)
		return requests == 0
	})
	f.kill("manager-1")
	restarted := client.New(client.Config{Key: secret, Managers: []netip.AddrPort{f.start("manager", 1).operators}})
	f.awaitReady()
	f.eventually("the restarted manager lists the evacuation", func() bool {
		listed, ok := evacuation(restarted, defaultDataCentre)
		return ok && len(listed.Hosts) > 0 && len(listed.Missing) == 0
	})
	f.eventually("the other data centre runs requests", func() bool { return f.endpoints[2].Stats().Total.Started > elsewhere+20 })
	if got, want := f.started(), before; got != want {
		t.Errorf("started in the evacuated data centre: got %d, want %d", got, want)
	}
	if got := f.evacuate("dc-2").Warning; got == "" {
		t.Error("all data centres: got no warning, want one")
	}
	status, body := f.sendRequest("entry-1", http.MethodPost, "/orders/restock", "", "")
	if status != http.StatusServiceUnavailable || !strings.Contains(body, `"reason":"evacuated"`) {
		t.Errorf("all data centres: got %d, %s, want it refused as evacuated", status, body)
	}
	f.release(defaultDataCentre)
	f.eventually("the data centre runs requests again", func() bool { return f.started() > before })
	f.checkResponses(stop())
}

// Guards against tasks that start on an evacuated worker, a running one that is cut
// or moved, and a list that hides it, whichever manager is asked.
func TestEvacuationWithTasks(t *testing.T) {
	f := newFleet(t, 1, 2)
	workers := []*worker.Server{f.addWorkerIn("dc-1", "worker-1"), f.addWorkerIn("dc-2", "worker-2")}
	f.applyQueue()
	submit := func(key, runTime string) (int, string) {
		return f.sendRequest("entry-1", http.MethodPost, "/plans/tasks", key, `{"cpus":1,"memory":1048576,"run-time":"`+runTime+`"}`)
	}
	f.eventually("the long task is accepted", func() bool {
		status, _ := submit("long", "6s")
		return status == http.StatusAccepted || status == http.StatusOK
	})
	own := 0
	f.eventually("the long task runs", func() bool {
		for i, server := range workers {
			if len(server.Stats().Runs) > 0 {
				own = i
				return true
			}
		}
		return false
	})
	dataCentre, other := []string{"dc-1", "dc-2"}[own], []string{"dc-2", "dc-1"}[own]
	f.evacuate(dataCentre)
	for _, name := range []string{"manager-1", "manager-2"} {
		operators := client.New(client.Config{Key: secret, Managers: []netip.AddrPort{f.processes[name].operators}})
		f.eventually(name+" lists the task", func() bool {
			listed, ok := evacuation(operators, dataCentre)
			tasks := 0
			for _, host := range listed.Hosts {
				tasks += host.Tasks
			}
			return ok && tasks == 1
		})
	}
	const tasks = 5
	for i := range tasks {
		f.submitTask("entry-1", "plan-"+string(rune('a'+i)))
	}
	f.eventually("all tasks ran", func() bool { return len(f.taskRuns(workers)) == tasks+1 })
	if got, want := len(workers[own].Stats().Runs), 1; got != want {
		t.Errorf("runs on the evacuated worker: got %d, want %d", got, want)
	}
	f.eventually("the list shows that nothing runs there", func() bool {
		_, running := f.running(dataCentre)
		return running == 0
	})
	f.evacuate(other)
	if status, body := submit("refused", "1s"); status != http.StatusServiceUnavailable || !strings.Contains(body, `"reason":"evacuated"`) {
		t.Errorf("all data centres: got %d, %s, want it refused as evacuated", status, body)
	}
}

// Guards against a manager that accepts an evacuation without the table, and against
// entries that forget one while the table is away.
func TestEvacuationWithoutTable(t *testing.T) {
	f := newFleet(t, 1, 2)
	f.addEndpointIn("dc-2", "orders-3")
	f.eventually("managers list three hosts", func() bool { return len(f.poolHosts("p")) == 3 })
	config := f.loadConfig("entry-1")
	config.Requests = 20
	f.eventually("the entry knows the other data centre", func() bool {
		f.runLoad(config)
		return f.endpoints[2].Stats().Total.Started > 0
	})
	f.evacuate(defaultDataCentre)
	before := f.started()
	f.injectFaults(`{"down":true}`)
	var problem *api.Problem
	_, err := f.operators.StartEvacuation(context.Background(), "dc-2", "")
	if !errors.As(err, &problem) || problem.Reason != api.ReasonTableUnavailable || problem.Outcome != api.OutcomeNotRun {
		t.Errorf("given without the table: got %v, want it refused as %s", err, api.ReasonTableUnavailable)
	}
	if report := f.runLoad(config); report.OK != 20 {
		t.Errorf("served without the table: got %d (%v), want %d", report.OK, report.Reasons, 20)
	}
	if got, want := f.started(), before; got != want {
		t.Errorf("started in the evacuated data centre: got %d, want %d", got, want)
	}
	f.injectFaults(`{}`)
	f.eventually("the list is served again", func() bool { _, ok := evacuation(f.operators, defaultDataCentre); return ok })
	if got, ok := evacuation(f.operators, "dc-2"); ok {
		t.Errorf("after a refused call: got %+v, want none", got)
	}
}
