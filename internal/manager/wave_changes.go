package manager

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/operator"
	"github.com/lovagedyke/lovagedyke/internal/table"
	"github.com/lovagedyke/lovagedyke/internal/wave"
	"github.com/lovagedyke/lovagedyke/pkg/api"
)

// StartWave starts a wave over a pool; one that has not finished goes on.
func (m *Manager) StartWave(ctx context.Context, request api.WaveRequest) (api.Wave, error) {
	return m.changeWave(ctx, request.Pool, func(current waveRow, exists bool) (waveRow, error) {
		if exists && !current.Finished {
			current.Need = request.Need
			return current, nil
		}
		return waveRow{Pool: request.Pool, Need: request.Need, Verdict: string(wave.Proceed)}, nil
	})
}

// ResumeWave has a stopped wave go on.
func (m *Manager) ResumeWave(ctx context.Context, name string) (api.Wave, error) {
	return m.changeWave(ctx, name, func(current waveRow, exists bool) (waveRow, error) {
		if !exists {
			return current, errors.Wrapf(operator.ErrNotFound, "wave of pool %q", name)
		}
		current.Resumed++
		return current, nil
	})
}

// StopWave ends a wave: no further host is taken down, and those that are down
// are the operator's to return.
func (m *Manager) StopWave(ctx context.Context, name string) (api.Wave, error) {
	return m.changeWave(ctx, name, func(current waveRow, exists bool) (waveRow, error) {
		if !exists {
			return current, errors.Wrapf(operator.ErrNotFound, "wave of pool %q", name)
		}
		current.Finished = true
		current.Reason = "stopped-by-operator"
		return current, nil
	})
}

// Waves lists the waves.
func (m *Manager) Waves(ctx context.Context) ([]api.Wave, error) {
	rows, err := m.node.Store().Scan(ctx, waveKeyPrefix)
	if err != nil {
		return nil, err
	}
	list := make([]api.Wave, 0, len(rows))
	for _, row := range rows {
		current, err := decodeWave(row)
		if err != nil {
			return nil, err
		}
		list = append(list, apiWave(current))
	}
	return list, nil
}

// changeWave commits a change of a wave's row, again after a race.
func (m *Manager) changeWave(ctx context.Context, name string, change func(current waveRow, exists bool) (waveRow, error)) (api.Wave, error) {
	key := waveKeyPrefix + name
	for range hostRetries {
		rows, err := m.node.Store().Get(ctx, key)
		if err != nil {
			return api.Wave{}, err
		}
		exists := rows[0].Version != table.Absent
		current := waveRow{Pool: name}
		if exists {
			if current, err = decodeWave(rows[0]); err != nil {
				return api.Wave{}, err
			}
		}
		next, err := change(current, exists)
		if err != nil {
			return api.Wave{}, err
		}
		value, err := json.Marshal(next)
		if err != nil {
			return api.Wave{}, err
		}
		err = m.node.Store().Commit(ctx, table.Txn{
			Conditions: []table.Condition{{Key: key, Version: rows[0].Version}},
			Writes:     []table.Write{{Key: key, Value: value}},
		})
		if err == nil {
			return apiWave(next), nil
		}
		if !table.IsConflict(err) {
			return api.Wave{}, err
		}
	}
	return api.Wave{}, errors.Wrapf(table.ErrUnavailable, "wave of pool %q changes too quickly", name)
}

// apiWave describes a wave to an operator.
func apiWave(row waveRow) api.Wave {
	described := api.Wave{
		Pool: row.Pool, Need: row.Need, Verdict: row.Verdict, Reason: row.Reason,
		Hosts: make(map[string]string, len(row.Hosts)),
	}
	if row.Finished {
		described.Verdict = string(wave.Finished)
	}
	for name, host := range row.Hosts {
		described.Hosts[name] = string(host.State)
	}
	return described
}
