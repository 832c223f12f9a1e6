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
// Two rules prevent a task from running twice. First, a run that may be on an
// endpoint counts as active until the endpoint reports its completion, confirms a
// stop, or starts a new incarnation, or until the run's lease has certainly expired on
// the endpoint's own clock. Second, after a change of leader, a task of an inherited job
// starts only when each endpoint has been reached under the new token, or can no
// longer hold a lease from an earlier leader.
package fleet
