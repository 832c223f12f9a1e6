package runner

import (
	"context"
	"io"
	"net/netip"
	"slices"
	"testing"

	"github.com/charmbracelet/log"

	"github.com/lovagedyke/lovagedyke/internal/platform"
	"github.com/lovagedyke/lovagedyke/internal/table"
	"github.com/lovagedyke/lovagedyke/internal/worker"
)

// reportingWorkers answers each request for a report with the same one.
type reportingWorkers struct {
	Workers
	report worker.Report
}

// Report implements Workers.
func (w reportingWorkers) Report(context.Context, netip.AddrPort) (worker.Report, error) {
	return w.report, nil
}

// Guards against two runs of a task at once: the host list lags, and another worker
// answers at a worker's former address. Tasks placed on the first are started on the
// second, and taken for lost when the list shows the first one's new address.
func TestReportOfAnotherWorker(t *testing.T) {
	tests := map[string]struct {
		answeredBy string
		want       []string
	}{
		"the worker":     {answeredBy: "worker-1", want: []string{"worker-1"}},
		"another worker": {answeredBy: "worker-2"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ctx := context.Background()
			current, err := newTerm(ctx, Config{
				Store: table.NewMemory(), Log: log.New(io.Discard),
				Workers: reportingWorkers{report: worker.Report{
					Worker: test.answeredBy, Incarnation: "a", Capacity: worker.Resources{CPUs: 4, Memory: 1 << 30},
				}},
			}, table.Condition{}, 1)
			if err != nil {
				t.Fatal(err)
			}
			current.fetchReport(ctx, platform.Host{Name: "worker-1"}, netip.MustParseAddrPort("10.0.0.1:9000"))
			if got := current.controller.Workers(); !slices.Equal(got, test.want) {
				t.Errorf("workers: got %v, want %v", got, test.want)
			}
		})
	}
}
