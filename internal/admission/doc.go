// Package admission decides, where a request is received, whether a job can still be
// served while its pool is short of capacity. It does no I/O and reads no clock.
//
// # Usage
//
//	holder := admission.NewHolder(admission.HolderConfig{Journal: journal})
//	holder.Receive(token, encoded, now)         // the outlook in a reply of the leader
//	outlook, age, ok := holder.Current(now)
//	decision := admission.Decide(request, outlook, age)
//	if !decision.Admit { ... decision.RetryAfter ... }
//
// A job is refused only if it is expected to end later than LateFactor times its
// objective, when its result is of no use to the caller. Estimates are taken at the
// bound that favours the job.
package admission
