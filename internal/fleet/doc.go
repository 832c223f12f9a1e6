// Package fleet decides what runs where: it is the state of the one process
// that leads the fleet, rebuilt by each new leader from the store's rows and
// from what the endpoints report. It has no sockets and no clock; the time is an
// argument and orders are values that the caller carries out.
//
// # Usage
//
//	leader := fleet.New(fleet.Config{Token: token, Now: now, Bounds: bounds, Journal: journal})
//	leader.SetPolicy(current)
//	leader.Load(rows)                          // jobs, progress and cancels that the store holds
//	leader.EndpointListed(row, now)                // from the platform's list
//	leader.Looked(endpoint, sentAt, look, now)     // an endpoint's report
//	leader.Accepted(submission, now)           // a job that the store holds
//	orders := leader.Step(now, wallClock)      // starts, stops, paces, moves
//	leader.StartAnswered(start, reply, now)    // what became of an order
//	batch := leader.NextBatch()                // rows to write
//	leader.BatchWritten(batch.Number)          // states may be told, ends acknowledged
//
// Two rules keep a task from running twice. A run that may be on an endpoint counts
// as running until the endpoint lists its end, answers a stop, begins a new life,
// or its lease is surely over on the endpoint's own clock. And after a change of
// leader, a task of an earlier job starts only when each endpoint has been reached
// under the new token, or has had no lease from an earlier leader any more.
package fleet
