// Package fleet decides what runs where: it is the state of the one process
// that leads the fleet, rebuilt by each new leader from the store's rows and
// from what the hosts report. It has no sockets and no clock; the time is an
// argument and orders are values that the caller carries out.
//
// # Usage
//
//	leader := fleet.New(fleet.Config{Token: token, Now: now, Bounds: bounds, Journal: journal})
//	leader.SetPolicy(current)
//	leader.Load(rows)                          // jobs, progress and cancels that the store holds
//	leader.HostListed(row, now)                // from the platform's list
//	leader.Looked(host, sentAt, look, now)     // a host's report
//	leader.Accepted(submission, now)           // a job that the store holds
//	orders := leader.Step(now, wallClock)      // starts, stops, paces, moves
//	leader.StartAnswered(start, reply, now)    // what became of an order
//	batch := leader.NextBatch()                // rows to write
//	leader.BatchWritten(batch.Number)          // states may be told, ends acknowledged
//
// Two rules keep a task from running twice. A run that may be on a host counts
// as running until the host lists its end, answers a stop, begins a new life,
// or its lease is surely over on the host's own clock. And after a change of
// leader, a task of an earlier job starts only when each host has been reached
// under the new token, or has had no lease from an earlier leader any more.
package fleet
