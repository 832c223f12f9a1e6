// Package member implements membership and leader election among the node
// processes, and relays store calls through peers.
//
// # Usage
//
//	node := member.New(member.Config{Name: name, Address: address, Store: store, ...})
//	server.Handler = memberpb.NewMemberServer(member.NewService(node))
//	node.Run(ctx)              // joins, monitors the leader, takes over when it fails
//	err := node.Store().Commit(ctx, txn)
//	leader, ok := node.Leader()
//
// The leadership claim is a row that is changed by conditional writes, and its
// token grows with each change of leader. Safety doesn't depend on clocks:
// endpoints refuse orders with a lower token, and the store refuses transactions
// that are conditional on an older claim.
package member
