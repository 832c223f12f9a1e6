// Package revision replicates the catalogue and the keys as one configuration
// with one revision counter, which only moves forward.
//
// # Usage
//
// A manager commits a change and pushes it. Every process applies the changes
// that it receives to its Replica:
//
//	change, err := revision.Transaction(ctx, store, revision.Operation{ID: id}, edit)
//	...
//	replica.ApplyChange(change)
//
// An entry admits work with a key while its replica is fresh:
//
//	view := replica.View()
//	if !view.Fresh(now) {
//		return notRun("stale-configuration")
//	}
//	team, ok := view.State.Keys.Check(presented)
//
// docs/decisions/009-revisions.md defines when a replica is fresh, and why.
package revision
