package runner

import (
	"context"
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/lovagedyke/lovagedyke/internal/place"
	"github.com/lovagedyke/lovagedyke/internal/table"
	"github.com/lovagedyke/lovagedyke/internal/task"
	"github.com/lovagedyke/lovagedyke/internal/worker"
)

// countingWorkers counts the calls by order.
type countingWorkers struct {
	Workers
	calls map[task.Order]int
}

// Start implements Workers.
func (w countingWorkers) Start(context.Context, netip.AddrPort, worker.Start) (worker.Status, error) {
	w.calls[task.OrderStart]++
	return worker.Status{State: worker.Running}, nil
}

// Stop implements Workers.
func (w countingWorkers) Stop(context.Context, netip.AddrPort, string, worker.Order) (worker.Status, error) {
	w.calls[task.OrderStop]++
	return worker.Status{State: worker.Stopped}, nil
}

// Guards against a start that was issued before the evacuation, waited while many
// calls were active, and is sent after it. Other orders are still sent.
func TestCallsToEvacuatedWorkers(t *testing.T) {
	tests := map[string]struct {
		evacuated []string
		order     task.Order
		want      int
	}{
		"start, no evacuation":       {order: task.OrderStart, want: 1},
		"start, evacuated":           {evacuated: []string{"suva"}, order: task.OrderStart},
		"start, another data centre": {evacuated: []string{"nadi"}, order: task.OrderStart, want: 1},
		"stop, evacuated":            {evacuated: []string{"suva"}, order: task.OrderStop, want: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			ctx := context.Background()
			var evacuated []string
			workers := countingWorkers{calls: make(map[task.Order]int)}
			current, err := newTerm(ctx, Config{
				Store: table.NewMemory(), Log: log.New(io.Discard), Workers: workers,
				Evacuated: func() []string { return evacuated },
			}, table.Condition{}, 1)
			if err != nil {
				t.Fatal(err)
			}
			current.controller.Join(time.Now(), place.Worker{Name: "worker-1", DataCentre: "suva"}, "a")
			current.setAddress("worker-1", netip.MustParseAddrPort("10.0.0.1:9000"))
			evacuated = tc.evacuated
			record := task.Record{Attempt: &task.Attempt{Worker: "worker-1"}}
			current.call(ctx, task.Call{Order: tc.order, Worker: "worker-1", Record: record})
			if got := workers.calls[tc.order]; got != tc.want {
				t.Errorf("calls: got %d, want %d", got, tc.want)
			}
		})
	}
}
