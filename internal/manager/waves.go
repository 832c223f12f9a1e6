package manager

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/platform"
	"github.com/lovagedyke/lovagedyke/internal/pool"
	"github.com/lovagedyke/lovagedyke/internal/table"
	"github.com/lovagedyke/lovagedyke/internal/wave"
	"github.com/lovagedyke/lovagedyke/pkg/api"
)

const (
	// waveInterval is the time between two steps of the waves.
	waveInterval = 500 * time.Millisecond
	// waveKeyPrefix is the key prefix of the waves' rows, one for each pool.
	waveKeyPrefix = "wave/"
	// fullAvailabilityBudget is passed to waves, since managers do not track how
	// much of the availability budget is used.
	fullAvailabilityBudget = 1
)

// waveRow is the value of a wave's row: the state that the next manager needs
// when this one ends.
type waveRow struct {
	Pool string `json:"pool"`
	Need int    `json:"need"`
	// Hosts holds the hosts whose maintenance has started, keyed by name.
	Hosts map[string]waveHost `json:"hosts,omitempty"`
	// Resumed counts the operators' requests to resume the wave.
	Resumed  int    `json:"resumed"`
	Verdict  string `json:"verdict"`
	Reason   string `json:"reason,omitempty"`
	Finished bool   `json:"finished,omitempty"`
}

// waveHost is the progress of a host's maintenance.
type waveHost struct {
	State wave.State `json:"state"`
	// Boot is the host's boot count at DownAt, when it was taken down.
	Boot     uint64    `json:"boot"`
	DownAt   time.Time `json:"down-at"`
	Rebooted bool      `json:"rebooted,omitempty"`
}

// Rebooter restarts hosts.
type Rebooter interface {
	Reboot(ctx context.Context, host string) error
}

// waves runs the maintenance waves that this manager owns. It is not safe for
// concurrent use.
type waves struct {
	manager *Manager
	byPool  map[string]*runningWave
}

// runningWave is a wave's state machine and the count of resumptions that it has
// handled.
type runningWave struct {
	wave    *wave.Wave
	resumed int
}

// waveLoop steps the waves until ctx is cancelled.
func (m *Manager) waveLoop(ctx context.Context) {
	w := &waves{manager: m, byPool: make(map[string]*runningWave)}
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(waveInterval):
		}
		if err := w.stepAll(ctx); err != nil && ctx.Err() == nil {
			m.config.Log.Debug("could not step the maintenance waves", "reason", err.Error())
		}
	}
}

// stepAll steps each unfinished wave that this manager owns.
func (w *waves) stepAll(ctx context.Context) error {
	rows, err := w.manager.node.Store().Scan(ctx, waveKeyPrefix)
	if err != nil {
		return errors.Wrap(err, "read the waves")
	}
	total, err := totalResults(rows)
	if err != nil {
		return err
	}
	for _, row := range rows {
		current, err := decodeWave(row)
		if err != nil {
			return err
		}
		if current.Finished || !w.manager.owns(row.Key, time.Now()) {
			delete(w.byPool, current.Pool)
			continue
		}
		own := current.results()
		otherPools := wave.Results{Done: total.Done - own.Done, Failed: total.Failed - own.Failed}
		if err := w.step(ctx, row, current, otherPools); err != nil {
			return err
		}
	}
	return nil
}

// totalResults counts the maintenance results of all unfinished waves.
func totalResults(rows []table.Row) (wave.Results, error) {
	var total wave.Results
	for _, row := range rows {
		current, err := decodeWave(row)
		if err != nil {
			return total, err
		}
		own := current.results()
		total.Done += own.Done
		total.Failed += own.Failed
	}
	return total, nil
}

// results counts the wave's maintenance results. A finished wave has none, because
// they say nothing about the next one.
func (r waveRow) results() wave.Results {
	var results wave.Results
	if r.Finished {
		return results
	}
	for _, host := range r.Hosts {
		switch host.State {
		case wave.StateDone:
			results.Done++
		case wave.StateFailed:
			results.Failed++
		}
	}
	return results
}

// step advances one wave. It writes the row before it drains a host, so that a
// manager that takes over knows of the drain.
func (w *waves) step(ctx context.Context, row table.Row, current waveRow, otherPools wave.Results) error {
	hosts, err := w.poolHosts(ctx, current.Pool)
	if err != nil {
		return err
	}
	next := current.clone()
	now := time.Now()
	view := w.observePool(ctx, now, hosts, &next)
	view.OtherPools = otherPools
	decision := w.decide(now, view, next)
	for _, name := range decision.Start {
		next.Hosts[name] = waveHost{State: wave.StateDown, Boot: hosts[name].boot, DownAt: now}
	}
	next.Verdict, next.Reason = string(decision.Verdict), decision.Reason
	next.Finished = decision.Verdict == wave.Finished
	if err := w.commit(ctx, row, current, next); err != nil {
		return err
	}
	for _, name := range decision.Start {
		if _, err := w.manager.DrainHost(ctx, name, pool.Maintenance, ""); err != nil {
			return errors.Wrapf(err, "drain %q", name)
		}
		w.manager.config.Log.Info("host taken down", "host", name, "pool", current.Pool)
	}
	return nil
}

// decide steps the wave's state machine, after passing on an operator's request
// to resume.
func (w *waves) decide(now time.Time, view wave.View, row waveRow) wave.Decision {
	running := w.byPool[row.Pool]
	if running == nil {
		running = &runningWave{wave: wave.New(wave.Config{Reserve: wave.Rack, RollOutTime: w.manager.config.RollOutTime})}
		w.byPool[row.Pool] = running
	}
	if row.Resumed > running.resumed {
		running.resumed = row.Resumed
		running.wave.Resume(view)
	}
	return running.wave.Step(now, view)
}

// poolHost combines a host's assignment with its state on the platform.
type poolHost struct {
	api.Host
	boot uint64
	live bool
}

// poolHosts returns the hosts assigned to the pool, keyed by name.
func (w *waves) poolHosts(ctx context.Context, name string) (map[string]poolHost, error) {
	hosts, err := w.manager.Hosts(ctx)
	if err != nil {
		return nil, err
	}
	listed, err := w.manager.config.Platform.Hosts(ctx)
	if err != nil {
		return nil, err
	}
	listedByName := make(map[string]platform.Host)
	for _, host := range listed {
		listedByName[host.Name] = host
	}
	ofPool := make(map[string]poolHost)
	for _, host := range hosts {
		if host.Pool == name {
			listedHost := listedByName[host.Name]
			ofPool[host.Name] = poolHost{Host: host, boot: listedHost.Boot, live: listedHost.State == platform.Live}
		}
	}
	return ofPool, nil
}

// observePool advances the maintenance of the wave's hosts and returns the pool's
// state for the wave.
func (w *waves) observePool(ctx context.Context, now time.Time, hosts map[string]poolHost, row *waveRow) wave.View {
	view := wave.View{Need: row.Need, BudgetLeft: fullAvailabilityBudget}
	state := w.manager.currentState()
	for name, host := range hosts {
		if progress, ok := row.Hosts[name]; ok {
			row.Hosts[name] = w.advanceHost(ctx, now, host, progress)
		}
		view.Hosts = append(view.Hosts, wave.Host{
			Name: name, Rack: host.Rack, DataCentre: host.DataCentre, State: hostState(host, row.Hosts[name]),
			Evacuated: state.IsEvacuated(host.DataCentre),
		})
	}
	return view
}

// hostState returns a host's state in the wave.
func hostState(host poolHost, progress waveHost) wave.State {
	serving := host.live && host.Phase == string(pool.Serving)
	switch {
	case progress.State == wave.StateDone && !host.live:
		return wave.StateFailed
	case progress.State == wave.StateDone && !serving:
		return wave.StateLost
	case progress.State != "":
		return progress.State
	case serving:
		return wave.StatePending
	default:
		return wave.StateLost
	}
}

// advanceHost takes the next step of a host's maintenance: drain, reboot or
// return.
func (w *waves) advanceHost(ctx context.Context, now time.Time, host poolHost, progress waveHost) waveHost {
	m := w.manager
	switch {
	case progress.State == wave.StateDone:
	case host.boot > progress.Boot && host.live && host.Phase == string(pool.Serving):
		progress.State = wave.StateDone
	case host.boot > progress.Boot && host.live:
		if _, err := m.ReturnHost(ctx, host.Name); err != nil {
			m.config.Log.Warn("could not return host to its pool", "host", host.Name, "reason", err.Error())
		}
	case now.Sub(progress.DownAt) > m.config.RebootLimit:
		progress.State = wave.StateFailed
	case host.Phase == string(pool.Serving):
		// The manager that wrote the row ended before it started the drain.
		if _, err := m.DrainHost(ctx, host.Name, pool.Maintenance, ""); err != nil {
			m.config.Log.Warn("could not start to drain host", "host", host.Name, "reason", err.Error())
		}
	case host.Phase == string(pool.Drained) && !progress.Rebooted:
		if err := m.config.Platform.Reboot(ctx, host.Name); err != nil {
			m.config.Log.Warn("could not reboot host", "host", host.Name, "reason", err.Error())
			return progress
		}
		progress.Rebooted = true
	}
	return progress
}

// commit writes the row if next differs from current.
func (w *waves) commit(ctx context.Context, row table.Row, current, next waveRow) error {
	before, err := json.Marshal(current)
	if err != nil {
		return err
	}
	after, err := json.Marshal(next)
	if err != nil || string(before) == string(after) {
		return err
	}
	return w.manager.node.Store().Commit(ctx, table.Txn{
		Conditions: []table.Condition{{Key: row.Key, Version: row.Version}},
		Writes:     []table.Write{{Key: row.Key, Value: after}},
	})
}

// clone returns a copy of the row with its own map of hosts.
func (r waveRow) clone() waveRow {
	hosts := make(map[string]waveHost, len(r.Hosts))
	for name, host := range r.Hosts {
		hosts[name] = host
	}
	r.Hosts = hosts
	return r
}

// decodeWave decodes a wave's row.
func decodeWave(row table.Row) (waveRow, error) {
	var current waveRow
	err := json.Unmarshal(row.Value, &current)
	return current, errors.Wrapf(err, "decode row %q", row.Key)
}
