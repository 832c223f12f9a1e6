// Package soak runs nodes as separate processes against the simulated platform,
// injects faults, and checks the guarantees given to callers.
//
// # Usage
//
//	report, err := soak.Run(ctx, soak.Config{Seed: 7, Duration: 20 * time.Second, Dir: dir, NewProcess: start})
//	// report.Violations must be empty.
//
// The faults are generated from the seed:
//
//   - processes are killed, paused or stopped: alone, in series, or all at once;
//   - a loopback proxy delays, resets, cuts in one direction or silences connections
//     to the store and to endpoints;
//   - the store is unavailable, loses responses or drops its history;
//   - endpoints crash, or restart under their ID: at once or after a pause, with the wall
//     clock set back, or at another address;
//   - endpoints hang and go on or restart, carry orders or lease renewals out late without an
//     answer, or answer late, also across a restart;
//   - the lists lag behind a restart, an endpoint's clock is slow, or runs take long to stop;
//   - endpoints refuse starts, one or all of them, while leaders change;
//   - tasks crash each endpoint that starts them, and endpoints' capacities change;
//   - the host list lags, each row by a time of its own, goes back, or is unavailable;
//   - endpoints exit, or are lost without a sign, and others with new IDs replace them on
//     their hosts, also while the hosts' rows lag, and are soon out of reach;
//   - the endpoints of a data centre restart under their IDs, once or several times, while long tasks run,
//     and are cut off soon after, while whoever leads is killed, paused or cut off from the store, orders
//     are late, and lists lag or lack an endpoint;
//   - the operator requests and withdraws evacuations of data centres in series, while whoever
//     leads is killed, paused or cut off from the store, data centres return cold, and a wave
//     takes hosts down.
//
// Each fault is written to faults.log in Config.Dir as it is injected, and all runs to runs.log. A plan can be
// limited to some kinds of faults, so that seeds keep their meaning when kinds are added. A
// cold start has all at once from the first moment: endpoints that have just replaced others,
// a host list that lags behind them, faults, and a backlog of jobs.
//
// With Config.HasGangs some jobs are gangs, a few of them with hundreds of members. None may start in
// part once the faults are over. A node that gives the number of waiting jobs has to count at least half of
// those that were accepted over 5 s before and have not begun, and none once all have ended.
//
// Callers keep their connections open. At no time may a task run twice concurrently,
// or again after its end; the latter is allowed if the end was not acknowledged before the
// endpoint crashed or its lease expired, until the job is shown as complete. Nor may a node report an accepted job as unknown.
// After the last fault, each accepted job has to complete, and no refused job may have
// run. A job with a task that crashes endpoints has to fail instead, before the task has been
// started three times after its third crash. No start may exceed a capacity that has been shown
// for some time, and none may begin in a data centre 5 s after the request to evacuate it, except
// where an endpoint carries an order out late, or the process that ordered it has or just had no
// path to the store, or was paused.
package soak
