// Package member lets the node processes find each other, agree on which of
// them leads the fleet, and reach the store through one another.
//
// # Usage
//
//	node := member.New(member.Config{Name: name, Address: address, Store: store, ...})
//	server.Handler = memberpb.NewMemberServer(member.NewService(node))
//	node.Run(ctx)              // joins, watches the leader, takes over
//	err := node.Store().Commit(ctx, txn)
//	leader, ok := node.Leader()
//
// A claim is a row that is changed under a condition, and its token grows with
// each change. No clock has to be right for that: endpoints refuse orders with a
// lower token, and the store refuses transactions that carry an older claim.
package member
