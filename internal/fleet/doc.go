// Package fleet assigns tasks to endpoints and hosts to pools. It holds the state
// of the process that leads the fleet, which each new leader rebuilds from the
// store's rows and the endpoints' reports. It does no I/O and reads no clock: the
// time is an argument, and orders are values that the caller executes.
//
// # Usage
//
//	leader := fleet.New(fleet.Config{Token: token, Now: now, Bounds: bounds, Journal: journal})
//	leader.SetPolicy(current)
//	leader.Load(jobs, now, wall)                             // jobs, progress and cancels from the store
//	leader.UpdateEndpoint(row, now)                          // a row of the platform's list
//	leader.HandleReport(id, renewal, sentAt, report, now)    // an endpoint's report
//	leader.AddJob(submission, now, wall)                     // a job that the store holds
//	orders := leader.Step(now, wall)                         // starts, stops, throttles, moves
//	leader.HandleStartReply(start, reply, now)               // the outcome of an order
//	batch, ok := leader.NextBatch()                          // rows to write
//	leader.MarkBatchWritten(batch, now)                      // publishes states, acknowledges completions
//
// Three rules prevent a task from running twice. First, a run that may be on an endpoint
// counts as active until the endpoint reports its completion, confirms a stop, or no longer
// reports the run, until the host list or an accepted change of the host shows that the
// endpoint has ended, or until each lease that the endpoint may hold has expired. Second,
// evidence ends only runs that were answered before the evidence was requested, and only on
// the incarnation that it concerns: orders name an endpoint by its ID alone, so that its next
// incarnation may carry out a start that had no answer, late as well. Third, after a change
// of leader, a task of an inherited job starts only when each endpoint has been reached
// under the new token, or can no longer hold a lease from an earlier leader.
//
// Limits over all endpoints hold across changes of leaders as well: until all runs are known,
// what the others may run counts against the caps of client accounts.
package fleet
