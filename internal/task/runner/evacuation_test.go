package runner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/duration"
	"github.com/lovagedyke/lovagedyke/internal/platform"
	fakeworker "github.com/lovagedyke/lovagedyke/internal/standin/worker"
	"github.com/lovagedyke/lovagedyke/internal/task"
)

// setDataCentre lists the host of a worker in the data centre.
func (c *cluster) setDataCentre(index int, dataCentre string) {
	name := fmt.Sprintf("worker-%d", index)
	c.putJSON(c.platform.URL+"/hosts/"+name, platform.Host{
		Pool: pool, State: platform.Live, DataCentre: dataCentre, Rack: name,
		Endpoints: []platform.Endpoint{{Service: platform.WorkerService, Address: address(c.workers[index])}},
	})
}

// Guards against a task that starts on an evacuated worker, and against one that is
// cut there: unlike a leaving worker's, its tasks are not moved.
func TestEvacuatedWorkers(t *testing.T) {
	c := newCluster(t, 2, 0)
	dataCentres := []string{"suva", "nadi"}
	for i, dataCentre := range dataCentres {
		c.setDataCentre(i, dataCentre)
	}
	c.startRunner("manager-0")
	// The second task goes to the fuller worker, where two more would follow.
	for i := range 2 {
		c.submit(fmt.Sprint("long-", i), fakeworker.Workload{RunTime: duration.New(2 * time.Second)}, false)
	}
	for len(c.runsPerTask()) < 2 && c.ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
	own := 0
	if len(c.stats(c.workers[0]).Runs) == 0 {
		own = 1
	}
	evacuated := dataCentres[own : own+1]
	c.evacuated.Store(&evacuated)
	before := len(c.stats(c.workers[own]).Runs)
	for i := range 4 {
		c.submit(fmt.Sprint("next-", i), fakeworker.Workload{RunTime: duration.New(10 * time.Millisecond)}, false)
	}
	for i := range 4 {
		c.awaitEnd(fmt.Sprint("next-", i))
	}
	for i := range 2 {
		if got, want := c.awaitEnd(fmt.Sprint("long-", i)).Attempts, 1; got != want {
			t.Errorf("attempts of a task that ran on: got %d, want %d", got, want)
		}
	}
	if got, want := len(c.stats(c.workers[own]).Runs), before; got != want {
		t.Errorf("runs on the evacuated worker: got %d, want %d", got, want)
	}
	if got, want := c.runners[0].ActiveAttempts(fmt.Sprint("worker-", own)), 0; got != want {
		t.Errorf("attempts on the evacuated worker: got %d, want %d", got, want)
	}
	c.evacuated.Store(&dataCentres)
	reply, err := c.runners[0].Submit(c.ctx, task.Spec{ID: "refused", Queue: "plans", Team: "reef"})
	if err != nil || reply.Outcome != task.Refused || reply.Reason != task.ReasonEvacuated {
		t.Errorf("all evacuated: got %+v, %v, want it refused as %s", reply, err, task.ReasonEvacuated)
	}
}
