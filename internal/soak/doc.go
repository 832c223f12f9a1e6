// Package soak runs nodes as separate processes against the platform's stand-in,
// harms them from outside, and checks what callers and endpoints see meanwhile.
//
// Usage:
//
//	report, err := soak.Run(ctx, soak.Config{Seed: 7, Length: 20 * time.Second, Dir: dir, NewProcess: start})
//	// report.Violations lists broken promises; it must be empty.
//
// A seed gives a plan: processes that are killed, paused and stopped, alone, in
// series and at once; connections to the store and to endpoints that are delayed,
// reset, cut one way or silenced by a loopback proxy; a store that is away, loses
// answers or forgets its history; endpoints that crash. Callers keep their
// connections open. While it runs, no task may run twice at a time or again after
// its end, and no accepted job may be unknown; once the harm is over, each accepted
// job has to end whole, and no job that was refused may have run.
package soak
