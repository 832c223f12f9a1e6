// Package control executes the decisions of package fleet in the process that
// leads: it updates the leader's state from the store and the endpoints, sends
// its orders, and writes its rows. It also answers the other processes'
// questions about jobs and queues.
//
// # Usage
//
//	fleetControl := control.New(control.Config{Store: node.Store(), Endpoints: endpoints, ...})
//	node := member.New(member.Config{Won: fleetControl.Lead, ...})
//	fleetControl.Run(ctx) // returns after ctx and the last leadership term have ended
package control
