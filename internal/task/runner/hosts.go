package runner

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/place"
	"github.com/lovagedyke/lovagedyke/internal/platform"
	"github.com/lovagedyke/lovagedyke/internal/task"
)

// hostWatcher polls the platform's host list for the pool's workers.
type hostWatcher struct {
	term *term
	// lastReport is when each worker was last asked for a report. missingSince is
	// when a worker known to the controller was first absent from the list.
	lastReport   map[string]time.Time
	missingSince map[string]time.Time
	leaving      map[string]bool
}

// watchHosts notifies the controller of workers that join, leave or are gone.
func (t *term) watchHosts(ctx context.Context) {
	w := &hostWatcher{
		term:         t,
		lastReport:   make(map[string]time.Time),
		missingSince: make(map[string]time.Time),
		leaving:      make(map[string]bool),
	}
	ticker := time.NewTicker(hostListInterval)
	defer ticker.Stop()
	for {
		w.refresh(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// refresh reads the list once. If it cannot be read, the workers stay unchanged.
func (w *hostWatcher) refresh(ctx context.Context) {
	hosts, err := w.term.cfg.Hosts.Hosts(ctx)
	if err != nil {
		// A worker is gone only after an absence without gaps in the observation.
		clear(w.missingSince)
		return
	}
	now := time.Now()
	listed := make(map[string]bool, len(hosts))
	var group sync.WaitGroup
	defer group.Wait()
	for _, host := range hosts {
		address, isWorker := workerAddress(host)
		if !isWorker {
			continue
		}
		listed[host.Name] = true
		w.term.setAddress(host.Name, address)
		if host.Pool != w.term.cfg.Pool || host.State != platform.Live || w.term.isLeaving(host.Name) {
			w.leave(host.Name)
			continue
		}
		delete(w.leaving, host.Name)
		if now.Sub(w.lastReport[host.Name]) >= reportInterval || w.term.silent(host.Name) {
			w.lastReport[host.Name] = now
			group.Go(func() { w.term.fetchReport(ctx, host, address) })
		}
	}
	w.markGone(now, listed)
}

// leave drains a worker that is leaving the pool.
func (w *hostWatcher) leave(name string) {
	if w.leaving[name] {
		return
	}
	w.leaving[name] = true
	delete(w.lastReport, name)
	w.term.update(func(c *task.Controller, now time.Time) { c.Leave(now, name, true) })
}

// markGone marks the workers as gone that have been absent from the list for
// longer than its lag.
func (w *hostWatcher) markGone(now time.Time, listed map[string]bool) {
	w.term.update(func(c *task.Controller, _ time.Time) {
		for _, name := range c.Workers() {
			if listed[name] {
				delete(w.missingSince, name)
				continue
			}
			since, known := w.missingSince[name]
			if !known {
				w.missingSince[name] = now
				continue
			}
			if now.Sub(since) > w.term.cfg.ListLag {
				c.MarkGone(now, name)
				delete(w.lastReport, name)
			}
		}
	})
}

// workerAddress returns the address of the host's worker, if it has one.
func workerAddress(host platform.Host) (netip.AddrPort, bool) {
	for _, endpoint := range host.Endpoints {
		if endpoint.Service == platform.WorkerService {
			return endpoint.Address, true
		}
	}
	return netip.AddrPort{}, false
}

// setAddress records a worker's address.
func (t *term) setAddress(name string, address netip.AddrPort) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addresses[name] = address
}

// silent reports whether the worker has stopped answering or has not joined yet.
func (t *term) silent(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.controller.Silent(name)
}

// fetchReport requests a report from a worker and joins the worker to the
// controller, unless another worker answers.
func (t *term) fetchReport(ctx context.Context, host platform.Host, address netip.AddrPort) {
	report, err := t.cfg.Workers.Report(ctx, address)
	if err != nil {
		return
	}
	if report.Worker != host.Name {
		// The list lags: the address has passed to another worker.
		t.cfg.Log.Warn("report of another worker ignored", "worker", host.Name, "address", address.String(), "answered", report.Worker)
		return
	}
	t.update(func(c *task.Controller, now time.Time) {
		if t.leaving[host.Name] {
			return // It began to leave while the report was being fetched.
		}
		c.Join(now, place.Worker{
			Name:       host.Name,
			DataCentre: host.DataCentre,
			Rack:       host.Rack,
			Size:       place.Size(report.Capacity),
		}, report.Incarnation)
	})
}
