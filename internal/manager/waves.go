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
	// waveInterval is the time between two looks at the waves.
	waveInterval = 500 * time.Millisecond
	// waveKeyPrefix starts the keys of the waves' rows, one for each pool.
	waveKeyPrefix = "wave/"
	// fullBudget stands for the availability budget, which is not counted yet.
	fullBudget = 1
)

// waveRow is the value of a wave's row: what must outlive a manager.
type waveRow struct {
	Pool string `json:"pool"`
	Need int    `json:"need"`
	// Hosts are those that the wave has begun to take down.
	Hosts map[string]waveHost `json:"hosts,omitempty"`
	// Resumed counts an operator's words to go on after failures.
	Resumed  int    `json:"resumed"`
	Verdict  string `json:"verdict"`
	Reason   string `json:"reason,omitempty"`
	Finished bool   `json:"finished,omitempty"`
}

// waveHost is where one host of a wave stands.
type waveHost struct {
	State wave.State `json:"state"`
	// Boot is the count of the host's starts when it was taken down.
	Boot     uint64    `json:"boot"`
	DownAt   time.Time `json:"down-at"`
	Rebooted bool      `json:"rebooted,omitempty"`
}

// Rebooter restarts hosts.
type Rebooter interface {
	Reboot(ctx context.Context, host string) error
}

// waves drives the maintenance waves that this manager leads. It is used by one
// loop only.
type waves struct {
	manager *Manager
	byPool  map[string]*runningWave
}

// runningWave is a wave's decision with what it was told of last.
type runningWave struct {
	wave    *wave.Wave
	resumed int
}

// waveLoop steps the waves until the context ends.
func (m *Manager) waveLoop(ctx context.Context) {
	w := &waves{manager: m, byPool: make(map[string]*runningWave)}
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(waveInterval):
		}
		if err := w.tend(ctx); err != nil && ctx.Err() == nil {
			m.config.Log.Debug("waves not stepped", "reason", err.Error())
		}
	}
}

// tend steps each wave that this manager leads.
func (w *waves) tend(ctx context.Context) error {
	rows, err := w.manager.node.Store().Scan(ctx, waveKeyPrefix)
	if err != nil {
		return errors.Wrap(err, "read the waves")
	}
	total, err := resultsOf(rows)
	if err != nil {
		return err
	}
	for _, row := range rows {
		current, err := decodeWave(row)
		if err != nil {
			return err
		}
		if current.Finished || !w.manager.leads(row.Key, time.Now()) {
			delete(w.byPool, current.Pool)
			continue
		}
		own := current.results()
		elsewhere := wave.Results{Done: total.Done - own.Done, Failed: total.Failed - own.Failed}
		if err := w.step(ctx, row, current, elsewhere); err != nil {
			return err
		}
	}
	return nil
}

// resultsOf counts how maintenance went in the waves that are under way.
func resultsOf(rows []table.Row) (wave.Results, error) {
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

// results counts how maintenance went in this wave; one that has finished says
// nothing of the next.
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

// step brings one wave forward. The row is written before a host is taken
// down, so that a manager that takes over knows of it.
func (w *waves) step(ctx context.Context, row table.Row, current waveRow, elsewhere wave.Results) error {
	hosts, err := w.poolHosts(ctx, current.Pool)
	if err != nil {
		return err
	}
	next := current.clone()
	now := time.Now()
	view := w.observe(ctx, now, hosts, &next)
	view.OtherPools = elsewhere
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

// decide steps the wave's decision, after telling it of an operator's word.
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

// poolHost is a host of the pool as list and assignment tell.
type poolHost struct {
	api.Host
	boot uint64
	live bool
}

// poolHosts returns the hosts assigned to the pool, by name.
func (w *waves) poolHosts(ctx context.Context, name string) (map[string]poolHost, error) {
	hosts, err := w.manager.Hosts(ctx)
	if err != nil {
		return nil, err
	}
	listed, err := w.manager.config.Platform.Hosts(ctx)
	if err != nil {
		return nil, err
	}
	boots := make(map[string]platform.Host)
	for _, host := range listed {
		boots[host.Name] = host
	}
	ofPool := make(map[string]poolHost)
	for _, host := range hosts {
		if host.Pool == name {
			at := boots[host.Name]
			ofPool[host.Name] = poolHost{Host: host, boot: at.Boot, live: at.State == platform.Live}
		}
	}
	return ofPool, nil
}

// observe brings the hosts of the wave forward and returns the pool's state.
func (w *waves) observe(ctx context.Context, now time.Time, hosts map[string]poolHost, row *waveRow) wave.View {
	view := wave.View{Need: row.Need, BudgetLeft: fullBudget}
	for name, host := range hosts {
		if begun, ok := row.Hosts[name]; ok {
			row.Hosts[name] = w.advance(ctx, now, host, begun)
		}
		view.Hosts = append(view.Hosts, wave.Host{
			Name: name, Rack: host.Rack, DataCentre: host.DataCentre, State: stateOf(host, row.Hosts[name]),
		})
	}
	return view
}

// stateOf tells where a host stands in the wave.
func stateOf(host poolHost, begun waveHost) wave.State {
	serving := host.live && host.Phase == string(pool.Serving)
	switch {
	case begun.State == wave.StateDone && !host.live:
		return wave.StateFailed
	case begun.State == wave.StateDone && !serving:
		return wave.StateLost
	case begun.State != "":
		return begun.State
	case serving:
		return wave.StatePending
	default:
		return wave.StateLost
	}
}

// advance brings one host of the wave forward: drained, rebooted, back.
func (w *waves) advance(ctx context.Context, now time.Time, host poolHost, begun waveHost) waveHost {
	m := w.manager
	switch {
	case begun.State == wave.StateDone:
	case host.boot > begun.Boot && host.live && host.Phase == string(pool.Serving):
		begun.State = wave.StateDone
	case host.boot > begun.Boot && host.live:
		if _, err := m.ReturnHost(ctx, host.Name); err != nil {
			m.config.Log.Warn("host not returned", "host", host.Name, "reason", err.Error())
		}
	case now.Sub(begun.DownAt) > m.config.RebootLimit:
		begun.State = wave.StateFailed
	case host.Phase == string(pool.Serving):
		// The drain did not follow the row: its manager ended in between.
		if _, err := m.DrainHost(ctx, host.Name, pool.Maintenance, ""); err != nil {
			m.config.Log.Warn("host not drained", "host", host.Name, "reason", err.Error())
		}
	case host.Phase == string(pool.Drained) && !begun.Rebooted:
		if err := m.config.Platform.Reboot(ctx, host.Name); err != nil {
			m.config.Log.Warn("host not rebooted", "host", host.Name, "reason", err.Error())
			return begun
		}
		begun.Rebooted = true
	}
	return begun
}

// commit writes the row if it has changed.
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

// clone returns a row whose map may be changed.
func (r waveRow) clone() waveRow {
	hosts := make(map[string]waveHost, len(r.Hosts))
	for name, host := range r.Hosts {
		hosts[name] = host
	}
	r.Hosts = hosts
	return r
}

// decodeWave reads a wave's row.
func decodeWave(row table.Row) (waveRow, error) {
	var current waveRow
	err := json.Unmarshal(row.Value, &current)
	return current, errors.Wrapf(err, "decode row %q", row.Key)
}
