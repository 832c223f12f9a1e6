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

// watcher follows the platform's list of the pool's workers.
type watcher struct {
	reign *reign
	// reported is when each worker last reported; missing is since when a worker
	// with attempts has been absent from the list.
	reported map[string]time.Time
	missing  map[string]time.Time
	leaving  map[string]bool
}

// watchHosts tells the controller of workers that come, leave and are gone.
func (r *reign) watchHosts(ctx context.Context) {
	w := &watcher{
		reign:    r,
		reported: make(map[string]time.Time),
		missing:  make(map[string]time.Time),
		leaving:  make(map[string]bool),
	}
	ticker := time.NewTicker(hostsEvery)
	defer ticker.Stop()
	for {
		w.look(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// look reads the list once. A list that cannot be read changes nothing.
func (w *watcher) look(ctx context.Context) {
	hosts, err := w.reign.cfg.Hosts.Hosts(ctx)
	if err != nil {
		// Absence must be seen without a gap.
		clear(w.missing)
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
		w.reign.setAddress(host.Name, address)
		if host.Pool != w.reign.cfg.Pool || host.State != platform.Live || w.reign.isLeaving(host.Name) {
			w.leave(host.Name)
			continue
		}
		delete(w.leaving, host.Name)
		if now.Sub(w.reported[host.Name]) >= reportEvery || w.reign.silent(host.Name) {
			w.reported[host.Name] = now
			group.Go(func() { w.reign.report(ctx, host, address) })
		}
	}
	w.findGone(now, listed)
}

// leave drains a worker that is leaving the pool.
func (w *watcher) leave(name string) {
	if w.leaving[name] {
		return
	}
	w.leaving[name] = true
	delete(w.reported, name)
	w.reign.step(func(c *task.Controller, now time.Time) { c.Leave(now, name, true) })
}

// findGone reports the workers that have been absent for longer than the lag.
func (w *watcher) findGone(now time.Time, listed map[string]bool) {
	w.reign.step(func(c *task.Controller, _ time.Time) {
		for _, name := range c.Workers() {
			if listed[name] {
				delete(w.missing, name)
				continue
			}
			since, known := w.missing[name]
			if !known {
				w.missing[name] = now
				continue
			}
			if now.Sub(since) > w.reign.cfg.ListLag {
				c.Gone(now, name)
				delete(w.reported, name)
			}
		}
	})
}

// workerAddress is where the host's worker listens, if it has one.
func workerAddress(host platform.Host) (netip.AddrPort, bool) {
	for _, endpoint := range host.Endpoints {
		if endpoint.Service == platform.WorkerService {
			return endpoint.Address, true
		}
	}
	return netip.AddrPort{}, false
}

// setAddress notes where a worker listens.
func (r *reign) setAddress(name string, address netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addresses[name] = address
}

// silent reports whether the worker has stopped answering or is not known yet.
func (r *reign) silent(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.controller.Silent(name)
}

// report asks a worker for its report and lets it take tasks.
func (r *reign) report(ctx context.Context, host platform.Host, address netip.AddrPort) {
	report, err := r.cfg.Workers.Report(ctx, address)
	if err != nil {
		return
	}
	r.step(func(c *task.Controller, now time.Time) {
		if r.leaving[host.Name] {
			return // It was told to leave while it reported.
		}
		c.Join(now, place.Worker{
			Name:       host.Name,
			DataCentre: host.DataCentre,
			Rack:       host.Rack,
			Size:       place.Size(report.Capacity),
		}, report.Incarnation)
	})
}
