// Package runtimes predicts how long tasks take, and decides on runs that take longer. It
// does no I/O and reads no clock.
//
// # Usage
//
//	model := runtimes.New(runtimes.Config{})               // one for each queue
//	slowness.Observe(model.ObserveRatio(estimate, took))   // of a run that executed its whole task
//	model.Observe(estimate, took)                          // of any run that is done
//	usual, limit := runtimes.Expectation(model.Median(estimate), completed)
//	decision := model.Decide(runtimes.Run{Age: age, Usual: usual, Limit: limit, Slowness: slowness.Factor()})
package runtimes
