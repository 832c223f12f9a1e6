// Package control carries out what package fleet decides, in the process that
// leads: it feeds the leader's state from the store and the endpoints, sends its
// orders, and writes its rows. It also answers for the fleet to the other
// processes.
//
// # Usage
//
//	fleetPart := control.New(control.Config{Store: node.Store(), Endpoints: endpoints, ...})
//	node := member.New(member.Config{Won: fleetPart.Lead, ...})
//	fleetPart.Run(ctx) // ends after ctx and all leaderships
package control
