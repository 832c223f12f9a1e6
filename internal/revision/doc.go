// Package revision keeps the catalogue and the keys as one configuration with
// one revision counter, which only moves forward.
//
// # Usage
//
// A manager commits a change and pushes it; every process offers what it
// receives to its Holder:
//
//	change, err := revision.Transaction(ctx, store, revision.Operation{ID: id}, edit)
//	...
//	holder.OfferChange(change)
//
// An entry admits keyed work while its copy is fresh:
//
//	view := holder.View()
//	if !view.Fresh(now) {
//		return notRun("stale-configuration")
//	}
//	team, ok := view.State.Keys.Check(presented)
//
// docs/decisions/009-revisions.md tells when a copy is fresh, and why.
package revision
