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
//   - endpoints crash.
//
// Callers keep their connections open. At no time may a task run twice concurrently
// or again after its end, nor may a node report an accepted job as unknown. After
// the last fault, each accepted job has to complete, and no refused job may have
// run.
package soak
